"""Decide whether a request is retried, and what outcome its caller receives."""

from dataclasses import dataclass, field

import gevent
from result import Err, Ok

from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.state import Egress, get_latency_seconds, get_retry_budget
from comfreyhitch.egress.stopping import can_end_in_time, has_ended, may_outlast
from comfreyhitch.utils.token_bucket import take_tokens

MAX_ADMISSION_REFUSALS = 8
BACKOFF_MIN_REFUSALS = 2
INITIAL_BACKOFF_SECONDS = 0.004
MAX_SUSPECTED_CRASHES = 2
MAX_SLOW_REFUSALS = 3
# Share of a call's latency objective for which the first ingress may delay the call while the
# target's instance is slow.
PACE_WAIT_SHARE = 0.2
# Share of a call's latency objective after which an admission refusal is final.
PLACEMENT_SHARE = 0.125
RETRIED_STATUSES = frozenset({502, 503, 504})
# Retries after these refusals draw on no budget. Such a refusal reports a change that this
# daemon has not learned of yet. It is no sign of overload, and the next attempt certainly goes
# to another target.
UNBUDGETED_REFUSALS = frozenset(
    {
        Refusal.DRAINING,
        Refusal.ZONE_OUT,
        Refusal.VERSION_VETOED,
        Refusal.VERSION_ON_TRIAL,
        Refusal.WRONG_SERVICE,
        Refusal.TARGET_STARTING,
        Refusal.TARGET_SLOW,
        Refusal.TARGET_LIMITED,
        Refusal.PEER_UNREACHABLE,
    }
)
# The ingress refused the request before it reached the target, or the ingress could not be
# reached. Such attempts do not count against `max_attempts`.
UNDELIVERED_REFUSALS = UNBUDGETED_REFUSALS | {
    Refusal.OVERLOADED,
    Refusal.TENANT_SHARE,
    Refusal.FENCED,
    Refusal.TARGET_COLD,
}
ADMISSION_REFUSALS = frozenset(
    {Refusal.OVERLOADED, Refusal.TENANT_SHARE, Refusal.FENCED, Refusal.TARGET_COLD}
)
NON_RETRYABLE_REFUSALS = frozenset(
    {
        Refusal.KEY_MISMATCH,
        Refusal.KEY_HELD,
        Refusal.NO_KEY_QUORUM,
        Refusal.QUARANTINED,
        Refusal.RESPONSE_TOO_LARGE,
    }
)
SUSPECTED_CRASH_REFUSALS = frozenset({Refusal.TARGET_FAILED, Refusal.PEER_FAILED})


@dataclass(slots=True)
class RequestProgress:
    """Hold the attempts of one request so far, by count and outcome."""

    call: OutgoingCall
    tried_addresses: set[str] = field(default_factory=set)
    attempts: int = 0
    admission_refusals: int = 0
    slow_refusals: int = 0
    slow_addresses: set[str] = field(default_factory=set)
    undelivered_attempts: int = 0
    suspected_crashes: int = 0
    may_have_run: bool = False
    is_attempt_pending: bool = False
    last_outcome: Outcome | None = None
    last_response: Outcome | None = None


def record_attempt(progress: RequestProgress, address: str, outcome: Outcome) -> None:
    """Record the outcome of one attempt at a target."""
    progress.last_outcome = outcome
    progress.is_attempt_pending = False
    match outcome:
        case Ok(_):
            progress.may_have_run = True
            progress.last_response = outcome
        case Err(failure):
            progress.may_have_run |= failure.verdict is not Verdict.NOT_RUN
            progress.admission_refusals += failure.refusal in ADMISSION_REFUSALS
            if failure.refusal is Refusal.TARGET_SLOW:
                progress.slow_refusals += 1
                progress.slow_addresses.add(address)
            progress.undelivered_attempts += failure.refusal in UNDELIVERED_REFUSALS
            progress.suspected_crashes += failure.refusal in SUSPECTED_CRASH_REFUSALS


def count_undelivered(progress: RequestProgress, outcome: Outcome) -> None:
    """Count an attempt that ends while another one is pending, if it has reached no target."""
    if outcome.is_err():
        progress.undelivered_attempts += outcome.err_value.refusal in UNDELIVERED_REFUSALS


