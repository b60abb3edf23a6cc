"""Wait for the answer to a non-idempotent request, and fence the request if it is late.

A fence query asks the daemon that a request was sent to for the state of the request, on a new
connection. If the request has not arrived or not started, that daemon will never run it, and
another target may. A request that waits for admission is withdrawn only if the query asks for it.
"""

import gevent
from result import Err
from thrift.Thrift import TException

from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.egress.attempts import (
    READ_TIMEOUT_SECONDS,
    Attempt,
    abandon_attempt,
    get_late_after_seconds,
    get_read_deadline,
    mark_overdue,
    read_outcome,
    wait_for_any,
)
from comfreyhitch.egress.candidates import choose_for_call
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.retries import RequestProgress
from comfreyhitch.egress.state import Egress
from comfreyhitch.egress.stopping import DaemonStoppingError, make_interrupted_failure
from comfreyhitch.egress.views import get_or_create_view, is_full
from comfreyhitch.ingress.models import parse_answer
from comfreyhitch.utils.token_bucket import take_tokens
from comfreyhitch.wire.connections import wait_for_answer
from comfreyhitch.wire.exceptions import PeerError
from comfreyhitch.wire.generated.ttypes import FenceAnswer, FenceQuery, FenceState

FENCE_TIMEOUT_SECONDS = 0.5
FENCE_RETRY_SECONDS = 0.2
# Timeout of connecting, and of answering, when the daemon stops after this fence query.
LAST_FENCE_SECONDS = 0.15


def await_answer_with_fencing(
    egress: Egress, progress: RequestProgress, attempt: Attempt
) -> Outcome:
    """Wait for the answer; send fence queries on a new connection when it is late."""
    clock = egress.blackboard.clock
    call = progress.call
    silent_at = attempt.sent_at + egress.settings.fence_after.total_seconds()
    next_check_at = min(silent_at, attempt.sent_at + get_late_after_seconds(egress, call))
    is_connected = True
    try:
        while clock.monotonic() < call.deadline:
            wait_seconds = min(call.deadline, next_check_at) - clock.monotonic()
            if not is_connected:
                gevent.sleep(max(0.0, wait_seconds))
            elif wait_for_any([attempt], wait_seconds) is not None:
                outcome = read_outcome(egress, attempt, call)
                if not _is_connection_lost(outcome):
                    return outcome
                is_connected = False
            now = clock.monotonic()
            is_silent = not is_connected or now >= silent_at
            if is_silent or _may_withdraw(egress, progress, now):
                mark_overdue(attempt)
                outcome = _resolve_by_fence(egress, call, attempt, withdraw=not is_silent)
                if outcome is not None:
                    return outcome
            next_check_at = clock.monotonic() + FENCE_RETRY_SECONDS if is_silent else silent_at
        return _resolve_by_fence(egress, call, attempt, withdraw=True) or _make_deadline_failure()
    except DaemonStoppingError:
        outcome = _resolve_by_fence(
            egress, call, attempt, withdraw=True, seconds=LAST_FENCE_SECONDS
        )
        return outcome or Err(make_interrupted_failure(may_have_run=True))
    finally:
        abandon_attempt(attempt)


def _make_deadline_failure() -> Outcome:
    detail = "no answer before the deadline"
    return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.DEADLINE, detail))


def _may_withdraw(egress: Egress, progress: RequestProgress, now: float) -> bool:
    """Return whether another target has free capacity and a hedge token could be taken."""
    candidate = choose_for_call(egress, progress.call, progress.tried_addresses)
    if candidate is None:
        return False
    if is_full(get_or_create_view(egress.blackboard.views_by_address, candidate.address), now):
        return False
    return take_tokens(egress.hedge_budget, now)


def _resolve_by_fence(
    egress: Egress,
    call: OutgoingCall,
    attempt: Attempt,
    *,
    withdraw: bool,
    seconds: float = FENCE_TIMEOUT_SECONDS,
) -> Outcome | None:
    answer = _fence_attempt(egress, call, attempt, withdraw=withdraw, seconds=seconds)
    if answer is None:
        return None
    outcome = _read_fence_answer(answer)
    if outcome is not None and not withdraw:
        egress.pool.invalidate_older(attempt.candidate.address)
    return outcome


def _is_connection_lost(outcome: Outcome) -> bool:
    return outcome.is_err() and outcome.err_value.refusal is Refusal.PEER_FAILED


def _fence_attempt(
    egress: Egress, call: OutgoingCall, attempt: Attempt, *, withdraw: bool, seconds: float
) -> FenceAnswer | None:
    """Send a fence query on a new connection, and return None if no answer comes."""
    greeting = attempt.connection.greeting
    query = FenceQuery(
        request_id=attempt.request_id,
        boot_id=greeting.boot_id,
        age_seconds=egress.blackboard.clock.monotonic() - attempt.sent_at,
        withdraw=withdraw,
    )
    try:
        connection = egress.pool.open(attempt.candidate.address, seconds)
    except PeerError:
        return None
    try:
        connection.set_timeout(seconds)
        connection.client.send_fence(query)
        if egress.settings.overload_control == "cost" and seconds >= FENCE_TIMEOUT_SECONDS:
            if not wait_for_answer(connection, seconds):
                raise TimeoutError("no answer to the fence query")
            # The answer may contain a large response, which is paced.
            now = egress.blackboard.clock.monotonic()
            connection.set_timeout(READ_TIMEOUT_SECONDS, get_read_deadline(call, now))
        answer = connection.client.recv_fence()
    except (OSError, TException, EOFError):
        connection.close()
        return None
    except BaseException:
        connection.close()
        raise
    egress.pool.release(connection)
    egress.metrics.egress.fences.inc({"result": FenceState._VALUES_TO_NAMES[answer.state]})
    return answer


def _read_fence_answer(answer: FenceAnswer) -> Outcome | None:
    """Return the outcome that a fence answer proves, or None if the request still waits or runs."""
    match answer.state:
        case FenceState.NEVER_RAN:
            return Err(Failure(Verdict.NOT_RUN, Refusal.FENCED, "withdrawn before it ran"))
        case FenceState.FINISHED:
            return parse_answer(answer.answer)
        case FenceState.UNKNOWN:
            detail = "the daemon that had the request can't tell"
            return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.PEER_FAILED, detail))
        case _:
            return None
