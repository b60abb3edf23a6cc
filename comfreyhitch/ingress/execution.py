"""Send admitted calls to the target, and update the ingress from their outcomes."""

from collections.abc import Callable

import gevent
from result import Err, Ok

from comfreyhitch.admission.limiter import record_response, record_start, restart_from_initial_limit
from comfreyhitch.admission.queue import start_waiting
from comfreyhitch.admission.rate_limit import take_request
from comfreyhitch.admission.throughput import (
    StartedRequest,
    abandon_request,
    end_request,
    start_request,
)
from comfreyhitch.admission.warm_up import admit_during_warm_up
from comfreyhitch.core.headers import find_header
from comfreyhitch.core.held_bytes import (
    MAX_SMALL_BYTES,
    RESPONSE_SHARE,
    get_large_limit,
    hold,
    release,
)
from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.ingress.accounting import MIN_SERVER_ERROR_STATUS
from comfreyhitch.ingress.cold_checks import count_request
from comfreyhitch.ingress.health import report_if_crashed, update_pace
from comfreyhitch.ingress.lifecycle import is_cold, mark_suspected
from comfreyhitch.ingress.models import IncomingCall
from comfreyhitch.ingress.pace import wait_for_usual_pace
from comfreyhitch.ingress.records import RecordState, RequestRecord, mark_running
from comfreyhitch.ingress.refusals import (
    find_refusal,
    make_limit_refusal,
    make_refusal,
)
from comfreyhitch.ingress.response_sizes import expecting_response, get_large_bytes, record_size
from comfreyhitch.ingress.scheduling import record_call_work
from comfreyhitch.ingress.state import (
    Ingress,
    apply_service_profile,
    apply_throughput_limit,
    record_latency,
)
from comfreyhitch.ingress.target import TargetRequest, call_target
from comfreyhitch.rollouts.evidence import record_outcome
from comfreyhitch.rollouts.exposure import admit_trial_request
from comfreyhitch.rollouts.stages import Stage
from comfreyhitch.utils.recent_set import add_recent, is_recent
from comfreyhitch.wire.memory_waits import wait_for_room

# Maximum time for which an outcome is delayed to check whether the target has crashed.
CRASH_CHECK_TIMEOUT_SECONDS = 0.02


def send_to_target(ingress: Ingress, call: IncomingCall, record: RequestRecord | None) -> Outcome:
    """Send an admitted call to the target once, and update the ingress from its outcome."""
    clock = ingress.blackboard.clock
    limit = ingress.queue.limit
    connections = ingress.connections
    started_at = clock.monotonic()
    if connections is None:
        return Err(make_refusal(Refusal.WRONG_SERVICE, "target was detached"))
    if call.deadline <= started_at:
        return Err(make_refusal(Refusal.DEADLINE, "deadline passed before the request was sent"))
    pace_failure = wait_for_usual_pace(ingress, call)
    if pace_failure is not None:
        return Err(pace_failure)
    failure = find_refusal(ingress, call)
    if failure is not None:
        return Err(failure)
    if record is not None and record.state is RecordState.FENCED:
        # A fence query that arrived meanwhile was told that the request never runs.
        return Err(make_refusal(Refusal.FENCED, "request was withdrawn before it was sent"))
    started_at = clock.monotonic()
    failure = _find_rate_refusal(ingress, call, started_at)
    if failure is not None:
        return Err(failure)
    count_request(ingress, started_at)
    call.sent_at = started_at
    call.pace_at_send = ingress.pace
    if record is not None:
        mark_running(record, started_at)

    usage_window: int | None = None

    def before_send() -> None:
        nonlocal usage_window
        record_start(limit, ingress.queue.running)
        usage_window = ingress.usage.start(call.tenant)

    # A non-idempotent request is not cancelled when its caller disconnects, so that
    # a fence query or a resend can still get its outcome.
    cancel_socket = call.cancel_socket if call.is_idempotent else None
    request = _make_target_request(ingress, call, started_at)
    held = ingress.blackboard.held_bytes
    started = _start_measurement(ingress, call, started_at)
    try:
        with expecting_response(ingress.response_sizes, call.route, held):
            outcome = call_target(connections, request, cancel_socket, before_send)
        if outcome.is_ok():
            update_pace(ingress, outcome.ok_value, clock.monotonic())
    except BaseException:
        _abandon_measurement(ingress, started)
        raise
    # The check for a crash below yields, and a greenlet that is killed there has to be uncounted.
    _end_measurement(ingress, started, outcome)
    if outcome.is_err() and outcome.err_value.verdict is Verdict.NOT_RUN:
        ingress.usage.withdraw(call.tenant, usage_window)
    _record_target_outcome(ingress, call, outcome, started_at)
    return outcome


