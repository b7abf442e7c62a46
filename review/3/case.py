"""A caller pipelines a request with a long body behind one that is being served."""

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

HOST = "search.example"
SERVICE = "record-viewer"
ROUNDS = 20
DEADLINE_MS = 2000
WORK_S = 0.05
# A binary body, well within max_body_bytes, which is 262144.
BODY = bytes(100_000)
# Callers that send a body of 8 to 10 KB at the same time, on connections of their own.
UPLOADING = 40
# More than three connections that are closed without an answer break the rule.
MOST_CLOSED = 3
STOP_TIMEOUT_S = 10


class Caller:
    """Counts its requests that were passed on and ended without an answer."""

    def __init__(self, case, relay, name):
        self.case = case
        self.relay = relay
        self.name = name
        self.sent = 0
        self.peer = connect(relay.front, DEADLINE_MS / 1000)
        self.unanswered = []

    def encode(self, body=None):
        self.sent += 1
        request_id = f"{self.name}-{self.sent}"
        method = "GET" if body is None else "POST"
        path = f"/record/{request_id}"
        return request_id, cases.encode_request(method, HOST, path, request_id, DEADLINE_MS, body)

    def await_answer(self, request_id):
        record = self.case.record
        try:
            answer = self.peer.read()
        except (Closed, TimeoutError) as fault:
            record.line(self.name, "gets no answer to", request_id, type(fault).__name__)
            if record.servers_that_ran(request_id):
                self.unanswered.append(request_id)
            self.peer.close()
            # A request that may be repeated is sent again on a new connection.
            self.peer = connect(self.relay.front, DEADLINE_MS / 1000)
            return False
        record.line(self.name, "gets", request_id, answer.status, len(answer.body), "bytes")
        if answer.status == 200 and answer.header("Request-Id") != request_id:
            raise cases.CannotRun("the caller got the answer to another request")
        return True

    def ask(self, body=None):
        request_id, data = self.encode(body)
        self.case.record.line(self.name, "sends", request_id)
        self.peer.send(data)
        return self.await_answer(request_id)

    def ask_two(self, pipelined):
        """Sends a second request before, or after, the first one is answered."""
        first, first_data = self.encode()
        second, second_data = self.encode(BODY)
        self.case.record.line(self.name, "sends", first, "and", second)
        if not pipelined:
            self.peer.send(first_data)
            if self.await_answer(first):
                self.peer.send(second_data)
                self.await_answer(second)
            return
        try:
            self.peer.send(first_data + second_data)
        except Closed:
            self.case.record.line(self.name, "cannot send", second)
        if self.await_answer(first):
            self.await_answer(second)
        else:
            self.ask()


def play(case):
    record = case.record
    store = Store()
    case.closers.append(store.stop)
    route = cases.route("record", HOST, "/record/", "idempotent", SERVICE, 2000, 400)
    store.put("op/config", cases.config(1, [route], 110))
    for number in range(2):
        server = Server(record, store, SERVICE, f"i-{number}", "zone-a", work_s=WORK_S)
        case.closers.append(server.stop)
        server.register()
    relay = case.start_relay("front-1", "zone-a", "127.0.0.1", store.address)
    relay.await_ready()
    pipelining = Caller(case, relay, "pipelining")
    others = []
    for number in range(ROUNDS):
        pipelining.ask()
        asking = threading.Thread(target=pipelining.ask_two, args=(case.trouble,))
        asking.start()
        time.sleep(WORK_S / 2)
        # A caller that sends one request at a time comes in the meantime.
        other = Caller(case, relay, f"other-{number}")
        others.append(other)
        other.ask()
        asking.join()
    uploads = []
    for number in range(UPLOADING):
        other = Caller(case, relay, f"uploading-{number}")
        others.append(other)
        uploads.append(threading.Thread(target=other.ask, args=(bytes(8_000 + 50 * number),)))
    for upload in uploads:
        upload.start()
    for upload in uploads:
        upload.join()
    relay.terminate()
    status = relay.await_end(STOP_TIMEOUT_S)
    broken = []
    if len(pipelining.unanswered) > MOST_CLOSED:
        broken.append(f"LOST: passed on and not answered: {' '.join(pipelining.unanswered)}")
    for other in others:
        if other.unanswered:
            broken.append(f"never answered, another caller's: {' '.join(other.unanswered)}")
    if status is None:
        broken.append("the process did not end after SIGTERM")
    elif status != 0:
        broken.append(f"the process ended by itself with status {status}")
    for line in broken:
        record.line(line)
    return not broken


if __name__ == "__main__":
    cases.main(os.path.dirname(os.path.abspath(__file__)), play)
