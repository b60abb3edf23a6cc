"""Admit or refuse calls, and run them at the target at most once each."""

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult
from result import Err, Ok

from comfreyhitch.admission.limiter import record_answer, record_start, reset_ramp
from comfreyhitch.admission.queue import (
    DEFAULT_TENANT_SHARE,
    Decision,
    Ticket,
    release,
    request_admission,
    start_waiting,
    withdraw,
)
from comfreyhitch.admission.warming import admit_cold
from comfreyhitch.core.blackboard import get_refused_version_reason, is_quarantined
from comfreyhitch.core.headers import find_header
from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.idempotency.claims import (
    acquire_claim,
    make_claim,
    release_claim,
    settle_claim,
)
from comfreyhitch.idempotency.registry import make_scope
from comfreyhitch.ingress.accounting import SERVER_ERROR_STATUS, record_call
from comfreyhitch.ingress.health import report_if_crashed, take_load
from comfreyhitch.ingress.lifecycle import TargetState, is_cold, suspect
from comfreyhitch.ingress.models import IncomingCall
from comfreyhitch.ingress.pace import await_pace
from comfreyhitch.ingress.records import (
    RecordState,
    RequestRecord,
    add_record,
    get_record,
    mark_running,
    remove_record,
    settle_record,
)
from comfreyhitch.ingress.state import Ingress, record_latency
from comfreyhitch.ingress.target import TargetRequest, call_target
from comfreyhitch.rollouts.evidence import record_outcome
from comfreyhitch.utils.recent import add_recent, is_recent
from comfreyhitch.wire.sockets import is_disconnected, watch_disconnect

CRASH_CHECK_SECONDS = 0.02


def handle_call(ingress: Ingress, call: IncomingCall) -> Outcome:
    """Return the target's response, or a failure that says whether the call may have run."""
    failure = _find_refusal(ingress, call)
    if failure is not None:
        record_call(ingress, call, Err(failure))
        return Err(failure)
    ingress.calls_in_progress += 1
    try:
        if call.is_idempotent:
            outcome = _admit_and_run(ingress, call, None)
        else:
            outcome = _run_recorded(ingress, call)
    finally:
        ingress.calls_in_progress -= 1
    record_call(ingress, call, outcome)
    return outcome


def _find_refusal(ingress: Ingress, call: IncomingCall) -> Failure | None:
    blackboard = ingress.blackboard
    own = blackboard.own
    if ingress.connections is None or call.service != own.service:
        return _refuse(Refusal.WRONG_SERVICE, f"{own.address} has no target of {call.service}")
    if blackboard.is_draining or own.draining:
        return _refuse(Refusal.DRAINING, f"target at {own.address} is draining")
    if ingress.life.state is not TargetState.READY:
        return _refuse_state(ingress.life.state)
    if own.zone in blackboard.zones_out:
        return _refuse(Refusal.ZONE_OUT, f"availability zone {own.zone} is out")
    if blackboard.is_stale:
        return _refuse(Refusal.STALE_VIEW, "daemon was paused and has not synced yet")
    reason = get_refused_version_reason(blackboard, own.service, own.version)
    if reason is not None:
        return _refuse(Refusal.VERSION_VETOED, reason)
    if is_quarantined(blackboard, call.fingerprint) and not is_recent(
        ingress.proven_fingerprints, call.fingerprint
    ):
        return _refuse(Refusal.QUARANTINED, "request killed several targets")
    if call.deadline <= blackboard.clock.monotonic():
        return _refuse(Refusal.DEADLINE, "deadline passed before the request was admitted")
    return None


def _refuse(refusal: Refusal, detail: str) -> Failure:
    return Failure(Verdict.NOT_RUN, refusal, detail)


def _refuse_state(state: TargetState) -> Failure:
    is_starting = state is TargetState.STARTING
    refusal = Refusal.TARGET_STARTING if is_starting else Refusal.DRAINING
    return _refuse(refusal, f"target is {state.value}")


def _run_recorded(ingress: Ingress, call: IncomingCall) -> Outcome:
    now = ingress.blackboard.clock.monotonic()
    existing = get_record(ingress.records, call.request_id)
    if existing is not None:
        if existing.state is RecordState.FENCED:
            return Err(_refuse(Refusal.FENCED, "request was withdrawn before it arrived"))
        return _join_record(existing, call, now)
    record = RequestRecord(RecordState.WAITING, call.fingerprint, now)
    if not add_record(ingress.records, call.request_id, record):
        return Err(_refuse(Refusal.RECORDS_FULL, "too many requests that may run only once"))
    outcome = _admit_and_run(ingress, call, record)
    if outcome.is_err() and outcome.err_value.verdict is Verdict.NOT_RUN:
        _forget_unless_fenced(ingress, call, record)
    else:
        now = ingress.blackboard.clock.monotonic()
        settle_record(ingress.records, call.request_id, record, outcome, now)
    return outcome


