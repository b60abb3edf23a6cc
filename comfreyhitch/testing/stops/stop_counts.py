"""Count for each stop how its requests ended."""

from dataclasses import dataclass

from comfreyhitch.testing.stops.checker import find_stop, is_replaced
from comfreyhitch.testing.stops.records import Ending, Exchange, Stop
from comfreyhitch.testing.stops.state import StopRun

REFUSED_STATUS = 503
TIMED_OUT_STATUS = 504
MAX_SHOWN_SIGNALS = 4


@dataclass(slots=True)
class StopCounts:
    """Hold how many requests of a stop ended in which way.

    `replaced` are answers of the daemon's own for a target at work, excused or not.
    """

    refused: int = 0
    timed_out: int = 0
    replaced: int = 0
    excused_by_first_signal: int = 0
    unended: int = 0


def count_by_stop(run: StopRun) -> list[tuple[Stop, StopCounts]]:
    """Return the counts of each stop, in the order of the stops' first signals."""
    stops = sorted(run.stops, key=lambda stop: stop.terminated_at)
    counts = [(stop, StopCounts()) for stop in stops]
    counts_by_stop = {(stop.instance, stop.terminated_at): item for stop, item in counts}
    first_excused = {item.request_id for item in run.findings.excused_by_first_signal}
    unended = {item.request_id for item in run.findings.unended}
    for exchange in run.load.exchanges:
        stop = find_stop(exchange, stops)
        if stop is None:
            continue
        item = counts_by_stop[stop.instance, stop.terminated_at]
        _count_status(item, exchange, run)
        item.excused_by_first_signal += exchange.request_id in first_excused
        item.unended += exchange.request_id in unended
    return counts


def describe_stops(run: StopRun) -> list[str]:
    """Return one line for each stop: its signals, its length and its counts."""
    return [
        f"  stop of {stop.instance}, {', '.join(stop.events)}: {_describe_signals(stop)}; "
        f"ended after {stop.seconds:.2f} s, waited {stop.waited_seconds:.2f} s for a processor; "
        f"refused {item.refused}, 504 {item.timed_out}, "
        f"replaced {item.replaced}, excused by the first signal alone "
        f"{item.excused_by_first_signal}, without an end {item.unended}"
        for stop, item in count_by_stop(run)
    ]


def _count_status(item: StopCounts, exchange: Exchange, run: StopRun) -> None:
    if exchange.ending is not Ending.ANSWERED:
        return
    item.refused += exchange.status == REFUSED_STATUS
    item.timed_out += exchange.status == TIMED_OUT_STATUS
    item.replaced += is_replaced(exchange, run.runs_by_id.get(exchange.request_id, []))


def _describe_signals(stop: Stop) -> str:
    shown = [f"{item.name} {item.sent_at - stop.terminated_at:.2f}" for item in stop.signals]
    if len(shown) > MAX_SHOWN_SIGNALS:
        shown = [*shown[:2], f"{len(shown) - 3} more", shown[-1]]
    return ", ".join(shown)
