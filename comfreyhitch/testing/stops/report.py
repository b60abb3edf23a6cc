"""Describe the outcome of a run of stops, and name the cause of each request without an end."""

import json
from collections import Counter
from dataclasses import asdict, fields
from pathlib import Path
from statistics import median

from comfreyhitch.testing.stops.checker import Findings, find_stop
from comfreyhitch.testing.stops.records import CallerKind, Ending, Exchange, Run, Stop
from comfreyhitch.testing.stops.state import StopRun
from comfreyhitch.testing.stops.stop_counts import describe_stops

# A connection that ends so shortly before its process, or later, ended with the process.
PROCESS_END_SECONDS = 0.15
WAIT_SECONDS = 0.2


def name_cause(exchange: Exchange, stop: Stop | None, runs: list[Run]) -> str:
    """Return in which part of a stop a request was left without an end, and where it was."""
    place = _describe_place(exchange, runs)
    if exchange.is_behind_close:
        return f"behind an answer that closes its connection, {place}"
    if exchange.is_behind_unanswered:
        return f"behind a request without an answer, {place}"
    if stop is None:
        return f"outside a stop, {exchange.ending}, {place}"
    if exchange.ended_at < stop.exited_at - PROCESS_END_SECONDS:
        return f"connection {exchange.ending} before the end of the process, {place}"
    return f"end of the process, drained {stop.is_drained}, {place}"


def count_causes(run: StopRun) -> Counter[str]:
    """Count the requests without an end by cause."""
    return Counter(_name_cause(item, run) for item in run.findings.unended)


def describe_run(run: StopRun) -> str:
    """Return a summary: counts, requests without an end by cause, and crossings."""
    findings, exchanges = run.findings, run.load.exchanges
    drained = Counter(stop.is_drained for stop in run.stops)
    exit_codes = Counter(stop.exit_code for stop in run.stops)
    events = Counter(event for stop in run.stops for event in stop.events)
    others = [item for item in exchanges if item.kind is not CallerKind.HALF_CLOSE]
    hold_ups = run.load.hold_ups
    half_closed = [item for item in exchanges if item.kind is CallerKind.HALF_CLOSE]
    waited = sum(_has_waited(item, run) for item in exchanges)
    behind_close = sum(item.is_behind_close for item in findings.crossed)
    lines = [
        f"{len(run.stops)} stops {dict(events)}, drained {dict(drained)}, "
        f"exit codes {dict(exit_codes)}",
        f"stops took {_describe_lengths(run)}",
        f"{len(exchanges)} requests, {_get_rate(run):.0f}/s, {waited} waited over "
        f"{WAIT_SECONDS} s for a target; {run.load.refused_counts.total()} connections refused; "
        f"callers held up {max((end - start for start, end in hold_ups), default=0.0):.2f} s",
        f"endings {_count_endings(others)}; after a half close {_count_endings(half_closed)}",
        str({item.name: len(getattr(findings, item.name)) for item in fields(Findings)}),
        f"crossed: {behind_close} of them behind an answer that closes the connection",
    ]
    lines += [f"  {count} x {cause}" for cause, count in count_causes(run).most_common()]
    lines += [f"  WITHOUT AN END {describe(item, run)}" for item in findings.unended]
    lines += [
        f"  excused by the first signal alone {describe(item, run)}"
        for item in findings.excused_by_first_signal
    ]
    lines += describe_stops(run)
    lines += [
        f"  crossed {describe(item, run)}" for item in findings.crossed if not item.is_behind_close
    ]
    return "\n".join(lines)


def list_bad_stops(run: StopRun) -> list[Stop]:
    """Return the stops that lasted beyond the grace period or whose process ended with an error."""
    grace = run.fleet.grace_seconds
    return [stop for stop in run.stops if stop.seconds > grace or stop.exit_code != 0]


def describe(exchange: Exchange, run: StopRun) -> str:
    """Return one line about a request without a complete answer."""
    connection = "new" if exchange.is_new_connection else "kept"
    return (
        f"{exchange.request_id} {exchange.instance} {exchange.kind} {connection} "
        f"idle {exchange.idle_seconds:.3f}, {exchange.ending} {exchange.status or ''} after "
        f"{exchange.ended_at - exchange.last_sent_at:.3f} s, work {exchange.work_seconds}, "
        f"{_name_cause(exchange, run)}, "
        f"{_describe_stop(exchange, find_stop(exchange, run.stops))}"
    )


def write_records(run: StopRun, path: Path) -> None:
    """Write all requests without a complete answer, and all stops, as JSON lines."""
    with path.open("w") as file:
        for item in fields(Findings):
            for exchange in getattr(run.findings, item.name):
                runs = run.runs_by_id.get(exchange.request_id, [])
                entry = {
                    "list": item.name,
                    "runs": [asdict(item) for item in runs],
                    **asdict(exchange),
                }
                file.write(json.dumps(entry) + "\n")
        for stop in run.stops:
            file.write(json.dumps({"list": "stops", **asdict(stop)}) + "\n")


def _name_cause(exchange: Exchange, run: StopRun) -> str:
    runs = run.runs_by_id.get(exchange.request_id, [])
    return name_cause(exchange, find_stop(exchange, run.stops), runs)


def _describe_place(exchange: Exchange, runs: list[Run]) -> str:
    begun = [run for run in runs if run.started_at <= exchange.ended_at]
    if any(exchange.ended_at < run.ended_at for run in begun):
        return "at work at a target"
    if begun:
        return "finished by a target"
    return "waiting, run later" if runs else "never at a target"


def _describe_stop(exchange: Exchange, stop: Stop | None) -> str:
    if stop is None:
        return "no stop"
    return (
        f"sent {exchange.last_sent_at - stop.terminated_at:.3f}, ended "
        f"{exchange.ended_at - stop.terminated_at:.3f}, process ended "
        f"{stop.exited_at - stop.terminated_at:.3f} s after SIGTERM, {', '.join(stop.events)}"
    )


def _describe_lengths(run: StopRun) -> str:
    lengths = sorted(stop.seconds for stop in run.stops)
    if not lengths:
        return "no time"
    return (
        f"{median(lengths):.2f} s (median) to {lengths[-1]:.2f} s of {run.fleet.grace_seconds:g} s;"
        f" {len(list_bad_stops(run))} lasted longer or ended with an error"
    )


def _count_endings(exchanges: list[Exchange]) -> dict[str, int]:
    return dict(
        Counter(
            str(item.status) if item.ending is Ending.ANSWERED else str(item.ending)
            for item in exchanges
        )
    )


def _has_waited(exchange: Exchange, run: StopRun) -> bool:
    runs = run.runs_by_id.get(exchange.request_id)
    return runs is not None and runs[0].started_at - exchange.last_sent_at > WAIT_SECONDS


def _get_rate(run: StopRun) -> float:
    times = [item.first_sent_at for item in run.load.exchanges]
    return len(times) / (max(times) - min(times)) if len(times) > 1 else 0.0
