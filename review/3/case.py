"""A faulty server sends a few answers whose bytes never end."""

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

HOST = "history.example"
SERVICE = "device-ledger"
TIMEOUT_MS = 4000
CALLERS = 14
WORK_S = 0.06
# Of the answers that the faulty server gives in this time, up to so many don't end, and
# none of the first ones.
CALM_S = 2.5
FAULTY_S = 5.0
FAULTY_SHARE = 0.03
# Of the link of the relay's machine, 1000 Mbit/s.
LINK_BYTES_PER_S = 120_000_000
CHUNK = bytes(64 * 1024)
# What a machine of the small sites gives a process.
MEMORY_MB = 260
RESTART_DELAY_S = 0.3
# More than three connections that are closed without an answer break the rule.
MOST_CLOSED = 3


class Link:
    """Lets bytes pass at the speed of a machine's link."""

    def __init__(self):
        self.lock = threading.Lock()
        self.free_at = 0.0

    def pass_bytes(self, count):
        with self.lock:
            self.free_at = max(self.free_at, time.monotonic()) + count / LINK_BYTES_PER_S
            wait = self.free_at - time.monotonic()
        if wait > 0:
            time.sleep(wait)


class FaultyServer(Server):
    """Sends bytes without end, until its caller closes, instead of some answers."""

    def __init__(self, trouble, link, *arguments, **options):
        super().__init__(*arguments, **options)
        self.trouble = trouble
        self.link = link
        self.answers = 0
        self.endless = 0
        self.faulty_from = 0
        self.faulty_until = 0

    def faulty(self):
        with self.lock:
            self.answers += 1
            spoil = (
                self.trouble
                and self.faulty_from <= time.monotonic() < self.faulty_until
                and self.endless + 1 <= FAULTY_SHARE * self.answers
            )
            self.endless += spoil
            return spoil

    def serve(self, peer, request):
        self.run(request)
        if not self.faulty():
            self.answer_success(peer, request)
            return
        request_id = request.header("Request-Id")
        self.record.line("server", self.id, "sends bytes without end for", request_id)
        sent = 0
        try:
            peer.send(f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n\r\n".encode())
            while not self.stopped:
                self.link.pass_bytes(len(CHUNK))
                peer.send(CHUNK)
                sent += len(CHUNK)
        finally:
            self.record.line("the relay closed", request_id, "after", sent // 1_000_000, "MB")


class Platform:
    """Kills a process that exceeds its memory, and starts it again."""

    def __init__(self, case, relay):
        self.case = case
        self.relay = relay
        self.kills = 0
        self.peak_mb = 0
        self.stopped = False
        threading.Thread(target=self.watch, daemon=True).start()

    def memory_mb(self):
        try:
            with open(f"/proc/{self.relay.process.pid}/status", encoding="ascii") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def watch(self):
        while not self.stopped:
            memory_mb = self.memory_mb()
            self.peak_mb = max(self.peak_mb, memory_mb)
            if memory_mb > MEMORY_MB:
                self.kills += 1
                self.case.record.line(
                    f"{self.relay.name} uses {memory_mb:.0f} MB of {MEMORY_MB} and is killed"
                )
                self.relay.kill()
                time.sleep(RESTART_DELAY_S)
                self.relay.start()
            time.sleep(0.005)


def call(case, relay, number, end, unanswered):
    """Sends one request after the other on a kept connection."""
    record = case.record
    caller = None
    sent = 0
    while time.monotonic() < end:
        if caller is None:
            try:
                caller = connect(relay.front, 1)
                caller.sock.settimeout(TIMEOUT_MS / 1000 + 1)
                kept = False
            except OSError:
                time.sleep(0.05)
                continue
        request_id = f"page-{number}-{sent}"
        sent += 1
        try:
            caller.send(
                cases.encode_request("GET", HOST, f"/page/{sent}", request_id, TIMEOUT_MS)
            )
            status = caller.read().status
        except (Closed, OSError):
            record.line("caller's connection closed", request_id)
            if kept:
                unanswered.append(request_id)
            caller.close()
            caller = None
            continue
        kept = True
        if status != 200:
            record.line("caller gets", request_id, status)


def play(case):
    record = case.record
    store = Store()
    case.closers.append(store.stop)
    route = cases.route("page", HOST, "/page/", "idempotent", SERVICE, TIMEOUT_MS, 250)
    store.put("op/config", cases.config(1, [route], 45))
    faulty = FaultyServer(
        case.trouble, Link(), record, store, SERVICE, "i-faulty", "zone-a", work_s=WORK_S
    )
    sound = Server(record, store, SERVICE, "i-sound", "zone-a", work_s=WORK_S)
    for server in (faulty, sound):
        case.closers.append(server.stop)
        server.register()
    relay = case.start_relay("front-1", "zone-a", "127.0.0.1", store.address)
    relay.await_ready()
    platform = Platform(case, relay)
    unanswered = []
    start = time.monotonic()
    faulty.faulty_from = start + CALM_S
    faulty.faulty_until = start + FAULTY_S
    end = start + FAULTY_S + 2
    callers = [
        threading.Thread(target=call, args=(case, relay, number, end, unanswered))
        for number in range(CALLERS)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    platform.stopped = True
    record.line(
        f"i-faulty gave {faulty.answers} answers, {faulty.endless} without end;"
        f" the relay used {platform.peak_mb:.0f} MB at most and was killed {platform.kills} times"
    )
    lost = [r for r in unanswered if "i-sound" in record.servers_that_ran(r)]
    if len(lost) > MOST_CLOSED:
        record.line(f"LOST: passed on to a sound server, not answered: {' '.join(lost)}")
    return len(lost) <= MOST_CLOSED


if __name__ == "__main__":
    # With TROUBLE=0 the case does the same without the disruption.
    TROUBLE = os.environ.get("TROUBLE", "1") != "0"
    cases.main(os.path.dirname(os.path.abspath(__file__)), play, TROUBLE)
