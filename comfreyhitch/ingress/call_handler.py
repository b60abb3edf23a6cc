"""Admit or refuse calls, and run each of them at the target at most once."""

from collections.abc import Callable

from gevent.event import AsyncResult
from result import Err

from comfreyhitch.admission.queue import (
    DEFAULT_TENANT_SHARE,
    AdmissionDecision,
    QueueEntry,
    release,
    request_admission,
    request_scheduled_admission,
    withdraw,
)
from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.idempotency.claims import (
    acquire_claim,
    make_claim,
    release_claim,
    settle_claim,
)
from comfreyhitch.idempotency.registry import make_scope
from comfreyhitch.ingress.accounting import record_call
from comfreyhitch.ingress.execution import send_to_target
from comfreyhitch.ingress.models import IncomingCall
from comfreyhitch.ingress.records import (
    RecordState,
    RequestRecord,
    add_record,
    get_record,
    remove_record,
    settle_record,
)
from comfreyhitch.ingress.refusals import find_refusal, make_refusal
from comfreyhitch.ingress.scheduling import (
    get_wait_limit,
    make_admission_failure,
    make_entry,
    record_admitted,
    record_released,
    record_sending,
)
from comfreyhitch.ingress.state import Ingress
from comfreyhitch.wire.sockets import is_disconnected, watch_disconnect


def handle_call(ingress: Ingress, call: IncomingCall) -> Outcome:
    """Return the target's response, or a failure that says whether the call may have run."""
    ingress.calls_in_progress += 1
    try:
        outcome = _deduplicate_and_run(ingress, call)
    finally:
        ingress.calls_in_progress -= 1
    record_call(ingress, call, outcome)
    return outcome


def _deduplicate_and_run(ingress: Ingress, call: IncomingCall) -> Outcome:
    existing = None if call.is_idempotent else get_record(ingress.records, call.request_id)
    if existing is not None:
        # An earlier attempt with this id may be running, so its record decides the outcome
        # even if a new call would be refused now.
        return _resolve_existing_record(ingress, existing, call)
    failure = find_refusal(ingress, call)
    if failure is not None:
        return Err(failure)
    if call.is_idempotent:
        return _admit_and_run(ingress, call, None)
    return _run_recorded(ingress, call)


def _resolve_existing_record(
    ingress: Ingress, record: RequestRecord, call: IncomingCall
) -> Outcome:
    if record.state is RecordState.FENCED:
        return Err(make_refusal(Refusal.FENCED, "request was withdrawn before it arrived"))
    return _await_recorded_outcome(record, call, ingress.blackboard.clock.monotonic())


def _run_recorded(ingress: Ingress, call: IncomingCall) -> Outcome:
    now = ingress.blackboard.clock.monotonic()
    record = RequestRecord(RecordState.WAITING, call.fingerprint, now)
    if not add_record(ingress.records, call.request_id, record):
        return Err(make_refusal(Refusal.RECORDS_FULL, "too many requests that may run only once"))
    outcome = _admit_and_run(ingress, call, record)
    if outcome.is_err() and outcome.err_value.verdict is Verdict.NOT_RUN:
        _remove_unless_fenced(ingress, call, record)
    else:
        now = ingress.blackboard.clock.monotonic()
        settle_record(ingress.records, call.request_id, record, outcome, now)
    return outcome


def _await_recorded_outcome(record: RequestRecord, call: IncomingCall, now: float) -> Outcome:
    record.settled.wait(max(0.0, call.deadline - now))
    if record.outcome is not None:
        return record.outcome
    return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.DEADLINE, "request still runs"))


def _remove_unless_fenced(ingress: Ingress, call: IncomingCall, record: RequestRecord) -> None:
    if record.state is not RecordState.FENCED:
        remove_record(ingress.records, call.request_id)


