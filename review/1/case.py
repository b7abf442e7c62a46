"""A home is killed while it serves a new route that its asker doesn't know yet."""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# pylint: disable=wrong-import-position
from standins import case as cases
from standins.http_wire import Closed, connect
from standins.server import Server
from standins.store import Store

HOST = "desk.example"
SERVICE = "enquiry-relay"
OTHER_SERVICE = "record-viewer"
DEADLINE_MS = 2000
WORK_S = 0.6
IN_FLIGHT = "quetzallead_requests_in_flight"
SHEET_VERSION = "quetzallead_sheet_version"
# Routes that the operator adds until the asker doesn't know one yet: it polls the homes.
MOST_ROUTES = 5


def ask(case, relay, path, request_id, method="POST"):
    """Sends a request on a new connection and returns the status, or None."""
    record = case.record
    record.line("caller sends", request_id, "to", relay.name)
    body = b"an enquiry" if method == "POST" else None
    try:
        peer = connect(relay.front, DEADLINE_MS / 1000)
        peer.send(cases.encode_request(method, HOST, path, request_id, DEADLINE_MS, body))
        status = peer.read().status
        peer.close()
    except (Closed, OSError):
        status = None
    record.line("caller gets", request_id, status)
    return status


def play(case):
    record = case.record
    store = Store()
    case.closers.append(store.stop)
    viewing = cases.route("desk", HOST, "/desk/", "idempotent", OTHER_SERVICE, 2000, 400)
    for service in (SERVICE, OTHER_SERVICE):
        for number in range(2):
            server = Server(
                record, store, service, f"{service}-{number}", "zone-a", work_s=WORK_S
            )
            case.closers.append(server.stop)
            server.register()
    # The enquiries' service is in use by a route already.
    mail = cases.route("mail", HOST, "/mail/", "non_idempotent", SERVICE, 2000, 1000)
    routes = [viewing, mail]
    store.put("op/config", cases.config(1, routes, 110))
    homes = [
        case.start_relay(f"front-{n}", "zone-a", f"127.0.0.{n}", store.address) for n in (1, 2, 3)
    ]
    for relay in homes:
        relay.await_ready()
    time.sleep(4)
    # An instance is added to the zone; it asks two of the others, the zone's homes.
    asker = case.start_relay("front-9", "zone-a", "127.0.0.9", store.address)
    asker.await_ready()
    time.sleep(4)
    if asker.log_lines("home_activated"):
        raise cases.CannotRun("the added instance follows the store itself")
    ask(case, asker, "/desk/1", "viewing-1", "GET")

    for number in range(2, 2 + MOST_ROUTES):
        path = f"/desk/enquiry-{number}/"
        routes.append(
            cases.route(f"enquiry-{number}", HOST, path, "non_idempotent", SERVICE, 2000, 1000)
        )
        store.put("op/config", cases.config(number, routes, 110))
        record.line("the store confirms version", number, "with the route", path)
        time.sleep(0.03)
        versions = [relay.metric(SHEET_VERSION) for relay in homes]
        known = asker.metric(SHEET_VERSION)
        record.line("homes have versions", versions, "the asker has", known)
        if known < number:
            break
        time.sleep(0.7)
    else:
        raise cases.CannotRun("the asker always knew the newest version")
    request_id = "enquiry-1"
    asking = threading.Thread(target=ask, args=(case, asker, path, request_id))
    asking.start()
    time.sleep(WORK_S / 4)
    serving = [relay for relay in homes if relay.metric(IN_FLIGHT)]
    if len(serving) != 1 or not record.servers_that_ran(request_id):
        raise cases.CannotRun("no home serves the enquiry")
    record.line(serving[0].name, "serves", request_id)
    if case.trouble:
        serving[0].kill()
        record.line(serving[0].name, "is killed")
    asking.join()
    runs = record.servers_that_ran(request_id)
    if len(runs) > 1:
        record.line(f"TWICE: {request_id} ran at {' and '.join(runs)}")
    return len(runs) < 2


if __name__ == "__main__":
    # With TROUBLE=0 the case does the same without the disruption.
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    cases.main(os.path.dirname(os.path.abspath(__file__)), play, TROUBLE)
