"""Latency that the path adds, processor time for each request, and memory."""

import itertools
from collections.abc import Iterator

from benchmarks.load import Caller, make_service_caller, run_closed_loop, run_open_loop
from benchmarks.reporting import get_cpu_seconds, get_resident_mb, summarize_ms
from comfreyhitch.testing.fleet import (
    TARGET_PORT,
    Fleet,
    add_instance,
    start_fleet,
)

WARM_UP_REQUESTS = 300
BLOCK_REQUESTS = 100
BLOCKS = 20
CALLS_PER_SECOND = 172
OPEN_LOOP_SECONDS = 20
TARGET_MS = 1.5


def measure_added_latency(fleet: Fleet) -> Iterator[dict[str, object]]:
    """Compare direct requests with requests through two daemons, in turn."""
    egress = add_instance(fleet, "shopfront", "za")
    ingress = add_instance(
        fleet, "catalogue", "za", slots=20, target_arguments=["--service-ms", "0"]
    )
    start_fleet(fleet)
    direct = Caller.from_address(ingress.host, TARGET_PORT, {})
    through = make_service_caller(egress.host, "catalogue")
    for caller in (direct, through):
        run_closed_loop(caller, WARM_UP_REQUESTS)
        caller.sample.seconds.clear()
    cpu_before = [get_cpu_seconds(item.daemon.pid) for item in (egress, ingress)]
    for _ in range(BLOCKS):
        run_closed_loop(direct, BLOCK_REQUESTS)
        run_closed_loop(through, BLOCK_REQUESTS)
    yield _compare("one caller", direct, through)
    for caller in (direct, through):
        caller.sample.seconds.clear()
    cpu_between = [get_cpu_seconds(item.daemon.pid) for item in (egress, ingress)]
    turns = itertools.cycle((direct, through))
    run_open_loop(lambda: next(turns), 2 * CALLS_PER_SECOND, OPEN_LOOP_SECONDS, seed=1)
    yield _compare(f"{CALLS_PER_SECOND} calls/s", direct, through)
    cpu_after = [get_cpu_seconds(item.daemon.pid) for item in (egress, ingress)]
    requests = len(through.sample.seconds)
    yield {
        "case": "processor ms for each request",
        "egress_one_caller": _per_request(cpu_before[0], cpu_between[0], BLOCKS * BLOCK_REQUESTS),
        "ingress_one_caller": _per_request(cpu_before[1], cpu_between[1], BLOCKS * BLOCK_REQUESTS),
        "egress": _per_request(cpu_between[0], cpu_after[0], requests),
        "ingress": _per_request(cpu_between[1], cpu_after[1], requests),
    }
    yield {
        "case": "resident MB",
        "egress": get_resident_mb(egress.daemon.pid),
        "ingress": get_resident_mb(ingress.daemon.pid),
        "target_mb": 64,
    }


def _compare(case: str, direct: Caller, through: Caller) -> dict[str, object]:
    direct_ms = summarize_ms(direct.sample.seconds)
    through_ms = summarize_ms(through.sample.seconds)
    return {
        "case": case,
        "requests": len(through.sample.seconds),
        "errors": through.sample.errors,
        "statuses": through.sample.statuses,
        "direct_ms": direct_ms,
        "through_ms": through_ms,
        "added_p50_ms": round(through_ms["p50"] - direct_ms["p50"], 3),
        "added_p99_ms": round(through_ms["p99"] - direct_ms["p99"], 3),
        "target_added_p99_ms": TARGET_MS,
    }


def _per_request(before: float, after: float, requests: int) -> float:
    return round((after - before) * 1000 / max(1, requests), 3)


RUNS = (measure_added_latency,)