def _admit_and_run(ingress: Ingress, call: IncomingCall, record: RequestRecord | None) -> Outcome:
    admission_result: AsyncResult = AsyncResult()
    entry = make_entry(ingress, call, admission_result.set)
    refusal = _await_admission(ingress, call, entry, admission_result, record)
    if refusal is not None:
        return Err(make_admission_failure(ingress, call, entry, refusal))
    try:
        record_admitted(ingress, call, entry)
        return _run_admitted(ingress, call, record)
    finally:
        record_sending(call, entry)
        release(ingress.queue, entry, ingress.blackboard.clock.monotonic())
        record_released(ingress)


def _await_admission(
    ingress: Ingress,
    call: IncomingCall,
    entry: QueueEntry,
    admission_result: AsyncResult,
    record: RequestRecord | None,
) -> Refusal | None:
    decision, refusal = _request_admission(ingress, entry)
    if decision is not AdmissionDecision.WAIT:
        return refusal
    if record is not None:
        record.withdraw = lambda: _withdraw_for_fence(ingress, entry, record)
    stop_watching = _withdraw_on_disconnect(ingress, call, entry)
    try:
        clock = ingress.blackboard.clock
        remaining_seconds = get_wait_limit(call, entry) - clock.monotonic()
        if not admission_result.wait(max(0.0, remaining_seconds)) and not admission_result.ready():
            now = clock.monotonic()
            is_past_deadline = entry.terms is None or now >= call.deadline
            refusal = Refusal.DEADLINE if is_past_deadline else Refusal.OVERLOADED
            withdraw(ingress.queue, entry, refusal, now)
        return admission_result.get()
    finally:
        if record is not None:
            record.withdraw = None
        stop_watching()


def _request_admission(
    ingress: Ingress, entry: QueueEntry
) -> tuple[AdmissionDecision, Refusal | None]:
    if entry.terms is not None:
        now = ingress.blackboard.clock.monotonic()
        return request_scheduled_admission(ingress.queue, entry, now)
    shares = ingress.blackboard.tenant_shares_by_name
    return request_admission(ingress.queue, entry, shares.get(entry.tenant, DEFAULT_TENANT_SHARE))


def _withdraw_for_fence(ingress: Ingress, entry: QueueEntry, record: RequestRecord) -> bool:
    if not withdraw(ingress.queue, entry, Refusal.FENCED):
        return False
    record.state = RecordState.FENCED
    return True


def _withdraw_on_disconnect(
    ingress: Ingress, call: IncomingCall, entry: QueueEntry
) -> Callable[[], None]:
    if call.cancel_socket is None:
        return lambda: None
    return watch_disconnect(
        call.cancel_socket, lambda: withdraw(ingress.queue, entry, Refusal.CANCELLED)
    )


def _run_admitted(ingress: Ingress, call: IncomingCall, record: RequestRecord | None) -> Outcome:
    failure = find_refusal(ingress, call)
    if failure is not None:
        return Err(failure)
    if call.cancel_socket is not None and is_disconnected(call.cancel_socket):
        return Err(make_refusal(Refusal.CANCELLED, "caller went away"))
    if record is None or not call.idempotency_key:
        return send_to_target(ingress, call, record)
    return _claim_key_and_run(ingress, call, record)


def _claim_key_and_run(ingress: Ingress, call: IncomingCall, record: RequestRecord) -> Outcome:
    scope = make_scope(call.service, call.tenant, call.idempotency_key)
    claim = make_claim(ingress.claims, scope, call.service, call.request_id, call.fingerprint)
    # Until the claim is granted, a fence query can still prevent the request from running.
    record.state = RecordState.CLAIMING
    existing_outcome = acquire_claim(ingress.claims, claim, call.deadline)
    if existing_outcome is not None:
        return existing_outcome
    if record.state is RecordState.FENCED:
        release_claim(ingress.claims, claim)
        return Err(make_refusal(Refusal.FENCED, "request was withdrawn while its key was claimed"))
    outcome = send_to_target(ingress, call, record)
    if outcome.is_err() and outcome.err_value.verdict is Verdict.NOT_RUN:
        release_claim(ingress.claims, claim)
    else:
        settle_claim(ingress.claims, claim, outcome)
    return outcome
