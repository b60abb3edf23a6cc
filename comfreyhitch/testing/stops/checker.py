"""Find the requests that were read or passed on, and ended without an answer."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from comfreyhitch.testing.stops.records import CallerKind, Ending, Exchange, Run, Stop

# A request without an answer that ends within this time may have crossed the close unread.
CROSSING_SECONDS = 0.2
# A request at work in the last sixth of the grace period is excused if it was sent early.
WORK_END_SHARE = 5 / 6
EARLY_SECONDS = 3.0
# With a shorter grace period than the platform's, "early" is as early a share of it.
EARLY_SHARE = 0.5
MIN_SERVER_ERROR_STATUS = 500

RunsById = Mapping[str, list[Run]]


@dataclass(slots=True)
class Findings:
    """Hold the requests without a complete answer, by what the rules say of them."""

    unended: list[Exchange] = field(default_factory=list)
    half_closed: list[Exchange] = field(default_factory=list)
    crossed: list[Exchange] = field(default_factory=list)
    unsent: list[Exchange] = field(default_factory=list)
    excused_at_work: list[Exchange] = field(default_factory=list)
    # Excused by the time of the stop's first signal, but not by that of the last SIGTERM.
    excused_by_first_signal: list[Exchange] = field(default_factory=list)
    excused_by_time: list[Exchange] = field(default_factory=list)
    # Answered with a failure of the daemon's own while a target was at work.
    replaced: list[Exchange] = field(default_factory=list)
    # The same, but excused as if there had been no answer.
    replaced_at_work: list[Exchange] = field(default_factory=list)


def check_exchanges(
    exchanges: Iterable[Exchange], runs_by_id: RunsById, stops: list[Stop], grace_seconds: float
) -> Findings:
    """Sort the requests that got no complete answer; `runs_by_id` has the runs by request id."""
    findings = Findings()
    for exchange in exchanges:
        _get_list(findings, exchange, runs_by_id, stops, grace_seconds).append(exchange)
    return findings


def find_stop(exchange: Exchange, stops: list[Stop]) -> Stop | None:
    """Return the stop of the process to which the request's connection led, if it had begun."""
    for stop in sorted(stops, key=lambda stop: stop.terminated_at):
        if stop.instance == exchange.instance and exchange.connection_opened_at <= stop.exited_at:
            return stop if stop.terminated_at <= exchange.ended_at else None
    return None


def _get_list(
    findings: Findings,
    exchange: Exchange,
    runs_by_id: RunsById,
    stops: list[Stop],
    grace_seconds: float,
) -> list[Exchange]:
    runs = runs_by_id.get(exchange.request_id, [])
    if exchange.ending is Ending.ANSWERED:
        if not is_replaced(exchange, runs):
            return []
        excused = _find_excuse(findings, exchange, runs, stops, grace_seconds)
        if excused is findings.excused_at_work:
            return findings.replaced_at_work
        return findings.replaced if excused is None else excused
    if exchange.kind is CallerKind.HALF_CLOSE:
        return findings.half_closed
    if not exchange.last_sent_at:
        return findings.unsent
    if exchange.ended_at - exchange.first_sent_at >= exchange.limit_seconds:
        return findings.excused_by_time
    unanswered_seconds = exchange.ended_at - exchange.last_sent_at - exchange.held_up_seconds
    if not runs and unanswered_seconds <= CROSSING_SECONDS:
        return findings.crossed
    excused = _find_excuse(findings, exchange, runs, stops, grace_seconds)
    return findings.unended if excused is None else excused


def _find_excuse(
    findings: Findings,
    exchange: Exchange,
    runs: list[Run],
    stops: list[Stop],
    grace_seconds: float,
) -> list[Exchange] | None:
    """Return the list of a request that was at work at the end of a stop, or None."""
    stop = find_stop(exchange, stops)
    if stop is None:
        return None
    if _is_excused_at_work(exchange, runs, stop.last_terminated_at, grace_seconds):
        return findings.excused_at_work
    if _is_excused_at_work(exchange, runs, stop.terminated_at, grace_seconds):
        return findings.excused_by_first_signal
    return None


def _is_excused_at_work(
    exchange: Exchange, runs: list[Run], terminated_at: float, grace_seconds: float
) -> bool:
    early_seconds = min(EARLY_SECONDS, EARLY_SHARE * grace_seconds)
    last_sixth_at = terminated_at + WORK_END_SHARE * grace_seconds
    # The end of a request ends the work on it, so what a target does afterwards doesn't count.
    is_at_work = exchange.ended_at >= last_sixth_at and any(
        run.started_at <= exchange.ended_at and run.ended_at >= last_sixth_at for run in runs
    )
    return is_at_work and exchange.last_sent_at <= terminated_at + early_seconds


def is_replaced(exchange: Exchange, runs: list[Run]) -> bool:
    """Return whether a daemon answered with its own failure while a target was at work."""
    return (
        exchange.status >= MIN_SERVER_ERROR_STATUS
        and exchange.kind is not CallerKind.HALF_CLOSE
        and exchange.ended_at - exchange.first_sent_at < exchange.limit_seconds
        and any(run.started_at <= exchange.ended_at < run.ended_at for run in runs)
    )
