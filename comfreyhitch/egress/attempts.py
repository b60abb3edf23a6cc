"""One attempt of a request: send it, wait for the answer, and update the target's load view."""

from dataclasses import dataclass

from gevent.select import select
from result import Err

from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.egress.classify import AttemptRecord, OutgoingCall
from comfreyhitch.egress.models import Candidate, TargetView
from comfreyhitch.egress.state import (
    Egress,
    get_latency_seconds,
    make_request_id,
    record_latency,
)
from comfreyhitch.egress.views import (
    apply_load_report,
    get_or_create_view,
    record_ended,
    record_failure,
    record_flap,
    record_pause,
    record_sent,
    record_success,
    record_unreachable,
)
from comfreyhitch.ingress.models import parse_answer
from comfreyhitch.wire.connections import (
    PeerConnection,
    receive_call,
    send_call,
    wait_for_answer,
)
from comfreyhitch.wire.exceptions import AnswerNotHeldError, PeerError
from comfreyhitch.wire.generated.ttypes import (
    CallAnswer,
    CallRequest,
    Header,
)

LATE_LATENCY_FACTOR = 4.0
MIN_LATE_AFTER_SECONDS = 0.005
DEFAULT_LATE_AFTER_SECONDS = 0.1
# Once the first bytes of an answer arrive, each further part has to arrive within this time. The
# whole answer may take longer, since the daemon that sends it may pace it.
READ_TIMEOUT_SECONDS = 5.0
# An answer that has begun to arrive at the deadline of its call is read for this long.
MAX_LATE_READ_SECONDS = 0.2
# The load report of an answer that arrives for longer than this is as old as its first bytes.
SLOW_READ_SECONDS = 0.02
MIN_SERVER_ERROR_STATUS = 500
DEADLINE_STATUS = 504
STALLED_MIN_IN_FLIGHT = 2
# Refusals of targets that take few requests now, which their number in flight does not show.
PAUSING_REFUSALS = frozenset(
    {Refusal.TARGET_COLD, Refusal.TARGET_LIMITED, Refusal.TARGET_STARTING, Refusal.DRAINING}
)


@dataclass(slots=True)
class Attempt:
    """Hold the state of one attempt at a target; `sent_at` is in monotonic seconds."""

    request_id: str
    candidate: Candidate
    view: TargetView
    connection: PeerConnection
    sent_at: float
    is_ended: bool = False
    is_overdue: bool = False
    record: AttemptRecord | None = None


def start_attempt(egress: Egress, call: OutgoingCall, candidate: Candidate) -> Attempt:
    """Send a call to the daemon beside a target; raise `PeerError` if that fails."""
    clock = egress.blackboard.clock
    remaining_seconds = call.deadline - clock.monotonic()
    if remaining_seconds <= 0:
        raise PeerError("the deadline has passed", may_be_sent=False)
    view = get_or_create_view(egress.blackboard.views_by_address, candidate.address)
    record_sent(view)
    try:
        connection = egress.pool.acquire(candidate.address, remaining_seconds)
        request = _make_request(egress, call, remaining_seconds)
        call.last_request_id = request.request_id
        call.last_version = candidate.version
        send_call(connection, request, call.body, remaining_seconds, clock)
        own_zone = egress.blackboard.own_member.zone
        zone = "own" if candidate.zone == own_zone else "other"
        egress.metrics.egress.attempts.inc({"zone": zone})
    except BaseException as error:
        record_ended(view)
        if isinstance(error, PeerError):
            record_unreachable(view, clock.monotonic())
        raise
    return Attempt(request.request_id, candidate, view, connection, clock.monotonic())


def finish_attempt(egress: Egress, attempt: Attempt, call: OutgoingCall) -> Outcome:
    """Read an answer that has begun to arrive; raise `PeerError` if it stays incomplete."""
    clock = egress.blackboard.clock
    began_at = clock.monotonic()
    sent_before = attempt.view.sent_total
    call.is_receiving = True
    try:
        answer = receive_call(
            attempt.connection,
            attempt.request_id,
            READ_TIMEOUT_SECONDS,
            get_read_deadline(call, began_at),
            call.expected_bytes,
        )
    finally:
        call.is_receiving = False
    egress.pool.release(attempt.connection)
    end_attempt(attempt)
    now = clock.monotonic()
    is_paced = egress.settings.overload_control == "cost" and now - began_at > SLOW_READ_SECONDS
    if not is_paced:
        apply_load_report(attempt.view, answer.load, now)
    elif attempt.view.reported_at < began_at:
        apply_load_report(attempt.view, answer.load, began_at)
        attempt.view.sent_since_report = attempt.view.sent_total - sent_before
    return _record_answer(egress, attempt, call, answer, now)


def get_read_deadline(call: OutgoingCall, now: float) -> float:
    """Return until when an answer that begins to arrive now is read, in monotonic seconds."""
    return max(call.deadline, now) + MAX_LATE_READ_SECONDS


def end_attempt(attempt: Attempt) -> None:
    """Remove an attempt from the counts in its target's load view."""
    if attempt.is_ended:
        return
    attempt.is_ended = True
    record_ended(attempt.view)
    if attempt.is_overdue:
        attempt.view.overdue_attempts -= 1


def abandon_attempt(attempt: Attempt) -> None:
    """Close an attempt's connection, so that its late answer is never read."""
    if not attempt.is_ended:
        attempt.connection.close()
        end_attempt(attempt)


