"""The store comes back from an older copy, and later a server leaves as planned."""

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
RELAYS = 3
HEARTBEAT_S = 1.2
WARM_UP_MS = 3000
DRAIN_MS = 3000
STABILITY_MS = 4000
# How old the copy is, and how long the store is away.
COPY_AGE_S = 4.0
AWAY_S = 1.0
# How long a server that leaves serves on after its time.
SERVES_ON_S = 0.6
DEADLINE_MS = 2000


class LeavingServer(Server):
    """Announces in the store and in its answers that it leaves, and ends in time."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.leaving = False
        self.arrivals = []

    def serve(self, peer, request):
        self.arrivals.append((self.record.now(), request.header("Request-Id")))
        self.run(request)
        headers = [("Server-Leaving", 1), ("Connection", "close")] if self.leaving else []
        self.answer_success(peer, request, headers)


def ask(case, relay, method, path, request_id):
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


def ask_at_all(case, relays, method, path, label):
    """Sends one request to each relay at the same time."""
    statuses = {}

    def ask_one(relay):
        request_id = f"{label}-{relay.name}"
        statuses[request_id] = ask(case, relay, method, path, request_id)

    threads = [threading.Thread(target=ask_one, args=(relay,)) for relay in relays]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return statuses


def warm_up(server):
    """Writes the server's entry with each heartbeat until it is warm."""
    for elapsed in range(4):
        server.warm_up_left_ms = max(0, WARM_UP_MS - int(elapsed * HEARTBEAT_S * 1000))
        revision = server.register()
        server.record.line("server", server.id, "writes its entry, revision", revision)
        if elapsed < 3:
            time.sleep(HEARTBEAT_S)


def play(case):
    record = case.record
    store = Store()
    case.closers.append(store.stop)
    routes = [
        cases.route("enquiry", HOST, "/enquiry/", "non_idempotent", SERVICE, 2000, 400),
        cases.route("record", HOST, "/record/", "idempotent", OTHER_SERVICE, 2000, 400),
    ]
    store.put("op/config", cases.config(1, routes, 110))
    far = Server(record, store, SERVICE, "i-far", "zone-b", work_s=0.05)
    other = Server(record, store, OTHER_SERVICE, "i-other", "zone-a")
    near = LeavingServer(record, store, SERVICE, "i-near", "zone-a", work_s=0.5)
    for server in (far, other, near):
        case.closers.append(server.stop)
    far.register()
    other.register()
    relays = [
        case.start_relay(f"front-{n}", "zone-a", f"127.0.0.{n}", store.address)
        for n in range(1, RELAYS + 1)
    ]
    for relay in relays:
        relay.await_ready()
    # Each relay has registered by then.
    time.sleep(3)

    copy = store.copy()
    copied_at = time.monotonic()
    record.line("a copy of the store is made, revision", copy[1])
    warm_up(near)
    time.sleep(max(0, copied_at + COPY_AGE_S - time.monotonic()))
    if case.trouble:
        record.line("the store goes away, revision", store.revision)
        store.restore(copy, AWAY_S)
        record.line("the store is back from the copy, revision", store.revision)
    # What the servers wrote is written again.
    record.line("server i-near writes its entry, revision", near.register())
    time.sleep(1)
    ask_at_all(case, relays, "POST", "/enquiry/1", "before")
    time.sleep(STABILITY_MS / 1000)

    near.leaving = True
    revision = near.register("draining")
    left_at = record.now()
    record.line("the store confirms that i-near is draining, revision", revision)
    # A few quiet seconds, in which only records are viewed.
    ask_at = left_at + DRAIN_MS / 1000 + 0.15
    while record.now() < ask_at - 0.5:
        ask_at_all(case, relays, "GET", "/record/1", f"record-{record.now():.1f}")
        time.sleep(0.3)
    time.sleep(max(0, ask_at - record.now()))
    end_at = left_at + DRAIN_MS / 1000 + SERVES_ON_S
    ending = threading.Timer(max(0, end_at - record.now()), near.stop)
    ending.start()
    statuses = ask_at_all(case, relays, "POST", "/enquiry/2", "after")
    ending.join()
    record.line("server i-near has ended")

    late = [
        request_id
        for at, request_id in near.arrivals
        if at > left_at + DRAIN_MS / 1000 and request_id.startswith("after")
    ]
    lost = [r for r in late if statuses[r] != 200]
    if late:
        record.line(f"DRAIN: reached i-near over {DRAIN_MS} ms after: {' '.join(late)}")
    if lost:
        record.line(f"lost when i-near ended: {' '.join(lost)}")
    return not late


if __name__ == "__main__":
    # With TROUBLE=0 the case does the same without the disruption.
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    cases.main(os.path.dirname(os.path.abspath(__file__)), play, TROUBLE)
