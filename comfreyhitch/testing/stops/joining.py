"""Add to records of requests and stops what other processes logged, and when."""

import json
from collections import defaultdict
from datetime import datetime
from pathlib import Path

from comfreyhitch.testing.platform_models import LoggedRun
from comfreyhitch.testing.stops.records import Exchange, Run, Stop

# After it was held up, this process sees what has happened meanwhile within this time.
HOLD_UP_MARGIN_SECONDS = 0.02


def join_runs(starts: list[LoggedRun], ends: list[LoggedRun]) -> dict[str, list[Run]]:
    """Return the runs by request id; a target runs a request at most once at a time."""
    ends_by_run = defaultdict(list)
    for entry in reversed(ends):
        ends_by_run[entry.request_id, entry.instance_id].append(entry.logged_at)
    runs_by_id = defaultdict(list)
    for entry in starts:
        found = ends_by_run[entry.request_id, entry.instance_id]
        run = Run(entry.logged_at, found.pop()) if found else Run(entry.logged_at)
        runs_by_id[entry.request_id].append(run)
    return dict(runs_by_id)


def record_hold_ups(
    exchanges: list[Exchange], stops: list[Stop], hold_ups: list[tuple[float, float]]
) -> None:
    """Record for each request and stop by how much its end may have been seen too late."""
    for exchange in exchanges:
        exchange.held_up_seconds = _find_held_up_seconds(exchange.ended_at, hold_ups)
    for stop in stops:
        stop.held_up_seconds = _find_held_up_seconds(stop.exited_at, hold_ups)


def _find_held_up_seconds(seen_at: float, hold_ups: list[tuple[float, float]]) -> float:
    for start, end in hold_ups:
        if start <= seen_at <= end + HOLD_UP_MARGIN_SECONDS:
            return seen_at - start
    return 0.0


def record_drained(stops: list[Stop], log_path: Path) -> None:
    """Record for each stop of a daemon whether its log says that it drained."""
    for line in log_path.read_text().splitlines():
        if '"message": "stopped"' not in line:
            continue
        entry = json.loads(line)
        logged_at = datetime.fromisoformat(entry["time"]).timestamp()
        for stop in stops:
            if stop.terminated_at <= logged_at <= stop.exited_at:
                stop.is_drained = entry["drained"]
