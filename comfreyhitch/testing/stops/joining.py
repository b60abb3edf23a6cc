"""Add to records of requests and stops what other processes logged, and when."""

import json
from datetime import datetime
from pathlib import Path

from comfreyhitch.testing.stops.records import Exchange, Stop

# After it was held up, this process sees what has happened meanwhile within this time.
HOLD_UP_MARGIN_SECONDS = 0.02


def record_hold_ups(exchanges: list[Exchange], hold_ups: list[tuple[float, float]]) -> None:
    """Record for each request by how much its end may have been seen too late."""
    for exchange in exchanges:
        for start, end in hold_ups:
            if start <= exchange.ended_at <= end + HOLD_UP_MARGIN_SECONDS:
                exchange.held_up_seconds = exchange.ended_at - start
                break


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
