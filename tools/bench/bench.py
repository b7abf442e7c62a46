"""Runs the scenarios, prints one table and judges the goals.

The raw results go below --out; docs/MEASURING.md describes their format.
"""

import argparse
import os
import statistics
import sys
import time

import goals
from deployment import load_deployment
from figures import spread
from processes import ProcessError
from run import run, write_json
from scenarios import FULL_TIMES, QUICK_TIMES, SCENARIOS, VARIANTS

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAMS = {
    "quetzalleadd": "quetzalleadd",
    "quetzallead-load": "tools/quetzallead-load",
    "fake-backend": "tools/fake-backend",
    "fake-platform": "tools/fake-platform",
}
# Scenarios in which all variants run; elsewhere only those of FEW_VARIANTS.
ALL_VARIANTS_IN = {"fault-free", "straggler", "burst"}
FEW_VARIANTS = ["tier", "round-robin", "no-hedging"]
# Sub-requests of one request in each cost scenario.
COST_FAN_OUTS = {"cost-lookup": 1, "cost-survey-10": 10, "cost-survey-15": 15}
QUICK_SCENARIOS = ["fault-free", "straggler", "zone-cut", "burst"]


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("mode", nargs="?", choices=["full", "quick"], default="full")
    parser.add_argument("--deployment", action="append",
                        choices=["escaparates", "rahbar"])
    parser.add_argument("--scenario", action="append",
                        choices=[s.name for s in SCENARIOS])
    parser.add_argument("--variant", action="append",
                        choices=["direct", *VARIANTS])
    parser.add_argument("--repeats", type=int, choices=range(1, 11))
    parser.add_argument("--daemons-per-zone", type=int, choices=[1, 2, 3])
    parser.add_argument("--jitter", default="uniform",
                        choices=["none", "uniform", "exponential", "lognormal"])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--time-limit-s", type=float, default=7200,
                        help="no run is started after this time")
    parser.add_argument("--build", default=os.path.join(ROOT, "build", "release"))
    parser.add_argument("--out", default=os.path.join(
        ROOT, "build", "bench", time.strftime("%Y%m%d-%H%M%S")))
    return parser.parse_args()


def variants_of(scenario, arguments):
    if scenario.load.startswith("cost"):
        return ["tier"]
    if arguments.variant:
        names = arguments.variant
    elif scenario.name in ALL_VARIANTS_IN and arguments.mode == "full":
        names = list(VARIANTS)
    else:
        names = FEW_VARIANTS if arguments.mode == "full" else ["tier"]
    if scenario.name == "fault-free" and "direct" not in names:
        names = ["direct", *names]
    return [n for n in names if n != "direct" or scenario.name == "fault-free"]


def plan_runs(arguments):
    """(deployment, scenario, variant, seed) of every run, repeats outermost,
    so that drift of the machine spreads over all."""
    quick = arguments.mode == "quick"
    repeats = arguments.repeats or (1 if quick else 3)
    wanted = arguments.scenario or (QUICK_SCENARIOS if quick else None)
    names = arguments.deployment or (
        ["escaparates"] if quick else ["escaparates", "rahbar"])
    for repeat in range(repeats):
        for name in names:
            for scenario in SCENARIOS:
                if wanted and scenario.name not in wanted:
                    continue
                for variant in variants_of(scenario, arguments):
                    yield name, scenario, variant, arguments.seed + repeat


def run_all(arguments):
    """Runs everything; {deployment: {(scenario, variant): [figures]}}."""
    binaries = {name: os.path.join(arguments.build, path)
                for name, path in PROGRAMS.items()}
    quick = arguments.mode == "quick"
    options = {
        "daemons_per_zone": arguments.daemons_per_zone or (1 if quick else 3),
        "jitter": arguments.jitter}
    times = QUICK_TIMES if quick else FULL_TIMES
    tables, problems = {}, []
    started = time.monotonic()
    for name, scenario, variant, seed in plan_runs(arguments):
        label = f"{name}-{scenario.name}-{variant}-{seed}"
        if time.monotonic() - started > arguments.time_limit_s:
            problems.append(f"{label}: not run, time limit")
            continue
        print(f"running {label}", file=sys.stderr, flush=True)
        folder = os.path.join(arguments.out, label)
        example = os.path.join(ROOT, "examples", name)
        options["secrets_path"] = os.path.join(example, "secrets.json")
        deployment = load_deployment(name, os.path.join(example, "sheet.json"))
        policy = None if variant == "direct" else VARIANTS[variant]
        try:
            result = run(binaries, deployment, scenario, policy, times, seed,
                         options, folder)
        except (ProcessError, OSError) as error:
            problems.append(f"{label}: failed: {error}")
            continue
        tables.setdefault(name, {}).setdefault(
            (scenario.name, variant), []).append(result)
    return tables, problems


