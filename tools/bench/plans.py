"""The load of each deployment as plans of quetzallead-load."""

from scenarios import BURST_FACTOR

# (kind, service, priority, requests per second, timeout in milliseconds)
STREAMS = {
    "escaparates": [
        ("survey", "register-search", "ordinary", 100, 800),
        ("survey", "landlord-desk", "urgent", 40, 500),
        ("lookup", "landlord-desk", "urgent", 300, 500),
        ("lookup", "record-viewer", "ordinary", 200, 500),
        ("command", "enquiry-relay", "ordinary", 20, 2000),
    ],
    "rahbar": [
        ("survey", "stock-sync", "ordinary", 60, 500),
        ("survey", "counter-desk", "urgent", 40, 300),
        ("lookup", "counter-desk", "urgent", 300, 300),
        ("lookup", "device-ledger", "ordinary", 200, 500),
        ("command", "field-dispatch", "urgent", 20, 2000),
    ],
}

# One service alone takes the burst. At a service time of 20 ms a shard of 3
# servers with 2 slots executes 300 sub-requests a second; these streams ask
# each shard for a quarter of that before the burst and for twice in it.
BURST_STREAMS = {
    "escaparates": [
        ("survey", "register-search", "ordinary", 60, 800),
        ("lookup", "register-search", "urgent", 150, 500),
    ],
    "rahbar": [
        ("survey", "counter-desk", "ordinary", 60, 500),
        ("lookup", "counter-desk", "urgent", 150, 300),
    ],
}


# One kind of request alone, at a rate that keeps the servers far from full.
COST_STREAMS = {
    "escaparates": {
        "cost-lookup": [("lookup", "register-search", "urgent", 1500, 800)],
        "cost-survey-10": [("survey", "register-search", "ordinary", 200, 800)],
        "cost-survey-15": [("survey", "landlord-desk", "ordinary", 150, 800)],
    },
    "rahbar": {
        "cost-lookup": [("lookup", "counter-desk", "urgent", 1500, 300)],
        "cost-survey-10": [("survey", "counter-desk", "ordinary", 200, 500)],
        "cost-survey-15": [("survey", "stock-sync", "ordinary", 150, 500)],
    },
}


def streams_of(deployment, scenario):
    if scenario.load == "burst":
        return BURST_STREAMS[deployment.name]
    if scenario.load == "mixed":
        return STREAMS[deployment.name]
    return COST_STREAMS[deployment.name][scenario.load]


def make_stream(deployment, stream):
    kind, service, priority, rate, timeout_ms = stream
    made = {"kind": kind, "service": service, "priority": priority,
            "rate": rate, "timeout_ms": timeout_ms}
    if kind != "survey":
        made["keys"] = deployment.keys(service)
    return made


def make_plan(deployment, scenario, times, seed):
    """The plan of one run."""
    plan = {
        "seed": seed, "length_s": times.length_s, "warmup_s": times.warmup_s,
        "sessions": 64,
        "streams": [make_stream(deployment, stream)
                    for stream in streams_of(deployment, scenario)]}
    if scenario.load == "burst":
        plan["phases"] = [{"from_s": times.fault_from_s,
                           "to_s": times.fault_to_s, "factor": BURST_FACTOR}]
    return plan


def command_services(deployment):
    return {service for kind, service, *_ in STREAMS[deployment.name]
            if kind == "command"}


def burst_capacity(deployment, scenario):
    """Sub-requests per second that the burst's service can execute."""
    service = BURST_STREAMS[deployment.name][0][1]
    slots = sum(server.slots for server in deployment.servers_of(service))
    return slots * 1000 / scenario.service_time_ms