def _join_record(record: RequestRecord, call: IncomingCall, now: float) -> Outcome:
    record.settled.wait(max(0.0, call.deadline - now))
    if record.outcome is not None:
        return record.outcome
    return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.DEADLINE, "request still runs"))


def _forget_unless_fenced(ingress: Ingress, call: IncomingCall, record: RequestRecord) -> None:
    if record.state is not RecordState.FENCED:
        remove_record(ingress.records, call.request_id)


def _admit_and_run(ingress: Ingress, call: IncomingCall, record: RequestRecord | None) -> Outcome:
    settled: AsyncResult = AsyncResult()
    ticket = Ticket(call.tenant, call.traffic_class, call.deadline, settled.set)
    refusal = _wait_for_place(ingress, call, ticket, settled, record)
    if refusal is not None:
        return Err(_refuse(refusal, "refused by admission control"))
    try:
        return _run_admitted(ingress, call, record)
    finally:
        release(ingress.queue, ticket, ingress.blackboard.clock.monotonic())


def _wait_for_place(
    ingress: Ingress,
    call: IncomingCall,
    ticket: Ticket,
    settled: AsyncResult,
    record: RequestRecord | None,
) -> Refusal | None:
    shares = ingress.blackboard.tenant_shares_by_name
    share = shares.get(call.tenant, DEFAULT_TENANT_SHARE)
    decision, refusal = request_admission(ingress.queue, ticket, share)
    if decision is not Decision.WAIT:
        return refusal
    if record is not None:
        record.withdraw = lambda: _withdraw_fenced(ingress, ticket, record)
    stop_watching = _withdraw_when_caller_leaves(ingress, call, ticket)
    try:
        remaining_seconds = call.deadline - ingress.blackboard.clock.monotonic()
        if not settled.wait(max(0.0, remaining_seconds)) and not settled.ready():
            withdraw(ingress.queue, ticket, Refusal.DEADLINE)
        return settled.get()
    finally:
        if record is not None:
            record.withdraw = None
        stop_watching()


def _withdraw_fenced(ingress: Ingress, ticket: Ticket, record: RequestRecord) -> bool:
    if not withdraw(ingress.queue, ticket, Refusal.FENCED):
        return False
    record.state = RecordState.FENCED
    return True


def _withdraw_when_caller_leaves(
    ingress: Ingress, call: IncomingCall, ticket: Ticket
) -> Callable[[], None]:
    if call.cancel_socket is None:
        return lambda: None
    return watch_disconnect(
        call.cancel_socket, lambda: withdraw(ingress.queue, ticket, Refusal.CANCELLED)
    )


def _run_admitted(ingress: Ingress, call: IncomingCall, record: RequestRecord | None) -> Outcome:
    failure = _find_refusal(ingress, call)
    if failure is not None:
        return Err(failure)
    if call.cancel_socket is not None and is_disconnected(call.cancel_socket):
        return Err(_refuse(Refusal.CANCELLED, "caller went away"))
    if record is None or not call.idempotency_key:
        return _run_at_target(ingress, call, record)
    return _run_claimed(ingress, call, record)


def _run_claimed(ingress: Ingress, call: IncomingCall, record: RequestRecord) -> Outcome:
    scope = make_scope(call.service, call.tenant, call.idempotency_key)
    wanted = make_claim(ingress.claims, scope, call.service, call.request_id, call.fingerprint)
    # Until the claim is granted a fence may still keep the request from running.
    record.state = RecordState.CLAIMING
    decided = acquire_claim(ingress.claims, wanted, call.deadline)
    if decided is not None:
        return decided
    if record.state is RecordState.FENCED:
        release_claim(ingress.claims, wanted)
        return Err(_refuse(Refusal.FENCED, "request was withdrawn while its key was claimed"))
    outcome = _run_at_target(ingress, call, record)
    if outcome.is_err() and outcome.err_value.verdict is Verdict.NOT_RUN:
        release_claim(ingress.claims, wanted)
    else:
        settle_claim(ingress.claims, wanted, outcome)
    return outcome