def _find_rate_refusal(ingress: Ingress, call: IncomingCall, now: float) -> Failure | None:
    """Return why the target gets no more requests now, or count this one and return None."""
    if not admit_within_cold_rate(ingress, now):
        return make_refusal(Refusal.TARGET_COLD, "target is cold and has its share")
    if not take_request(ingress.rate_limit, call.traffic_class, now):
        return make_limit_refusal(ingress)
    if not _admit_during_trial(ingress):
        detail = "target has had its requests until all traffic may move"
        return make_refusal(Refusal.VERSION_ON_TRIAL, detail)
    return None


def admit_within_cold_rate(ingress: Ingress, now: float) -> bool:
    """Return whether the target may get one more request now.

    A request to a cold target counts against the rate limit for cold targets.
    """
    if not is_cold(ingress.lifecycle, now):
        return True
    if ingress.warm_up_limiter is None:
        # The configuration may have been applied before the target's service was known.
        apply_service_profile(ingress)
    return ingress.warm_up_limiter is None or admit_during_warm_up(ingress.warm_up_limiter, now)


def _admit_during_trial(ingress: Ingress) -> bool:
    """Return whether the target may get one more request if its version is being rolled out."""
    own = ingress.blackboard.own_member
    active = ingress.blackboard.active_rollouts_by_service.get(own.service)
    if active is None or active.is_done or active.to_version != own.version:
        return True
    return admit_trial_request(ingress.trial_counter, active.rollout_id, Stage(active.stage))


def _report_crash(ingress: Ingress, call: IncomingCall) -> None:
    if not ingress.header_names.instance:
        ingress.report_crash(call.fingerprint)
        return
    # A target that reports its instance id may have lost only this one response, so
    # its health path is probed before the crash is reported. The outcome is returned
    # after this check, since the caller may resend the request at once.
    check = gevent.spawn(report_if_crashed, ingress, call.fingerprint)
    check.join(timeout=CRASH_CHECK_TIMEOUT_SECONDS)


def _make_target_request(ingress: Ingress, call: IncomingCall, now: float) -> TargetRequest:
    header_names = ingress.header_names
    remaining_ms = max(1, int((call.deadline - now) * 1000))
    headers = [*call.headers, (header_names.timeout, str(remaining_ms))]
    if header_names.attempt and call.attempt_number > 1:
        headers.append((header_names.attempt, str(call.attempt_number)))
    expected_instance = ingress.lifecycle.instance_id if header_names.expected_instance else ""
    if expected_instance:
        headers.append((header_names.expected_instance, expected_instance))
    return TargetRequest(
        method=call.method,
        path=call.path,
        headers=headers,
        body=call.body,
        deadline=call.deadline,
        # A target that checks the expected instance limits its connections, so they are reused.
        needs_new_connection=not call.is_idempotent and not header_names.expected_instance,
        body_limit_bytes=min(
            ingress.settings.body_limit_bytes, get_large_limit(ingress.blackboard.held_bytes)
        ),
        request_id=find_header(call.headers, header_names.request_id),
        expected_instance=expected_instance,
        on_body_sent=lambda: _drop_body(ingress, call),
        hold_response=_make_hold_response(ingress, call),
    )


