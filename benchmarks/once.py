"""Count deposits that ran twice, or ran despite verdict not-run, under faults."""

import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

import gevent
import gevent.event
from geventhttpclient.response import HTTPParseError

from comfreyhitch.testing.fleet import (
    Fleet,
    Instance,
    add_instance,
    call_service,
    count_runs,
    set_relay_faults,
    start_daemon,
    start_fleet,
    start_target,
)
from comfreyhitch.testing.processes import (
    kill,
    resume,
    suspend,
)

REQUEST_COUNT = 10_000
CALLER_COUNT = 16
MAX_SENDS_PER_KEY = 4
FAULT_INTERVAL_SECONDS = 0.5
SUSPENSION_SECONDS = 0.8
TARGET_COUNT = 6
ENTRY_INSTANCE_COUNT = 2


@dataclass(slots=True)
class RunRecord:
    """Hold the verdict and runs of each run id, and counts of verdicts, resends and faults."""

    verdicts_by_run_id: dict[str, str] = field(default_factory=dict)
    run_counts: Counter[str] = field(default_factory=Counter)
    verdict_counts: Counter[str] = field(default_factory=Counter)
    resend_count: int = 0
    fault_counts: Counter[str] = field(default_factory=Counter)


def measure_once(fleet: Fleet) -> Iterator[dict[str, object]]:
    """Send deposits, with and without idempotency keys, while targets and daemons fail."""
    entry_instances = [add_instance(fleet, "shop", "za") for _ in range(ENTRY_INSTANCE_COUNT)]
    arguments = ["--service-ms", "40", "--random-service-time"]
    targets = [
        add_instance(
            fleet,
            "payments",
            f"z{'abc'[number % 3]}",
            target_arguments=arguments,
            has_relay=True,
            settings={"gossip_interval": "0.3", "fence_after": "0.5"},
        )
        for number in range(TARGET_COUNT)
    ]
    for instance in entry_instances:
        instance.environment.update({"gossip_interval": "0.3", "fence_after": "0.5"})
    start_fleet(fleet)
    record = RunRecord()
    traffic_ended = gevent.event.Event()
    fault_injector = gevent.spawn(_inject_faults, fleet, targets, record, traffic_ended)
    started_at = time.monotonic()
    numbers = iter(range(REQUEST_COUNT))
    callers = [
        gevent.spawn(_send_requests, entry_instances, numbers, record, seed)
        for seed in range(CALLER_COUNT)
    ]
    gevent.joinall(callers, raise_error=True)
    traffic_ended.set()
    fault_injector.join()
    gevent.sleep(2.0)
    record.run_counts = count_runs(fleet)
    yield _summarize(record, time.monotonic() - started_at)


def _send_requests(
    entry_instances: list[Instance], numbers: Iterator[int], record: RunRecord, seed: int
) -> None:
    random = Random(seed)
    for number in numbers:
        run_id = f"deposit-{number}"
        is_keyed = number % 2 == 0
        for send_number in range(MAX_SENDS_PER_KEY if is_keyed else 1):
            record.resend_count += send_number > 0
            verdict = _send_deposit(random.choice(entry_instances), run_id, is_keyed)
            record.verdict_counts[verdict] += 1
            record.verdicts_by_run_id[run_id] = _combine_verdicts(
                record.verdicts_by_run_id.get(run_id), verdict
            )
            if verdict == "ran":
                break


def _send_deposit(entry_instance: Instance, run_id: str, is_keyed: bool) -> str:
    headers = {"X-Run-Id": run_id, "Comfreyhitch-Timeout-Ms": "4000"}
    if is_keyed:
        headers["Idempotency-Key"] = run_id
    try:
        response = call_service(
            entry_instance,
            "payments",
            "/deposits",
            method="POST",
            body=run_id.encode(),
            headers=headers,
        )
    except (OSError, HTTPParseError):
        return "no answer"
    return response.verdict


def _combine_verdicts(known: str | None, verdict: str) -> str:
    """Return the verdict on a request that follows from all its responses together."""
    if known in (None, "not-run"):
        return verdict
    return "ran" if verdict == "ran" else known


def _inject_faults(
    fleet: Fleet, targets: list[Instance], record: RunRecord, traffic_ended: gevent.event.Event
) -> None:
    random = Random(11)
    while not traffic_ended.wait(FAULT_INTERVAL_SECONDS):
        instance = random.choice(targets)
        fault = random.choice(["kill target", "kill daemon", "freeze daemon", "silence"])
        record.fault_counts[fault] += 1
        if fault == "kill target":
            kill(instance.target)
            start_target(fleet, instance)
        elif fault == "kill daemon":
            kill(instance.daemon)
            start_daemon(fleet, instance)
        elif fault == "freeze daemon":
            suspend(instance.daemon)
            gevent.sleep(SUSPENSION_SECONDS)
            resume(instance.daemon)
        else:
            set_relay_faults(instance, silence=True)


def _summarize(record: RunRecord, seconds: float) -> dict[str, object]:
    return {
        "case": "non-idempotent requests under failures",
        "requests": REQUEST_COUNT,
        "resends": record.resend_count,
        "seconds": round(seconds, 1),
        "faults": dict(record.fault_counts),
        "verdicts": dict(record.verdict_counts),
        "ran_twice": sum(count > 1 for count in record.run_counts.values()),
        "ids_run_twice": sorted(run_id for run_id, count in record.run_counts.items() if count > 1),
        "told_not_run_yet_ran": sum(
            record.verdicts_by_run_id[run_id] == "not-run"
            for run_id in record.run_counts
            if run_id in record.verdicts_by_run_id
        ),
        "target": 0,
    }


RUNS = (measure_once,)
