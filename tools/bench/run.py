"""One run: a fleet, a load and the steps of a scenario."""

import json
import os
import time
from dataclasses import asdict

import figures
import plans
from fleet import Fleet
from processes import Process, ProcessError, machine_times
from scenarios import Step

START_TIMEOUT_S = 30
END_GRACE_S = 30


def write_json(path, value):
    with open(path, "w", encoding="utf-8") as file:
        json.dump(value, file, indent=1)


def load_command(binaries, fleet, scenario, direct, folder):
    command = [binaries["quetzallead-load"],
               "--plan", os.path.join(folder, "plan.json"),
               "--records", os.path.join(folder, "records.jsonl"),
               "--report", os.path.join(folder, "report.json")]
    if direct:
        return command + ["--direct", "--sheet", fleet.sheet_path]
    addresses = fleet.caller_addresses
    if scenario.cut_last_zone:
        addresses = fleet.callers_outside(fleet.deployment.zones()[-1])
    for address in addresses:
        command += ["--target", address]
    return command


def take_steps(steps, start_unix_s):
    """Takes each step at its time; returns the greatest lateness, seconds."""
    latest = 0.0
    for step in sorted(steps, key=lambda step: step.offset_s):
        wait_s = start_unix_s + step.offset_s - time.time()
        if wait_s > 0:
            time.sleep(wait_s)
        latest = max(latest, time.time() - start_unix_s - step.offset_s)
        step.act()
    return latest


class Sampler:
    """Counters of the fleet at the edges of the windows."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.samples = {}

    def take(self, name):
        self.samples[name] = {
            "attempts": sum(self._fleet.attempts().values()),
            "processor_s": self._fleet.processor_seconds(),
            "machine_s": machine_times()}


def run(binaries, deployment, scenario, policy, times, seed, options, folder):
    """Runs once; returns the figures of the run."""
    direct = policy is None
    fleet_options = dict(options, seed=seed, policy=policy or {},
                         service_time_ms=scenario.service_time_ms)
    if direct:
        fleet_options["daemons_per_zone"] = 0
    with Fleet(binaries, deployment, folder, fleet_options) as fleet:
        write_json(os.path.join(folder, "plan.json"),
                   plans.make_plan(deployment, scenario, times, seed))
        load = Process("load", load_command(binaries, fleet, scenario, direct, folder),
                       os.path.join(folder, "load.log"))
        try:
            return _drive(fleet, load, scenario, times, folder)
        finally:
            load.stop()


def _drive(fleet, load, scenario, times, folder):
    sampler = Sampler(fleet)
    sampler.take("start")
    started = load.wait_for_line(r"started unix_ms=(\d+)", START_TIMEOUT_S)
    start_unix_s = int(started.group(1)) / 1000
    edges = [Step(times.fault_from_s, lambda: sampler.take("fault_from")),
             Step(times.fault_to_s, lambda: sampler.take("fault_to"))]
    late_s = take_steps(scenario.steps(fleet, times) + edges, start_unix_s)
    code = load.wait(times.length_s + END_GRACE_S)
    if code not in (0, 1):
        raise ProcessError(f"load driver: {load.log_tail()}")
    sampler.take("end")
    return _figures_of(fleet, sampler.samples, scenario, times, late_s, folder)


def _figures_of(fleet, samples, scenario, times, late_s, folder):
    deployment = fleet.deployment
    records = figures.read_records(os.path.join(folder, "records.jsonl"))
    during = figures.between(records, times.fault_from_s, times.fault_to_s)

    def extra_load(first, last, some):
        needed = figures.needed_attempts(some, deployment.shard_count)
        made = samples[last]["attempts"] - samples[first]["attempts"]
        return made / needed - 1 if needed else None

    machine = [last - first for first, last
               in zip(samples["start"]["machine_s"], samples["end"]["machine_s"])]
    processor_s = samples["end"]["processor_s"] - samples["start"]["processor_s"]
    result = {
        "times": asdict(times),
        "step_lateness_s": late_s,
        "machine_busy": 1 - machine[1] / machine[0],
        "machine_stolen": machine[2] / machine[0],
        "send_late_p99_ms": figures.quantile(
            sorted(r["late_ms"] for r in records), 0.99),
        "extra_load": extra_load("start", "end", records),
        "extra_load_during": extra_load("fault_from", "fault_to", during),
        "processor_ms_per_request": 1000 * processor_s / max(len(records), 1),
        "resident_mb": fleet.resident_bytes() / 2**20,
        "windows": figures.windows(records, times),
        "daemons_running": sum(d.running() for d in fleet.daemons),
        "daemons": len(fleet.daemons),
        "sheet_not_spread": fleet.sheet_not_spread,
        "platform_calls": fleet.platform_calls(),
        "connections_refused": sum(
            c["refused"] for c in fleet.connection_peaks().values()),
    }
    if scenario.load == "burst":
        result["burst_capacity"] = plans.burst_capacity(deployment, scenario)
    if scenario.load == "mixed":
        result["repeated_commands"] = len(
            fleet.repeated_commands(plans.command_services(deployment)))
    write_json(os.path.join(folder, "figures.json"), result)
    return result
