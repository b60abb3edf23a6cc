"""Wait for an answer to a request that may run only once, and fence it when it is late."""

import gevent
from result import Err
from thrift.Thrift import TException

from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.egress.attempts import (
    Attempt,
    abandon_attempt,
    get_patience,
    mark_overdue,
    read_outcome,
    wait_for_any,
)
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.state import Egress
from comfreyhitch.ingress.models import read_answer
from comfreyhitch.utils.token_bucket import take
from comfreyhitch.wire.exceptions import PeerError
from comfreyhitch.wire.generated.ttypes import FenceAnswer, FenceQuery, FenceState

FENCE_TIMEOUT_SECONDS = 0.5
FENCE_RETRY_SECONDS = 0.2


def await_fenced(egress: Egress, call: OutgoingCall, attempt: Attempt) -> Outcome:
    """Wait for the answer; when it is late, ask on a new connection what became of it."""
    clock = egress.blackboard.clock
    fence_at = attempt.sent_at + get_patience(egress, call.service)
    silent_at = attempt.sent_at + egress.settings.fence_after.total_seconds()
    is_connected = True
    try:
        while clock.monotonic() < call.deadline:
            wait_until = min(call.deadline, fence_at)
            if is_connected:
                answered = wait_for_any([attempt], wait_until - clock.monotonic())
                if answered is not None:
                    outcome = read_outcome(egress, attempt, call)
                    if not _is_cut(outcome):
                        return outcome
                    is_connected = False
            now = clock.monotonic()
            if is_connected and now < silent_at and not take(egress.hedge_budget, now):
                fence_at = silent_at
                continue
            mark_overdue(attempt)
            outcome = _ask(egress, attempt, is_silent=now >= silent_at)
            if outcome is not None:
                return outcome
            fence_at = clock.monotonic() + FENCE_RETRY_SECONDS
            if not is_connected:
                gevent.sleep(FENCE_RETRY_SECONDS)
            elif now < silent_at:
                fence_at = silent_at
    finally:
        abandon_attempt(attempt)
    return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.DEADLINE, "no answer before the deadline"))


def _ask(egress: Egress, attempt: Attempt, *, is_silent: bool) -> Outcome | None:
    answer = _fence_attempt(egress, attempt)
    if answer is None:
        return None
    outcome = _read_fenced(answer)
    if outcome is not None and is_silent:
        egress.pool.distrust_older(attempt.candidate.address)
    return outcome


def _is_cut(outcome: Outcome) -> bool:
    return outcome.is_err() and outcome.err_value.refusal is Refusal.PEER_FAILED


def _fence_attempt(egress: Egress, attempt: Attempt) -> FenceAnswer | None:
    """Ask on a new connection what became of a try, or return None without an answer."""
    greeting = attempt.connection.greeting
    query = FenceQuery(
        request_id=attempt.request_id,
        boot_id=greeting.boot_id,
        age_seconds=egress.blackboard.clock.monotonic() - attempt.sent_at,
    )
    try:
        connection = egress.pool.open(attempt.candidate.address, FENCE_TIMEOUT_SECONDS)
    except PeerError:
        return None
    try:
        connection.set_timeout(FENCE_TIMEOUT_SECONDS)
        answer = connection.client.fence(query)
    except (OSError, TException, EOFError):
        connection.close()
        return None
    except BaseException:
        connection.close()
        raise
    egress.pool.release(connection)
    egress.metrics.egress.fences.inc({"result": FenceState._VALUES_TO_NAMES[answer.state]})
    return answer


def _read_fenced(answer: FenceAnswer) -> Outcome | None:
    """Return the outcome that a fence proves, or None while the request runs."""
    match answer.state:
        case FenceState.NEVER_RAN:
            return Err(Failure(Verdict.NOT_RUN, Refusal.FENCED, "withdrawn before it ran"))
        case FenceState.FINISHED:
            return read_answer(answer.answer)
        case FenceState.UNKNOWN:
            detail = "the daemon that had the request can't tell"
            return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.PEER_FAILED, detail))
        case _:
            return None
