"""Compare the tail latency of choice rules while random targets have slow periods."""

import itertools
import time
from collections.abc import Callable, Iterator
from functools import partial
from random import Random

import gevent
import gevent.event

from benchmarks.load import make_service_caller, run_open_loop
from benchmarks.reporting import summarize_ms
from comfreyhitch.testing.fleet import (
    ADMIN_PORT,
    Fleet,
    Instance,
    add_instance,
    get_target_state,
    set_faults,
    start_fleet,
)
from comfreyhitch.testing.http_requests import (
    request,
)

TARGET_COUNT = 5
ENTRY_INSTANCE_COUNT = 4
SLOTS = 10
SERVICE_MS = 30
LOAD_SHARE = 0.7
WARM_UP_SECONDS = 3
MEASURED_SECONDS = 15
SLOW_FACTOR = 10
SLOW_SECONDS = 0.2
MEAN_SLOW_GAP_SECONDS = 1.0
RULES = (
    ("random", "0"),
    ("round-robin", "0"),
    ("least-in-flight", "0"),
    ("load-aware", "0"),
    ("load-aware", "0.05"),
)


def measure_rule(rule: str, hedge_budget: str, fleet: Fleet) -> Iterator[dict[str, object]]:
    """Measure one rule with the same random arrivals and slow periods as the others."""
    fleet.settings.update({"choice_rule": rule, "hedge_budget": hedge_budget})
    entry_instances = [
        add_instance(fleet, "shopfront", f"z{'abcd'[n]}") for n in range(ENTRY_INSTANCE_COUNT)
    ]
    arguments = ["--service-ms", str(SERVICE_MS), "--random-service-time"]
    targets = [
        add_instance(
            fleet,
            "catalogue",
            f"z{'abcd'[number % 4]}",
            slots=SLOTS,
            target_arguments=[*arguments, "--seed", str(number)],
        )
        for number in range(TARGET_COUNT)
    ]
    start_fleet(fleet)
    callers = [make_service_caller(item.host, "catalogue") for item in entry_instances]
    callers_in_turn = itertools.cycle(callers)
    rate = LOAD_SHARE * TARGET_COUNT * SLOTS * 1000 / SERVICE_MS
    run_open_loop(lambda: next(callers_in_turn), rate * 0.5, WARM_UP_SECONDS, seed=1)
    for caller in callers:
        caller.sample.latency_seconds.clear()
        caller.sample.statuses.clear()
    measurement_ended = gevent.event.Event()
    slow_period_injector = gevent.spawn(_inject_slow_periods, targets, measurement_ended)
    before = _count_probes(entry_instances), _count_health_reads(targets)
    started_at = time.monotonic()
    run_open_loop(lambda: next(callers_in_turn), rate, MEASURED_SECONDS, seed=2)
    seconds = time.monotonic() - started_at
    after = _count_probes(entry_instances), _count_health_reads(targets)
    measurement_ended.set()
    slow_period_injector.join()
    latencies = [second for caller in callers for second in caller.sample.latency_seconds]
    yield {
        "rule": rule,
        "hedge_budget": float(hedge_budget),
        "calls_per_second": round(rate),
        "ms": summarize_ms(latencies),
        "statuses": _sum_statuses(callers),
        "errors": sum(caller.sample.errors for caller in callers),
        "probes_per_target_per_second": round((after[0] - before[0]) / TARGET_COUNT / seconds, 2),
        "health_reads_per_target_per_second": round(
            (after[1] - before[1]) / TARGET_COUNT / seconds, 2
        ),
    }


def _inject_slow_periods(targets: list[Instance], measurement_ended: gevent.event.Event) -> None:
    random = Random(3)
    while not measurement_ended.wait(random.expovariate(1 / MEAN_SLOW_GAP_SECONDS)):
        target = random.choice(targets)
        set_faults(target, slow_factor=SLOW_FACTOR, slow_seconds=SLOW_SECONDS)


def _count_probes(entry_instances: list[Instance]) -> float:
    return sum(read_metric(item, "comfreyhitch_probes_total") for item in entry_instances)


def _count_health_reads(targets: list[Instance]) -> int:
    return sum(get_target_state(item)["health_reads"] for item in targets)


def read_metric(instance: Instance, name: str) -> float:
    """Return the sum of a daemon's metric over all its label values."""
    text = request(instance.host, "/metrics", port=ADMIN_PORT).body.decode()
    lines = [line for line in text.splitlines() if line.startswith(name)]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


def _sum_statuses(callers: list) -> dict[int, int]:
    total: dict[int, int] = {}
    for caller in callers:
        for status, count in caller.sample.statuses.items():
            total[status] = total.get(status, 0) + count
    return total


RUNS: tuple[Callable[[Fleet], Iterator[dict[str, object]]], ...] = tuple(
    partial(measure_rule, rule, hedge_budget) for rule, hedge_budget in RULES
)
