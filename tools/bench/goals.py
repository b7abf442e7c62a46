"""The goals that the figures are held against. They are fixed."""

from figures import median

LOOKUP_ADDED_MS = 1.0
SURVEY_ADDED_MS = 2.0
STRAGGLER_RATIO = 1.5
STRAGGLER_EXTRA_LOAD = 0.05
URGENT_BURST_RATIO = 2.0
BURST_GOODPUT_SHARE = 0.9


# Above this lateness of the driver's own sends the machine was too busy for
# a verdict on latencies; the verdict then carries the word "disturbed".
DISTURBED_LATE_MS = 1.0


def disturbed(table):
    late = [r["send_late_p99_ms"] for runs in table.values() for r in runs]
    return max(late, default=0) > DISTURBED_LATE_MS


def group_median(runs, window, group, key):
    return median(r["windows"][window].get(group, {}).get(key) for r in runs)


def groups_of(runs, kind):
    names = {name for r in runs for name in r["windows"]["reported"]}
    return sorted(name for name in names if name.startswith(kind))


def verdict(value, limit, at_most=True):
    if value is None or limit is None:
        return "not run"
    met = value <= limit if at_most else value >= limit
    return "met" if met else "missed"


def added_latency(table):
    """The tier's own latency at p99 over the direct fan-out."""
    tier = table.get(("fault-free", "tier"), [])
    floor = table.get(("fault-free", "direct"), [])
    for kind, limit in (("lookup", LOOKUP_ADDED_MS), ("survey", SURVEY_ADDED_MS)):
        for group in groups_of(tier, kind):
            ours = group_median(tier, "reported", group, "p99_ms")
            theirs = group_median(floor, "reported", group, "p99_ms")
            added = ours - theirs if None not in (ours, theirs) else None
            yield f"{group}: p99 added over direct, ms", added, limit, True


def straggler(table):
    faulty = table.get(("straggler", "tier"), [])
    free = table.get(("fault-free", "tier"), [])
    for group in groups_of(faulty, "survey"):
        ours = group_median(faulty, "during", group, "p99_ms")
        base = group_median(free, "reported", group, "p99_ms")
        ratio = ours / base if ours and base else None
        yield f"straggler, {group}: p99 / fault-free", ratio, STRAGGLER_RATIO, True
    extra = median(r["extra_load_during"] for r in faulty)
    yield "straggler: extra load", extra, STRAGGLER_EXTRA_LOAD, True


def zone_cut(table):
    runs = table.get(("zone-cut", "tier"), [])
    least = [r["windows"]["settled"]["all"]["coverage"] for r in runs]
    failed = [r["windows"]["settled"]["all"]["failed"] for r in runs]
    yield ("zone cut: least coverage from 3 s on",
           min(least) if least and None not in least else None, 1.0, False)
    yield ("zone cut: failed requests from 3 s on",
           max(failed) if failed else None, 0, True)


def burst(table):
    runs = table.get(("burst", "tier"), [])
    for group in groups_of(runs, "lookup"):
        unloaded = group_median(runs, "before", group, "p99_ms")
        loaded = group_median(runs, "during", group, "p99_ms")
        ratio = loaded / unloaded if loaded and unloaded else None
        yield f"burst, {group}: p99 / unloaded", ratio, URGENT_BURST_RATIO, True
    yield ("burst: goodput / capacity", median(goodput_share(r) for r in runs),
           BURST_GOODPUT_SHARE, False)


def goodput_share(run):
    """Covered shards per second in the burst, as a share of the capacity."""
    length_s = run["times"]["fault_to_s"] - run["times"]["fault_from_s"]
    covered = run["windows"]["during"]["all"]["shards_covered"]
    return covered / length_s / run["burst_capacity"]


def recovery(table):
    """After the fault, p99 is within the spread of the fault-free runs."""
    free = table.get(("fault-free", "tier"), [])
    for scenario, variant in sorted(table):
        steady = scenario == "fault-free" or scenario.startswith("cost")
        if variant != "tier" or steady:
            continue
        runs = table[(scenario, variant)]
        if scenario == "burst":
            base = group_median(runs, "before", "all", "p99_ms")
        else:
            base = max((r["windows"]["reported"]["all"]["p99_ms"] for r in free),
                       default=None)
        ours = group_median(runs, "recovered", "all", "p99_ms")
        yield f"{scenario}: p99 5 s after its end, ms", ours, base, True


def promises(table):
    """What must hold in every run, the baselines included."""
    runs = [r for key, group in table.items() if key[1] != "direct" for r in group]
    if not runs:
        return
    faulty = sum(r["windows"]["reported"]["all"]["faulty"] for r in runs)
    repeated = sum(r.get("repeated_commands", 0) for r in runs)
    ended = sum(r["daemons"] - r["daemons_running"] for r in runs)
    unspread = sum(r["sheet_not_spread"] for r in runs)
    yield "instances that the sheet did not reach in 8 s", unspread, 0, True
    yield "answers that break a promise", faulty, 0, True
    yield "commands executed twice", repeated, 0, True
    yield "daemons that ended by themselves", ended, 0, True


def judge(table):
    """(name, value, limit, relation, verdict) of every goal."""
    mark = ", disturbed" if disturbed(table) else ""
    for part in (added_latency, straggler, zone_cut, burst, recovery, promises):
        for name, value, limit, at_most in part(table):
            relation = "<=" if at_most else ">="
            outcome = verdict(value, limit, at_most)
            if part is not promises and outcome != "not run":
                outcome += mark
            yield name, value, limit, relation, outcome
