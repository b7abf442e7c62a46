"""The scenarios: what is sent, what goes wrong and when."""

from dataclasses import dataclass, field
from typing import Callable

STRAGGLER_FACTOR = 10
RESTART_STEP_S = 0.5
COLD_REQUESTS = 50
COLD_FACTOR = 5
BURST_FACTOR = 8
BURST_SERVICE_TIME_MS = 20
SERVICE_TIME_MS = 4


@dataclass
class Step:
    """Something done to the fleet at an offset from the start of the load."""

    offset_s: float
    act: Callable


@dataclass
class Scenario:
    """A scenario; `steps` makes the steps of a run from fleet and times."""

    name: str
    steps: Callable = lambda fleet, times: []
    service_time_ms: float = SERVICE_TIME_MS
    # Table of streams in plans.py.
    load: str = "mixed"
    # True if the daemons of the last zone get no requests.
    cut_last_zone: bool = False


@dataclass
class Times:
    """Times of a run, seconds from the start of the load."""

    warmup_s: float
    fault_from_s: float
    fault_to_s: float
    length_s: float
    # After this much time figures must be back to those without a fault.
    recovery_s: float = field(default=5.0)


QUICK_TIMES = Times(2, 4, 9, 17)
FULL_TIMES = Times(3, 8, 18, 30)


def middle_server(deployment, service):
    """The first replica of the middle shard."""
    servers = deployment.servers_of(service)
    shards = sorted({server.shard for server in servers})
    shard = shards[len(shards) // 2]
    return next(server for server in servers if server.shard == shard)


def fault_steps(fleet, times, servers, faults, cleared):
    """Sets the faults of some servers at the start, clears them at the end."""
    def apply(patch):
        for server in servers:
            fleet.set_faults(server.name, patch)
    return [Step(times.fault_from_s, lambda: apply(faults)),
            Step(times.fault_to_s, lambda: apply(cleared))]


def straggler(fleet, times):
    servers = [middle_server(fleet.deployment, service)
               for service in fleet.deployment.services()]
    return fault_steps(fleet, times, servers,
                       {"service_time_factor": STRAGGLER_FACTOR},
                       {"service_time_factor": 1})


def dead_replica(fleet, times):
    servers = [middle_server(fleet.deployment, service)
               for service in fleet.deployment.services()]
    return fault_steps(fleet, times, servers, {"listening": False},
                       {"listening": True, "cold_requests": COLD_REQUESTS,
                        "cold_factor": COLD_FACTOR})


def restart_steps(fleet, server, start_s):
    """Drain, stop, start and warm up one server within two steps' time."""
    def drain():
        fleet.register(server, "leaving")
        fleet.set_faults(server.name, {"draining": True})

    def stop():
        fleet.set_faults(server.name, {"listening": False})

    def start():
        fleet.set_faults(server.name, {
            "listening": True, "draining": False,
            "cold_requests": COLD_REQUESTS, "cold_factor": COLD_FACTOR})
        fleet.register(server, "live")
    return [Step(start_s, drain), Step(start_s + RESTART_STEP_S, stop),
            Step(start_s + 2 * RESTART_STEP_S, start)]


def rolling_restart(fleet, times):
    steps = []
    for service in fleet.deployment.services():
        start_s = times.fault_from_s
        for server in fleet.deployment.servers_of(service):
            if start_s + 2 * RESTART_STEP_S > times.fault_to_s:
                break
            steps += restart_steps(fleet, server, start_s)
            start_s += 2 * RESTART_STEP_S
    return steps


def zone_cut(fleet, times):
    zone = fleet.deployment.zones()[-1]
    servers = [s for s in fleet.deployment.servers if s.zone == zone]

    def cut():
        for daemon in fleet.daemons_in(zone):
            daemon.pause()
        for server in servers:
            fleet.set_faults(server.name, {"frozen": True})

    def heal():
        for server in servers:
            fleet.set_faults(server.name, {"frozen": False})
        for daemon in fleet.daemons_in(zone):
            daemon.resume()
    return [Step(times.fault_from_s, cut), Step(times.fault_to_s, heal)]


def version_change(fleet, times):
    """Every server, one by one, comes to hold only the next version."""
    servers = sorted(fleet.deployment.servers, key=lambda s: (s.zone, s.name))
    gap_s = (times.fault_to_s - times.fault_from_s) / len(servers)

    def change(server):
        return lambda: fleet.set_faults(server.name, {"oldest": 2, "newest": 2})
    return [Step(times.fault_from_s + gap_s * index, change(server))
            for index, server in enumerate(servers)]


def platform_down(fleet, times):
    return [
        Step(times.fault_from_s,
             lambda: fleet.set_platform_faults({"outage": "refuse"})),
        Step(times.fault_to_s,
             lambda: fleet.set_platform_faults({"outage": "none"}))]


SCENARIOS = [
    Scenario("fault-free"),
    Scenario("straggler", straggler),
    Scenario("dead-replica", dead_replica),
    Scenario("rolling-restart", rolling_restart),
    Scenario("zone-cut", zone_cut, cut_last_zone=True),
    Scenario("burst", service_time_ms=BURST_SERVICE_TIME_MS, load="burst"),
    Scenario("version-change", version_change),
    Scenario("platform-down", platform_down),
    Scenario("cost-lookup", load="cost-lookup"),
    Scenario("cost-survey-10", load="cost-survey-10"),
    Scenario("cost-survey-15", load="cost-survey-15"),
]

# Each variant differs from "tier" in the policy settings alone.
VARIANTS = {
    "tier": {},
    "round-robin": {"routing": "round_robin"},
    "random": {"routing": "random"},
    "two-choices": {"routing": "two_choices"},
    "least-outstanding": {"routing": "least_outstanding"},
    "no-hedging": {"hedging": "none"},
    "fixed-hedging": {"hedging": "fixed", "hedge_delay_ms": 20},
}
