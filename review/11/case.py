"""A faulty server spoils a few of its answers: the chunked body is followed by
a trailer field of 70,000 bytes."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common-3"))
from standins import (  # noqa: E402
    LIMITS,
    Caller,
    Instance,
    Server,
    Store,
    loopback,
    response,
    run_case,
    service,
    single_route,
)

RUN_S = 30.0
CALLERS = 16
WORK_S = 0.09
# Share of the answers of a faulty server that it spoils; half of the servers
# are faulty. The pages allow 0.02 of the answers at half of the servers.
SPOILT_SHARE = 0.02
TRAILER_BYTES = 70000
# Requests that may be lost before the rule is broken.
MOST_LOST = 3


class FaultyServer(Server):
    spoils = False

    def success(self, ident):
        if not self.spoils or random.random() >= SPOILT_SHARE:
            return super().success(ident)
        self.record.note("spoilt_answer", server=self.ident, request=ident)
        body = f"{self.ident} {ident}".encode()
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Request-Id: {ident}\r\n"
            f"Server-Stamp: {self.ident}.{ident}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        trailer = b"0\r\nX-Trace: " + b"7" * TRAILER_BYTES + b"\r\n\r\n"
        return head.encode() + b"%x\r\n%s\r\n" % (len(body), body) + trailer


async def call_repeatedly(caller, until, lost, sound):
    while time.monotonic() < until:
        kept = caller.used > 0 and caller.writer is not None
        answer = await caller.ask("GET", "/goka902/2f", 2000)
        if answer is None:
            await asyncio.sleep(0.2)
        elif answer.status is None:
            servers = [s for s in sound if answer.ident in s.received]
            if kept and servers:
                lost.append(answer.ident)
        else:
            await asyncio.sleep(0.01)


async def play(record, scratch, disrupted):
    ip = loopback()
    store = Store(ip(250))
    await store.start()
    servers = []
    for number in range(4):
        kind = FaultyServer if number < 2 else Server
        servers.append(
            kind(
                ip(100 + number), f"i-{number}", "kafi81c", "zone-a", record,
                work_s=WORK_S,
            )
        )
        await servers[-1].start()
        await servers[-1].register(store)
    await store.put(
        "op/config",
        {
            "version": 7,
            "routes": [
                single_route(
                    "r-view", "hufi27.example", "/goka902/", "kafi81c",
                    "idempotent", 2000, 400,
                )
            ],
            "services": [service("kafi81c")],
            "limits": LIMITS,
        },
    )
    expiry = asyncio.create_task(store.expire_leases())
    instance = Instance(
        ip(1), "front-a-1", "zone-a", {"zone-a": "north"}, store, scratch, record
    )
    try:
        await instance.start()
        await instance.wait_ready()
        for server in servers[:2]:
            server.spoils = disrupted
        lost = []
        callers = [
            Caller(instance.caller_address, "hufi27.example", record)
            for _ in range(CALLERS)
        ]
        until = time.monotonic() + RUN_S
        await asyncio.gather(
            *(call_repeatedly(c, until, lost, servers[2:]) for c in callers)
        )
        for caller in callers:
            caller.close()
    finally:
        await instance.stop()
        expiry.cancel()
        for server in servers:
            server.stop()
        store.stop()
    record.note("process_ends", count=len(instance.own_ends))
    record.note("lost_requests", count=len(lost))
    print(f"process ends: {len(instance.own_ends)}, requests lost: {len(lost)}")
    if len(lost) <= MOST_LOST:
        return []
    return [
        f"{len(lost)} requests from kept connections were passed on to sound "
        f"servers and lost their connection without an answer; the process "
        f"ended by itself {len(instance.own_ends)} times"
    ]


run_case(Path(__file__).resolve().parent, play)
