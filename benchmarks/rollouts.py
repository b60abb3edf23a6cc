"""Measure how many requests a faulty version gets, and the time until its share is 0.

One good version and five kinds of faulty ones are measured.
"""

import json
import time
from collections.abc import Callable, Iterator
from datetime import UTC, datetime, timedelta
from functools import partial
from random import Random

import gevent

from comfreyhitch.management.editing import read_section, write_section
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.sections.acceptance import parse_section_status
from comfreyhitch.sections.storage import get_section
from comfreyhitch.testing.fleet import (
    Fleet,
    add_instance,
    get_target_state,
    set_faults,
    start_fleet,
    start_platform,
)
from comfreyhitch.testing.processes import (
    wait_until,
)
from comfreyhitch.testing.traffic import Traffic, start_traffic, stop_traffic

ROLLOUT_DURATION = timedelta(seconds=40)
LATE_FAULT_DELAY_SECONDS = 25.0
CALLER_COUNT = 16
FAULTS_BY_KIND: dict[str, tuple[dict[str, object], float]] = {
    "good": ({}, 0.0),
    "fails at once": ({"failure_share": 0.5}, 0.0),
    "slow at once": ({"slow_factor": 4.0, "slow_seconds": 1e6}, 0.0),
    "fails later": ({"failure_share": 0.5}, LATE_FAULT_DELAY_SECONDS),
    "slow only under load": ({"slow_factor": 5.0, "slow_above_in_flight": 2}, 0.0),
    "fails on one route": ({"failure_share": 0.7, "failing_path": "/quotes"}, 0.0),
}


def measure_rollout(kind: str, fleet: Fleet) -> Iterator[dict[str, object]]:
    """Measure the rollout of one kind of version under steady traffic."""
    faults, delay_seconds = FAULTS_BY_KIND[kind]
    start_platform(fleet)
    for version in ("v1", "v2"):
        for zone in ("za", "zb"):
            add_instance(
                fleet,
                "workshop",
                zone,
                version=version,
                target_arguments=["--service-ms", "10", "--random-service-time"],
            )
    start_fleet(fleet)
    new_instances = [item for item in fleet.instances_by_name.values() if item.version == "v2"]
    client = PlatformClient.from_url(fleet.platform_url)
    _apply_section(client, {"services": {"workshop": {"version": "v1"}}, "freezes": []})
    gevent.sleep(1.5)
    entry_instances = list(fleet.instances_by_name.values())
    traffic = [
        Traffic(entry_instances, "workshop", Random(seed), {"path": path})
        for seed, path in enumerate(("/", "/quotes"))
    ]
    start_traffic(traffic[0], CALLER_COUNT * 3 // 4)
    start_traffic(traffic[1], CALLER_COUNT // 4)
    gevent.sleep(2.0)
    started_at = time.monotonic()
    _start_rollout(client)
    if delay_seconds:
        gevent.sleep(delay_seconds)
    faults_set_at = time.monotonic()
    requests_before_faults = sum(get_target_state(item)["requests"] for item in new_instances)
    for instance in new_instances:
        set_faults(instance, **json.loads(json.dumps(faults)))
    outcome = _wait_for_outcome(client)
    ended_at = time.monotonic()
    gevent.sleep(2.0)
    for item in traffic:
        stop_traffic(item)
    requests_since_faults = (
        sum(get_target_state(item)["requests"] for item in new_instances) - requests_before_faults
    )
    results_of_new_version = [
        result for item in traffic for result in item.results if result.version == "v2"
    ]
    last_request_at = max(
        (result.started_at for result in results_of_new_version), default=faults_set_at
    )
    yield {
        "kind": kind,
        "phase": outcome["phase"],
        "reason": outcome["reason"],
        "rollout_seconds": ROLLOUT_DURATION.total_seconds(),
        "seconds_to_outcome": round(ended_at - started_at, 1),
        "seconds_from_badness_to_last_request": round(last_request_at - faults_set_at, 1),
        "requests": sum(len(item.results) for item in traffic),
        "requests_on_new_version_since_badness": requests_since_faults,
    }


def _start_rollout(client: PlatformClient) -> None:
    start = datetime.now(UTC)
    finish = start + ROLLOUT_DURATION
    rollout = {"to": "v2", "start": start.isoformat(), "finish_by": finish.isoformat()}
    service = {
        "version": "v1",
        "rollout": rollout,
        "routes": [{"path": "/quotes"}],
    }
    _apply_section(client, {"services": {"workshop": service}, "freezes": []})


def _apply_section(client: PlatformClient, content: dict[str, object]) -> None:
    base = read_section(client, "workshop").unwrap()
    write_section(client, "workshop", content, base).unwrap()


def _wait_for_outcome(client: PlatformClient) -> dict[str, str]:
    found: dict[str, str] = {}

    def has_ended() -> bool:
        item = get_section(client, "workshop").unwrap()
        for entry in parse_section_status(item).rollouts.values():
            if entry["phase"] != "in-progress":
                found.update(entry)
        return bool(found)

    wait_until(has_ended, ROLLOUT_DURATION.total_seconds() + 20, "outcome")
    return found


RUNS: tuple[Callable[[Fleet], Iterator[dict[str, object]]], ...] = tuple(
    partial(measure_rollout, kind) for kind in FAULTS_BY_KIND
)
