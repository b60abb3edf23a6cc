"""Requests that a bad version harms, and time to share 0, for five kinds of badness."""

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

ROLLOUT = timedelta(seconds=40)
LATE_SECONDS = 25.0
CALLERS = 16
KINDS: dict[str, tuple[dict[str, object], float]] = {
    "good": ({}, 0.0),
    "fails at once": ({"failure_share": 0.5}, 0.0),
    "slow at once": ({"slow_factor": 4.0, "slow_seconds": 1e6}, 0.0),
    "fails later": ({"failure_share": 0.5}, LATE_SECONDS),
    "slow only under load": ({"slow_factor": 5.0, "slow_above_in_flight": 2}, 0.0),
    "fails on one route": ({"failure_share": 0.7, "failing_path": "/quotes"}, 0.0),
}


def measure_kind(kind: str, fleet: Fleet) -> Iterator[dict[str, object]]:
    """Measure one rollout under steady traffic."""
    faults, delay_seconds = KINDS[kind]
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
    new = [item for item in fleet.instances_by_name.values() if item.version == "v2"]
    client = PlatformClient.from_url(fleet.platform_url)
    _write(client, {"services": {"workshop": {"version": "v1"}}, "freezes": []})
    gevent.sleep(1.5)
    entrances = list(fleet.instances_by_name.values())
    traffic = [
        Traffic(entrances, "workshop", Random(seed), {"path": path})
        for seed, path in enumerate(("/", "/quotes"))
    ]
    start_traffic(traffic[0], CALLERS * 3 // 4)
    start_traffic(traffic[1], CALLERS // 4)
    gevent.sleep(2.0)
    started_at = time.monotonic()
    _start_rollout(client)
    if delay_seconds:
        gevent.sleep(delay_seconds)
    bad_since = time.monotonic()
    harmed_before = sum(get_target_state(item)["requests"] for item in new)
    for instance in new:
        set_faults(instance, **json.loads(json.dumps(faults)))
    outcome = _wait_for_outcome(client)
    ended_at = time.monotonic()
    gevent.sleep(2.0)
    for item in traffic:
        stop_traffic(item)
    harmed = sum(get_target_state(item)["requests"] for item in new) - harmed_before
    on_new = [result for item in traffic for result in item.results if result.version == "v2"]
    last = max((result.started_at for result in on_new), default=bad_since)
    yield {
        "kind": kind,
        "phase": outcome["phase"],
        "reason": outcome["reason"],
        "rollout_seconds": ROLLOUT.total_seconds(),
        "seconds_to_outcome": round(ended_at - started_at, 1),
        "seconds_from_badness_to_last_request": round(last - bad_since, 1),
        "requests": sum(len(item.results) for item in traffic),
        "requests_on_new_version_since_badness": harmed,
    }


def _start_rollout(client: PlatformClient) -> None:
    start = datetime.now(UTC)
    finish = start + ROLLOUT
    rollout = {"to": "v2", "start": start.isoformat(), "finish_by": finish.isoformat()}
    service = {
        "version": "v1",
        "rollout": rollout,
        "routes": [{"path": "/quotes"}],
    }
    _write(client, {"services": {"workshop": service}, "freezes": []})


def _write(client: PlatformClient, content: dict[str, object]) -> None:
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

    wait_until(has_ended, ROLLOUT.total_seconds() + 20, "outcome")
    return found


RUNS: tuple[Callable[[Fleet], Iterator[dict[str, object]]], ...] = tuple(
    partial(measure_kind, kind) for kind in KINDS
)
