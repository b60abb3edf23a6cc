"""Requests that ran twice, or were refused as not run yet ran, under failures."""

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

REQUESTS = 10_000
CALLERS = 16
MAX_SENDS = 4
FAULT_SECONDS = 0.5
FREEZE_SECONDS = 0.8
TARGETS = 6
ENTRANCES = 2


@dataclass(slots=True)
class Ledger:
    """Hold what callers were told about each run id, and how often it ran."""

    told: dict[str, str] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    verdicts: Counter[str] = field(default_factory=Counter)
    resends: int = 0
    faults: Counter[str] = field(default_factory=Counter)


def measure_once(fleet: Fleet) -> Iterator[dict[str, object]]:
    """Send deposits, with and without keys, while targets and daemons fail."""
    entrances = [add_instance(fleet, "shop", "za") for _ in range(ENTRANCES)]
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
        for number in range(TARGETS)
    ]
    for instance in entrances:
        instance.environment.update({"gossip_interval": "0.3", "fence_after": "0.5"})
    start_fleet(fleet)
    ledger = Ledger()
    is_over = gevent.event.Event()
    breaker = gevent.spawn(_break_things, fleet, targets, ledger, is_over)
    started_at = time.monotonic()
    numbers = iter(range(REQUESTS))
    callers = [gevent.spawn(_call, entrances, numbers, ledger, seed) for seed in range(CALLERS)]
    gevent.joinall(callers, raise_error=True)
    is_over.set()
    breaker.join()
    gevent.sleep(2.0)
    ledger.runs = count_runs(fleet)
    yield _summarize(ledger, time.monotonic() - started_at)


def _call(entrances: list[Instance], numbers: Iterator[int], ledger: Ledger, seed: int) -> None:
    random = Random(seed)
    for number in numbers:
        run_id = f"deposit-{number}"
        is_keyed = number % 2 == 0
        for send in range(MAX_SENDS if is_keyed else 1):
            ledger.resends += send > 0
            verdict = _send(random.choice(entrances), run_id, is_keyed)
            ledger.verdicts[verdict] += 1
            ledger.told[run_id] = _combine(ledger.told.get(run_id), verdict)
            if verdict == "ran":
                break


def _send(entrance: Instance, run_id: str, is_keyed: bool) -> str:
    headers = {"X-Run-Id": run_id, "Comfreyhitch-Timeout-Ms": "4000"}
    if is_keyed:
        headers["Idempotency-Key"] = run_id
    try:
        answer = call_service(
            entrance,
            "payments",
            "/deposits",
            method="POST",
            body=run_id.encode(),
            headers=headers,
        )
    except (OSError, HTTPParseError):
        return "no answer"
    return answer.verdict


def _combine(known: str | None, verdict: str) -> str:
    """Return what a caller may believe after several answers."""
    if known in (None, "not-run"):
        return verdict
    return "ran" if verdict == "ran" else known


def _break_things(
    fleet: Fleet, targets: list[Instance], ledger: Ledger, is_over: gevent.event.Event
) -> None:
    random = Random(11)
    while not is_over.wait(FAULT_SECONDS):
        instance = random.choice(targets)
        fault = random.choice(["kill target", "kill daemon", "freeze daemon", "silence"])
        ledger.faults[fault] += 1
        if fault == "kill target":
            kill(instance.target)
            start_target(fleet, instance)
        elif fault == "kill daemon":
            kill(instance.daemon)
            start_daemon(fleet, instance)
        elif fault == "freeze daemon":
            suspend(instance.daemon)
            gevent.sleep(FREEZE_SECONDS)
            resume(instance.daemon)
        else:
            set_relay_faults(instance, silence=True)


def _summarize(ledger: Ledger, seconds: float) -> dict[str, object]:
    return {
        "case": "non-idempotent requests under failures",
        "requests": REQUESTS,
        "resends": ledger.resends,
        "seconds": round(seconds, 1),
        "faults": dict(ledger.faults),
        "verdicts": dict(ledger.verdicts),
        "ran_twice": sum(count > 1 for count in ledger.runs.values()),
        "ids_run_twice": sorted(run_id for run_id, count in ledger.runs.items() if count > 1),
        "told_not_run_yet_ran": sum(
            ledger.told[run_id] == "not-run" for run_id in ledger.runs if run_id in ledger.told
        ),
        "target": 0,
    }


RUNS = (measure_once,)