def mark_overdue(attempt: Attempt) -> None:
    """Count an attempt as one that takes far longer than usual."""
    if not attempt.is_overdue and not attempt.is_ended:
        attempt.is_overdue = True
        attempt.view.overdue_attempts += 1


def record_unanswered(attempt: Attempt, now: float) -> None:
    """Count a failure if the target has answered no request or probe since this attempt."""
    if attempt.view.reported_at <= attempt.sent_at:
        record_failure(attempt.view, now)
        record_flap(attempt.view, now)


def is_target_stalled(attempt: Attempt) -> bool:
    """Return whether the target seems to have stopped answering.

    This is assumed if several requests of this daemon are pending at the target, and it has
    answered no request or probe since this attempt was sent.
    """
    view = attempt.view
    return view.own_in_flight >= STALLED_MIN_IN_FLIGHT and view.reported_at <= attempt.sent_at


def wait_for_any(attempts: list[Attempt], timeout_seconds: float) -> Attempt | None:
    """Return the attempt whose answer arrives first, or None if none does in time."""
    if timeout_seconds <= 0:
        return None
    if len(attempts) == 1:
        attempt = attempts[0]
        return attempt if wait_for_answer(attempt.connection, timeout_seconds) else None
    attempts_by_descriptor = {item.connection.sock.fileno(): item for item in attempts}
    readable, _, _ = select(list(attempts_by_descriptor), [], [], timeout_seconds)
    return attempts_by_descriptor[readable[0]] if readable else None


def read_outcome(egress: Egress, attempt: Attempt, call: OutgoingCall) -> Outcome:
    """Return the outcome in an answer that has begun to arrive; one cut short is a failure."""
    try:
        return finish_attempt(egress, attempt, call)
    except AnswerNotHeldError as error:
        abandon_attempt(attempt)
        return Err(Failure(Verdict.RAN, Refusal.RESPONSE_TOO_LARGE, str(error)))
    except PeerError as error:
        abandon_attempt(attempt)
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.PEER_FAILED, str(error)))


def get_late_after_seconds(egress: Egress, call: OutgoingCall) -> float:
    """Return the seconds after which an answer is late and a hedge or fence query is due."""
    latency_seconds = get_latency_seconds(egress, call)
    if latency_seconds is None:
        return DEFAULT_LATE_AFTER_SECONDS
    return max(MIN_LATE_AFTER_SECONDS, LATE_LATENCY_FACTOR * latency_seconds)


def _is_target_failure(failure: Failure) -> bool:
    """Return whether a failure counts against the health of the target."""
    if failure.refusal in (Refusal.TARGET_FAILED, Refusal.TARGET_UNREACHABLE):
        return True
    # A healthy target responds by the deadline, if only with the status for an exceeded
    # deadline (504), so a missing response counts as a failure of the target.
    return failure.refusal is Refusal.DEADLINE and failure.verdict is Verdict.MAY_HAVE_RUN


def _make_request(egress: Egress, call: OutgoingCall, remaining_seconds: float) -> CallRequest:
    return CallRequest(
        request_id=make_request_id(egress),
        service_name=call.service,
        method=call.method,
        path=call.path,
        headers=[Header(name, value) for name, value in call.headers],
        body=b"",
        timeout_seconds=remaining_seconds,
        tenant=call.tenant,
        priority=call.traffic_class,
        idempotent=call.is_idempotent,
        idempotency_key=call.idempotency_key or None,
        fingerprint=call.fingerprint,
        route=call.route,
        attempt=call.attempt_number,
        patience_seconds=call.patience_seconds,
        takes_following_body=True,
        **_make_cost_fields(egress, call),
    )


def _make_cost_fields(egress: Egress, call: OutgoingCall) -> dict[str, object]:
    """Return the fields by which an ingress tells what a delay or refusal costs the caller."""
    if egress.settings.overload_control != "cost":
        return {}
    return {
        "rank": call.rank,
        "objective_seconds": _get_objective_seconds(egress, call),
        "is_nested": call.is_nested or None,
        "has_returned": call.has_returned or None,
    }


def _get_objective_seconds(egress: Egress, call: OutgoingCall) -> float | None:
    """Return the seconds within which an answer is of most use, or None if nothing tells.

    While this daemon stops, that is before it ends: an ingress refuses at once what it can't answer
    by then, and the caller goes to another daemon.
    """
    now = egress.blackboard.clock.monotonic()
    times = []
    if call.latency_objective_seconds is not None:
        times.append(call.arrived_at + call.latency_objective_seconds)
    if egress.stop_plan is not None:
        times.append(egress.stop_plan.answers_until)
    return min(times) - now if times else None


def _record_answer(
    egress: Egress, attempt: Attempt, call: OutgoingCall, answer: CallAnswer, now: float
) -> Outcome:
    outcome = parse_answer(answer)
    if outcome.is_ok():
        record_latency(egress, call, now - attempt.sent_at)
        status = outcome.ok_value.status
        if status == DEADLINE_STATUS:
            # The request may need more time than its deadline allows, which says nothing
            # about the health of the target.
            pass
        elif status >= MIN_SERVER_ERROR_STATUS:
            record_failure(attempt.view, now)
        else:
            record_success(attempt.view)
    elif _is_target_failure(outcome.err_value):
        record_failure(attempt.view, now)
        record_flap(attempt.view, now)
    elif outcome.err_value.refusal in PAUSING_REFUSALS:
        record_pause(attempt.view, now)
    return outcome