def number(value, digits=2):
    return "-" if value is None else f"{value:.{digits}f}"


def window_of(scenario):
    steady = scenario == "fault-free" or scenario.startswith("cost")
    return "reported" if steady else "during"


def print_costs(name, table):
    """Processor time as a line through the cost scenarios: a query costs the
    base and its sub-requests the slope each."""
    points = []
    for (scenario, _), runs in table.items():
        if scenario in COST_FAN_OUTS:
            cost = spread([r["processor_ms_per_request"] for r in runs])[1]
            points.append((COST_FAN_OUTS[scenario], cost))
    if len(points) < 2:
        return
    slope, base = statistics.linear_regression(*zip(*points))
    print(f"\n{name}: processor time of all daemons: {1000 * base:.0f} us a query "
          f"and {1000 * slope:.0f} us a sub-request, from {sorted(points)}")


def print_table(name, table):
    """One line per scenario, variant and group: medians, p99 with spread."""
    print(f"\n{name}: median of the repeats; p99 as least..greatest")
    print(f"{'scenario':16}{'variant':18}{'group':20}{'sent':>7}{'p50':>8}"
          f"{'p99':>8}{'spread':>16}{'p99.9':>8}{'cover':>8}{'extra':>7}"
          f"{'refused':>8}{'failed':>7}{'faulty':>7}{'cpu':>7}")
    for (scenario, variant), runs in table.items():
        window = window_of(scenario)
        extra_key = "extra_load" if window == "reported" else "extra_load_during"
        groups = sorted({g for r in runs for g in r["windows"][window]})
        for group in groups:
            rows = [r["windows"][window].get(group, {}) for r in runs]

            def mid(key, rows=rows):
                return spread([row.get(key) for row in rows])[1]
            least, _, greatest = spread([row.get("p99_ms") for row in rows])
            extra = spread([r[extra_key] for r in runs])[1]
            cpu = spread([r["processor_ms_per_request"] for r in runs])[1]
            print(f"{scenario:16}{variant:18}{group:20}{mid('sent') or 0:>7}"
                  f"{number(mid('p50_ms')):>8}{number(mid('p99_ms')):>8}"
                  f"{number(least) + '..' + number(greatest):>16}"
                  f"{number(mid('p999_ms')):>8}{number(mid('coverage'), 4):>8}"
                  f"{number(extra, 3):>7}{mid('refused') or 0:>8}"
                  f"{mid('failed') or 0:>7}{mid('faulty') or 0:>7}"
                  f"{number(cpu, 3):>7}")


def print_machine(name, table):
    """How much else ran on the machine, and what that did to the driver."""
    runs = [r for group in table.values() for r in group]
    for key, text in (("machine_busy", "busy share of all cores"),
                      ("machine_stolen", "share stolen by the host"),
                      ("send_late_p99_ms", "driver's send lateness, p99, ms")):
        least, mid, greatest = spread([r[key] for r in runs])
        print(f"{name}: {text}: {number(least, 3)} to {number(greatest, 3)}, "
              f"median {number(mid, 3)}")


def print_goals(name, table):
    print(f"\n{name}: goals")
    for goal, value, limit, relation, outcome in goals.judge(table):
        print(f"  {outcome:18} {goal}: {number(value, 3)} "
              f"({relation} {number(limit, 3)})")


def save(arguments, tables, problems):
    runs = [{"deployment": name, "scenario": key[0], "variant": key[1],
             "figures": figures}
            for name, table in tables.items()
            for key, results in table.items()
            for figures in results]
    write_json(os.path.join(arguments.out, "runs.json"),
               {"arguments": vars(arguments), "problems": problems, "runs": runs})


def main():
    arguments = parse_arguments()
    os.makedirs(arguments.out, exist_ok=True)
    tables, problems = run_all(arguments)
    for name, table in tables.items():
        print_table(name, table)
        print_machine(name, table)
        print_costs(name, table)
        print_goals(name, table)
    for problem in problems:
        print(f"problem: {problem}")
    save(arguments, tables, problems)
    print(f"\nraw results: {os.path.relpath(arguments.out, ROOT)}")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())
