"""A store that cuts waiting watches now and then keeps a server in use that has
left the store: requests reach it later than drain_ms after its removal."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-2"))
from stand_ins import (BOUNDS, BackendServer, CLIENT_LIMITS, Relay, Store, ZONES, ask,
                       main, request_id, wait_ready)

HOST = "hufi27.example"
SERVICE = "kafi81c"
MACHINES = {"lhr-a": 4, "isb-b": 3, "fsd-c": 2}
# How many servers leave, one after the other.
LEAVERS = 6
DRAIN_S = BOUNDS["drain_ms"] / 1000
# "and a little longer (at times many seconds)"
LONGER_S = 0.4
GAP_S = 0.012


class LeavingServer(BackendServer):
    """Leaves without reporting it: its entry is removed, and it serves on for
    drain_ms and a little longer."""
    removed_at = None

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.late = []

    async def before(self, connection, writer, request_id):
        if self.removed_at is not None:
            late = time.monotonic() - self.removed_at - DRAIN_S
            if late > 0:
                self.late.append((request_id, late))
                self.record("late_arrival", server=self.id, id=request_id,
                            after_drain_ms=int(late * 1000))

    async def leave(self):
        # The removal is acknowledged by the store at this moment.
        self.store.remove(f"servers/{self.id}")
        self.removed_at = time.monotonic()
        self.record("removed", server=self.id)
        await asyncio.sleep(DRAIN_S + LONGER_S)
        self.exit()


async def case(folder, record, trouble):
    store = Store()
    await store.start("127.41.0.2")
    servers = []
    for number in range(12):
        zone = list(ZONES)[number % 3]
        server = LeavingServer(store, record, f"i-{number:08x}", SERVICE, zone,
                               slots=4, queue=16, work_ms=200)
        await server.start(f"127.41.{number % 3 + 1}.200")
        servers.append(server)
    store.put_json("op/config", {
        "version": 7, "limits": CLIENT_LIMITS,
        "routes": [{"name": "r-xmibw6k", "host": HOST, "prefix": "/goka902/",
                    "type": "non_idempotent", "timeout_ms": 4000, "slo_ms": 250,
                    "priority": 2, "service": SERVICE, "max_attempts": 2}],
        "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 110,
                      "protocol": "h1", "tls": False}]})
    relays = [Relay(folder, number, zone, store)
              for zone, count in MACHINES.items() for number in range(count)]
    answers = {}
    try:
        for relay in relays:
            await relay.start()
        if not await wait_ready(relays):
            return None
        await asyncio.sleep(3)

        async def client(relay):
            id_ = request_id()
            answer = await ask(relay.front, "POST", "/goka902/2f",
                               [("Host", HOST), ("Request-Id", id_),
                                ("Deadline-Ms", 4000)], b"visit", timeout=4)
            answers[id_] = answer
            record("answered", id=id_, status=answer.status, fault=answer.fault or "-")

        async def traffic():
            tasks = []
            while True:
                tasks.append(asyncio.create_task(client(random.choice(relays))))
                try:
                    await asyncio.sleep(GAP_S)
                except asyncio.CancelledError:
                    await asyncio.gather(*tasks)
                    return

        async def cuts():
            while True:
                await asyncio.sleep(random.uniform(0.8, 1.3))
                record("watches_cut", count=len(store.watching))
                store.cut_watches()

        background = [asyncio.create_task(traffic())]
        if trouble:
            background.append(asyncio.create_task(cuts()))
        await asyncio.sleep(5)
        for server in servers[:LEAVERS]:
            await server.leave()
            await asyncio.sleep(2)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
    finally:
        for relay in relays:
            await relay.stop()
    late = [(server, id_, by) for server in servers for id_, by in server.late]
    lost = [id_ for _, id_, _ in late if answers[id_].status in (0, 502, 504)]
    statuses = {}
    for answer in answers.values():
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    print("statuses", statuses, "late arrivals", len(late),
          "latest after drain_ms: %.2f s" % max([by for _, _, by in late] + [0]),
          "of these lost:", len(lost))
    for server, id_, by in late:
        record("rule_broken", server=server.id, id=id_, status=answers[id_].status)
    if not any(answer.status == 200 for answer in answers.values()):
        return None
    return bool(late)


main(case, HERE)
