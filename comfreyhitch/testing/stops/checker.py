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
    excused_by_time: list[Exchange] = field(default_factory=list)
    # Answered with a failure of the daemon's own while a target was at work.
    replaced: list[Exchange] = field(default_factory=list)


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
        return findings.replaced if _is_replaced(exchange, runs) else []
    if exchange.kind is CallerKind.HALF_CLOSE:
        return findings.half_closed
    if not exchange.last_sent_at:
        return findings.unsent
    if exchange.ended_at - exchange.first_sent_at >= exchange.limit_seconds:
        return findings.excused_by_time
    unanswered_seconds = exchange.ended_at - exchange.last_sent_at - exchange.held_up_seconds
    if not runs and unanswered_seconds <= CROSSING_SECONDS:
        return findings.crossed
    stop = find_stop(exchange, stops)
    if stop is not None and _is_excused_at_work(exchange, runs, stop, grace_seconds):
        return findings.excused_at_work
    return findings.unended


def _is_excused_at_work(
    exchange: Exchange, runs: list[Run], stop: Stop, grace_seconds: float
) -> bool:
    early_seconds = min(EARLY_SECONDS, EARLY_SHARE * grace_seconds)
    last_sixth_at = stop.terminated_at + WORK_END_SHARE * grace_seconds
    is_at_work = any(
        run.started_at <= exchange.ended_at and run.ended_at >= last_sixth_at for run in runs
    )
    return is_at_work and exchange.last_sent_at <= stop.terminated_at + early_seconds


def _is_replaced(exchange: Exchange, runs: list[Run]) -> bool:
    return (
        exchange.status >= MIN_SERVER_ERROR_STATUS
        and exchange.kind is not CallerKind.HALF_CLOSE
        and exchange.ended_at - exchange.first_sent_at < exchange.limit_seconds
        and any(run.started_at <= exchange.ended_at < run.ended_at for run in runs)
    )
