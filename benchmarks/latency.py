"""Measure the latency that two daemons add, their CPU time per request, and their memory."""

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
BLOCK_COUNT = 20
CALLS_PER_SECOND = 172
OPEN_LOOP_SECONDS = 20
GOAL_ADDED_P99_MS = 1.5


def measure_added_latency(fleet: Fleet) -> Iterator[dict[str, object]]:
    """Compare direct requests with requests through two daemons; the two kinds alternate."""
    egress = add_instance(fleet, "shopfront", "za")
    ingress = add_instance(
        fleet, "catalogue", "za", slots=20, target_arguments=["--service-ms", "0"]
    )
    start_fleet(fleet)
    direct = Caller.from_address(ingress.host, TARGET_PORT, {})
    via_daemons = make_service_caller(egress.host, "catalogue")
    for caller in (direct, via_daemons):
        run_closed_loop(caller, WARM_UP_REQUESTS)
        caller.sample.latency_seconds.clear()
    cpu_before = [get_cpu_seconds(item.daemon.pid) for item in (egress, ingress)]
    for _ in range(BLOCK_COUNT):
        run_closed_loop(direct, BLOCK_REQUESTS)
        run_closed_loop(via_daemons, BLOCK_REQUESTS)
    yield _compare_latencies("one caller", direct, via_daemons)
    for caller in (direct, via_daemons):
        caller.sample.latency_seconds.clear()
    cpu_between = [get_cpu_seconds(item.daemon.pid) for item in (egress, ingress)]
    callers_in_turn = itertools.cycle((direct, via_daemons))
    run_open_loop(lambda: next(callers_in_turn), 2 * CALLS_PER_SECOND, OPEN_LOOP_SECONDS, seed=1)
    yield _compare_latencies(f"{CALLS_PER_SECOND} calls/s", direct, via_daemons)
    cpu_after = [get_cpu_seconds(item.daemon.pid) for item in (egress, ingress)]
    requests = len(via_daemons.sample.latency_seconds)
    yield {
        "case": "processor ms for each request",
        "egress_one_caller": _get_ms_per_request(
            cpu_before[0], cpu_between[0], BLOCK_COUNT * BLOCK_REQUESTS
        ),
        "ingress_one_caller": _get_ms_per_request(
            cpu_before[1], cpu_between[1], BLOCK_COUNT * BLOCK_REQUESTS
        ),
        "egress": _get_ms_per_request(cpu_between[0], cpu_after[0], requests),
        "ingress": _get_ms_per_request(cpu_between[1], cpu_after[1], requests),
    }
    yield {
        "case": "resident MB",
        "egress": get_resident_mb(egress.daemon.pid),
        "ingress": get_resident_mb(ingress.daemon.pid),
        "target_mb": 64,
    }


def _compare_latencies(case: str, direct: Caller, via_daemons: Caller) -> dict[str, object]:
    direct_ms = summarize_ms(direct.sample.latency_seconds)
    through_ms = summarize_ms(via_daemons.sample.latency_seconds)
    return {
        "case": case,
        "requests": len(via_daemons.sample.latency_seconds),
        "errors": via_daemons.sample.errors,
        "statuses": via_daemons.sample.statuses,
        "direct_ms": direct_ms,
        "through_ms": through_ms,
        "added_p50_ms": round(through_ms["p50"] - direct_ms["p50"], 3),
        "added_p99_ms": round(through_ms["p99"] - direct_ms["p99"], 3),
        "target_added_p99_ms": GOAL_ADDED_P99_MS,
    }


def _get_ms_per_request(before: float, after: float, requests: int) -> float:
    return round((after - before) * 1000 / max(1, requests), 3)


RUNS = (measure_added_latency,)