def _drop_body(ingress: Ingress, call: IncomingCall) -> None:
    """Drop the body of a call, which is never sent to the target again."""
    call.body = b""
    release(ingress.blackboard.held_bytes, call.holder)


def _make_hold_response(ingress: Ingress, call: IncomingCall) -> Callable[[int], bool]:
    """Return a function that counts the bytes of a response beyond those expected for its route."""
    held = ingress.blackboard.held_bytes
    counted_bytes = get_large_bytes(ingress.response_sizes, call.route)

    def hold_response(size: int) -> bool:
        nonlocal counted_bytes
        needed_bytes = size - counted_bytes
        if size <= MAX_SMALL_BYTES or needed_bytes <= 0:
            return True
        if not wait_for_room(held, call.holder, needed_bytes, call.deadline, RESPONSE_SHARE):
            return False
        hold(held, call.holder, needed_bytes)
        counted_bytes = size
        return True

    return hold_response


def _start_measurement(ingress: Ingress, call: IncomingCall, now: float) -> StartedRequest | None:
    """Count a request for the limit that is learned by throughput, if one is."""
    if ingress.throughput is None:
        return None
    pace_read_at = None if call.pace_at_send is None else call.pace_at_send.read_at
    return start_request(ingress.throughput, call.route, pace_read_at, now)


def _abandon_measurement(ingress: Ingress, started: StartedRequest | None) -> None:
    if started is not None:
        abandon_request(ingress.throughput, started, ingress.blackboard.clock.monotonic())


def _end_measurement(ingress: Ingress, started: StartedRequest | None, outcome: Outcome) -> None:
    """Learn the limit from a response that is not a failure and not from a cold target."""
    if started is None:
        return
    now = ingress.blackboard.clock.monotonic()
    match outcome:
        case Ok(response):
            is_failure = response.status >= MIN_SERVER_ERROR_STATUS
            is_comparable = not is_failure and not is_cold(ingress.lifecycle, started.started_at)
            end_request(ingress.throughput, started, now, is_comparable=is_comparable)
        case Err(Failure(verdict=Verdict.NOT_RUN)):
            end_request(ingress.throughput, started, now, is_comparable=False)
        case Err(_):
            abandon_request(ingress.throughput, started, now)
    apply_throughput_limit(ingress)


def _record_target_outcome(
    ingress: Ingress, call: IncomingCall, outcome: Outcome, started_at: float
) -> None:
    now = ingress.blackboard.clock.monotonic()
    limit = ingress.queue.limit
    seconds = now - started_at
    match outcome:
        case Ok(response):
            response.version = ingress.blackboard.own_member.version
            is_failure = response.status >= MIN_SERVER_ERROR_STATUS
            record_response(limit, started_at, now, is_failure=is_failure)
            record_latency(ingress, seconds)
            if not is_failure:
                record_call_work(ingress, call, seconds, now)
            record_outcome(ingress.evidence, call.route, seconds, is_failure=is_failure)
            record_size(ingress.response_sizes, call.route, len(response.body))
            add_recent(ingress.completed_fingerprints, call.fingerprint, now)
        case Err(Failure(refusal=Refusal.CANCELLED)):
            pass
        case Err(Failure(refusal=Refusal.TARGET_FAILED | Refusal.TARGET_UNREACHABLE) as failure):
            restart_from_initial_limit(limit, now)
            record_outcome(ingress.evidence, call.route, seconds, is_failure=True)
            mark_suspected(ingress.lifecycle)
            if failure.verdict is Verdict.MAY_HAVE_RUN and not is_recent(
                ingress.completed_fingerprints, call.fingerprint
            ):
                _report_crash(ingress, call)
        case Err(Failure(refusal=Refusal.WRONG_INSTANCE)):
            mark_suspected(ingress.lifecycle)
        case Err(Failure(verdict=Verdict.NOT_RUN)):
            pass
        case Err(_):
            record_response(limit, started_at, now, is_failure=True)
            record_outcome(ingress.evidence, call.route, seconds, is_failure=True)
    start_waiting(ingress.queue, now)