def _run_at_target(ingress: Ingress, call: IncomingCall, record: RequestRecord | None) -> Outcome:
    clock = ingress.blackboard.clock
    limit = ingress.queue.limit
    connections = ingress.connections
    started_at = clock.monotonic()
    if connections is None:
        return Err(_refuse(Refusal.WRONG_SERVICE, "target was detached"))
    if call.deadline <= started_at:
        return Err(_refuse(Refusal.DEADLINE, "deadline passed before the request was sent"))
    slow = await_pace(ingress, call)
    if slow is not None:
        return Err(slow)
    failure = _find_refusal(ingress, call)
    if failure is not None:
        return Err(failure)
    started_at = clock.monotonic()
    if not _is_within_cold_rate(ingress, started_at):
        return Err(_refuse(Refusal.TARGET_COLD, "target is cold and has its share"))
    call.sent_at = started_at
    call.pace_at_send = ingress.pace
    if record is not None:
        mark_running(record, started_at)

    def before_send() -> None:
        record_start(limit, ingress.queue.running)

    # A request that may run only once goes on when its caller goes away, so
    # that its outcome can still be told to a fence or a resend.
    cancel_socket = call.cancel_socket if call.is_idempotent else None
    request = _make_target_request(ingress, call, started_at)
    outcome = call_target(connections, request, cancel_socket, before_send)
    _learn_from_outcome(ingress, call, outcome, started_at)
    return outcome


def _is_within_cold_rate(ingress: Ingress, now: float) -> bool:
    if ingress.warming is None or not is_cold(ingress.life, now):
        return True
    return admit_cold(ingress.warming, now)


def _report_crash(ingress: Ingress, call: IncomingCall) -> None:
    if not ingress.dialect.instance:
        ingress.report_crash(call.fingerprint)
        return
    # A target that is told apart by its id may have lost no more than one answer.
    # The caller may send the request again at once, so the check comes first.
    check = gevent.spawn(report_if_crashed, ingress, call.fingerprint)
    check.join(timeout=CRASH_CHECK_SECONDS)


def _make_target_request(ingress: Ingress, call: IncomingCall, now: float) -> TargetRequest:
    dialect = ingress.dialect
    remaining_ms = max(1, int((call.deadline - now) * 1000))
    headers = [*call.headers, (dialect.timeout, str(remaining_ms))]
    if dialect.attempt and call.attempt > 1:
        headers.append((dialect.attempt, str(call.attempt)))
    expected_instance = ingress.life.instance_id if dialect.expected_instance else ""
    if expected_instance:
        headers.append((dialect.expected_instance, expected_instance))
    return TargetRequest(
        method=call.method,
        path=call.path,
        headers=headers,
        body=call.body,
        deadline=call.deadline,
        # A target that is told apart by its id limits its connections as well.
        needs_new_connection=not call.is_idempotent and not dialect.expected_instance,
        body_limit_bytes=ingress.settings.body_limit_bytes,
        request_id=find_header(call.headers, dialect.request_id),
        expected_instance=expected_instance,
    )


def _learn_from_outcome(
    ingress: Ingress, call: IncomingCall, outcome: Outcome, started_at: float
) -> None:
    now = ingress.blackboard.clock.monotonic()
    limit = ingress.queue.limit
    seconds = now - started_at
    match outcome:
        case Ok(response):
            take_load(ingress, response, now)
            response.version = ingress.blackboard.own.version
            is_failure = response.status >= SERVER_ERROR_STATUS
            record_answer(limit, started_at, now, is_failure=is_failure)
            record_latency(ingress, seconds)
            record_outcome(ingress.evidence, call.route, seconds, is_failure=is_failure)
            add_recent(ingress.proven_fingerprints, call.fingerprint, now)
        case Err(Failure(refusal=Refusal.CANCELLED)):
            pass
        case Err(Failure(refusal=Refusal.TARGET_FAILED | Refusal.TARGET_UNREACHABLE) as failure):
            reset_ramp(limit, now)
            record_outcome(ingress.evidence, call.route, seconds, is_failure=True)
            suspect(ingress.life)
            if failure.verdict is Verdict.MAY_HAVE_RUN and not is_recent(
                ingress.proven_fingerprints, call.fingerprint
            ):
                _report_crash(ingress, call)
        case Err(Failure(refusal=Refusal.WRONG_INSTANCE)):
            suspect(ingress.life)
        case Err(Failure(verdict=Verdict.NOT_RUN)):
            pass
        case Err(_):
            record_answer(limit, started_at, now, is_failure=True)
            record_outcome(ingress.evidence, call.route, seconds, is_failure=True)
    start_waiting(ingress.queue, now)
