"""Figures of a run from the records of the load driver."""

import json
import math

GROUP_KEYS = ("kind", "priority")


def read_records(path):
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file]


def quantile(ordered, share):
    """The smallest sample that at least the share of all do not exceed."""
    if not ordered:
        return None
    rank = max(math.ceil(share * len(ordered)), 1)
    return ordered[rank - 1]


def missing_by_reason(answers):
    """Missing shards of all answers by the reason that the answers state."""
    reasons = {}
    for answer in answers:
        for reason, count in answer["missing"].items():
            reasons[reason] = reasons.get(reason, 0) + count
    return reasons


def summarize(records):
    """Figures of some records; latencies in ms over all answers."""
    answers = [r for r in records if r["status"] == 200]
    latencies = sorted(r["latency_ms"] for r in answers)
    wanted = sum(r["wanted"] for r in answers)
    whole = [r for r in answers
             if r["fault"] == "none" and r["covered"] == r["wanted"]]
    refused = [r for r in records if r["status"] in (429, 503)]
    return {
        "sent": len(records),
        "answered": len(answers),
        "whole": len(whole),
        "refused": len(refused),
        "failed": len(records) - len(answers) - len(refused),
        "faulty": sum(r["fault"] != "none" for r in records),
        "p50_ms": quantile(latencies, 0.5),
        "p99_ms": quantile(latencies, 0.99),
        "p999_ms": quantile(latencies, 0.999),
        "coverage": sum(r["covered"] for r in answers) / wanted if wanted else None,
        "missing": missing_by_reason(answers),
        "shards_covered": sum(r["covered"] for r in answers),
    }


def between(records, from_s, to_s):
    return [r for r in records if from_s * 1000 <= r["offset_ms"] < to_s * 1000]


def by_group(records):
    """Figures by kind and priority, and over all under "all"."""
    groups = {}
    for record in records:
        name = "/".join(record[key] for key in GROUP_KEYS)
        groups.setdefault(name, []).append(record)
    figures = {name: summarize(group) for name, group in sorted(groups.items())}
    figures["all"] = summarize(records)
    return figures


def windows(records, times):
    """Figures of each window of a run, by the intended send time."""
    recovered_s = times.fault_to_s + times.recovery_s
    spans = {
        "before": (times.warmup_s, times.fault_from_s),
        "during": (times.fault_from_s, times.fault_to_s),
        "settled": (times.fault_from_s + 3, times.fault_to_s),
        "recovered": (recovered_s, times.length_s),
        "reported": (times.warmup_s, times.length_s),
    }
    return {name: by_group(between(records, *span))
            for name, span in spans.items()}


def needed_attempts(records, shard_count):
    """Sub-requests that the answered or tried requests need at least."""
    needed = 0
    for record in records:
        if record["status"] in (429, 503):
            continue
        survey = record["kind"] == "survey"
        needed += shard_count(record["service"]) if survey else 1
    return needed


def median(values):
    known = sorted(v for v in values if v is not None)
    return known[len(known) // 2] if known else None


def spread(values):
    """(least, median, greatest) of the values that are known."""
    known = [v for v in values if v is not None]
    if not known:
        return None, None, None
    return min(known), median(known), max(known)