def should_retry(egress: Egress, progress: RequestProgress) -> bool:
    """Return whether the request is retried, and take the retry from its budget."""
    call = progress.call
    outcome = progress.last_outcome
    now = egress.blackboard.clock.monotonic()
    if has_ended(egress.stop_plan, now):
        return False
    if now >= call.deadline or _has_exhausted_attempts(progress) or not _is_retryable(progress):
        return False
    cause = "status" if outcome.is_ok() else outcome.err_value.refusal
    if cause in UNBUDGETED_REFUSALS:
        return True
    if cause in ADMISSION_REFUSALS and _has_spent_placement_time(progress, now):
        return False
    # A request that is itself a retry by its caller is not retried here, so that retries do
    # not multiply along a chain of calls.
    if call.attempt_number != progress.attempts:
        return False
    if cause in ADMISSION_REFUSALS:
        budget = egress.refusal_retry_budget
    else:
        budget = get_retry_budget(egress, call.service)
    if not take_tokens(budget, now):
        return False
    egress.metrics.egress.retries.inc({"service": call.service, "cause": str(cause)})
    return True


def get_pace_wait_seconds(egress: Egress, progress: RequestProgress) -> float | None:
    """Return how many seconds the ingress may delay the request while its instance is slow.

    None means that the request runs at once, however slow the instance is. A request that may
    outlast the stop of this daemon does so only if it has no latency objective.
    """
    call = progress.call
    if call.latency_objective_seconds is None:
        return None
    wait_seconds = PACE_WAIT_SHARE * call.latency_objective_seconds
    if may_outlast(egress.stop_plan, call.deadline):
        return wait_seconds
    if progress.slow_refusals >= MAX_SLOW_REFUSALS:
        return None
    return 0.0 if progress.slow_refusals > 0 else wait_seconds


def allow_slow_targets(egress: Egress, progress: RequestProgress) -> bool:
    """Allow targets again that refused for slowness, and return whether there are any.

    If there are any, the request no longer waits for the usual pace of an instance. One that may
    outlast the stop of this daemon still does, as long as it can end in time.
    """
    if not progress.slow_addresses:
        return False
    call = progress.call
    if may_outlast(egress.stop_plan, call.deadline):
        now = egress.blackboard.clock.monotonic()
        if not can_end_in_time(egress.stop_plan, now, get_latency_seconds(egress, call)):
            return False
    else:
        progress.slow_refusals = MAX_SLOW_REFUSALS
    progress.tried_addresses -= progress.slow_addresses
    progress.slow_addresses.clear()
    return True


def count_delivered_attempts(progress: RequestProgress) -> int:
    """Return the attempts that reached a target, or may have."""
    return progress.attempts - progress.undelivered_attempts


def back_off(egress: Egress, progress: RequestProgress) -> None:
    """Back off after repeated admission refusals, and allow all targets again."""
    if progress.admission_refusals < BACKOFF_MIN_REFUSALS:
        return
    exponent = progress.admission_refusals - BACKOFF_MIN_REFUSALS
    limit_seconds = INITIAL_BACKOFF_SECONDS * 2**exponent
    progress.tried_addresses.clear()
    gevent.sleep(egress.random.uniform(0.5, 1.0) * limit_seconds)


def make_final_outcome(progress: RequestProgress) -> Outcome:
    """Return the outcome that the caller receives after the last attempt."""
    outcome = progress.last_outcome
    if outcome is None:
        detail = f"no target of {progress.call.service} takes work"
        return Err(Failure(Verdict.NOT_RUN, Refusal.NO_TARGET, detail))
    if outcome.is_ok():
        return outcome
    if progress.last_response is not None:
        # The response to an earlier attempt is of more use to the caller than a failure.
        return progress.last_response
    failure = outcome.err_value
    if progress.may_have_run and failure.verdict is Verdict.NOT_RUN:
        return Err(Failure(Verdict.MAY_HAVE_RUN, failure.refusal, failure.detail))
    return outcome


def _has_spent_placement_time(progress: RequestProgress, now: float) -> bool:
    """Return whether the time to find a target with free capacity is used up."""
    call = progress.call
    if call.latency_objective_seconds is None:
        return False
    return now - call.arrived_at > PLACEMENT_SHARE * call.latency_objective_seconds


def _has_exhausted_attempts(progress: RequestProgress) -> bool:
    return (
        progress.admission_refusals > MAX_ADMISSION_REFUSALS
        or count_delivered_attempts(progress) >= progress.call.max_attempts
    )


def _is_retryable(progress: RequestProgress) -> bool:
    is_idempotent = progress.call.is_idempotent
    match progress.last_outcome:
        case Ok(response):
            return is_idempotent and response.status in RETRIED_STATUSES
        case Err(failure):
            if failure.refusal in NON_RETRYABLE_REFUSALS:
                return False
            if failure.verdict is Verdict.NOT_RUN:
                return is_idempotent or not progress.may_have_run
            return is_idempotent and progress.suspected_crashes < MAX_SUSPECTED_CRASHES
