"""Route a request: choose targets, retry within the budget, never run twice what may not."""

from collections.abc import Sequence
from dataclasses import dataclass, field

import gevent
from result import Err

from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.egress.attempts import (
    FENCE_RETRY_SECONDS,
    Attempt,
    abandon_attempt,
    fence_attempt,
    finish_attempt,
    is_stalled,
    mark_overdue,
    read_fenced,
    start_attempt,
    wait_for_any,
)
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.models import Candidate
from comfreyhitch.egress.state import REFUSAL_BUDGET, Egress
from comfreyhitch.egress.views import get_view, is_full
from comfreyhitch.rollouts.shares import choose_version
from comfreyhitch.utils.token_bucket import deposit, take
from comfreyhitch.wire.exceptions import PeerError

MAX_TRIES = 4
MAX_REFUSALS = 8
FIRST_BACKOFF_REFUSAL = 2
FIRST_BACKOFF_SECONDS = 0.004
MAX_TARGET_DEATHS = 2
HEDGE_LATENCY_FACTOR = 4.0
# A target that answers nobody is left after a part of the usual patience.
STALLED_HEDGE_SHARE = 0.5
MIN_HEDGE_DELAY_SECONDS = 0.005
DEFAULT_HEDGE_DELAY_SECONDS = 0.1
RETRIED_STATUSES = frozenset({502, 503, 504})
# These refusals tell of a change that has not reached this daemon yet, so the
# next try goes elsewhere for certain and is not a sign of overload.
FREE_REFUSALS = frozenset(
    {Refusal.DRAINING, Refusal.ZONE_OUT, Refusal.VERSION_VETOED, Refusal.WRONG_SERVICE}
)
ADMISSION_REFUSALS = frozenset({Refusal.OVERLOADED, Refusal.TENANT_SHARE})
FINAL_REFUSALS = frozenset(
    {
        Refusal.KEY_MISMATCH,
        Refusal.KEY_HELD,
        Refusal.NO_KEY_QUORUM,
        Refusal.QUARANTINED,
        Refusal.RESPONSE_TOO_LARGE,
    }
)


@dataclass(slots=True)
class Progress:
    """Hold the tries of one request so far."""

    call: OutgoingCall
    tried: set[str] = field(default_factory=set)
    tries: int = 0
    refusals: int = 0
    target_deaths: int = 0
    may_have_run: bool = False
    last_outcome: Outcome | None = None


def route(egress: Egress, call: OutgoingCall) -> Outcome:
    """Return a target's response, or a failure that says whether the request may have run."""
    deposit(egress.retry_budget, egress.settings.retry_budget)
    deposit(egress.hedge_budget, egress.settings.hedge_budget)
    deposit(egress.refusal_budget, REFUSAL_BUDGET)
    progress = Progress(call)
    while True:
        candidate = _choose_candidate(egress, progress)
        if candidate is None:
            return _give_up(progress, Refusal.NO_TARGET, f"no target of {call.service} takes work")
        progress.tries += 1
        progress.tried.add(candidate.address)
        outcome = _try_candidate(egress, progress, candidate)
        progress.last_outcome = outcome
        if not _should_retry(egress, progress, outcome):
            return _conclude(progress, outcome)
        call.attempt += 1
        if progress.refusals >= FIRST_BACKOFF_REFUSAL:
            _back_off(egress, progress)


def _choose_candidate(egress: Egress, progress: Progress) -> Candidate | None:
    blackboard = egress.blackboard
    service = progress.call.service
    candidates = blackboard.candidates_by_service.get(service, [])
    shares = blackboard.shares_by_service.get(service)
    now = blackboard.clock.monotonic()
    if shares is None:
        return egress.choose(candidates, progress.tried, now)
    drawn = choose_version(candidates, shares, progress.tried, egress.random)
    candidate = egress.choose(drawn, progress.tried, now)
    return _spill_over(egress, progress, candidates, candidate, now)


def _spill_over(
    egress: Egress,
    progress: Progress,
    candidates: Sequence[Candidate],
    candidate: Candidate | None,
    now: float,
) -> Candidate | None:
    """Return a target of the old version if the new one has no place left."""
    policy = egress.blackboard.services_by_name.get(progress.call.service)
    plan = None if policy is None else policy.rollout
    if candidate is None or plan is None or candidate.version != plan.to_version:
        return candidate
    views_by_address = egress.blackboard.views_by_address
    if not is_full(get_view(views_by_address, candidate.address), now):
        return candidate
    old = [item for item in candidates if item.version == plan.from_version]
    other = egress.choose(old, progress.tried, now)
    if other is None or is_full(get_view(views_by_address, other.address), now):
        return candidate
    return other


def _try_candidate(egress: Egress, progress: Progress, candidate: Candidate) -> Outcome:
    call = progress.call
    try:
        attempt = start_attempt(egress, call, candidate)
    except PeerError as error:
        verdict = Verdict.MAY_HAVE_RUN if error.sent else Verdict.NOT_RUN
        return Err(Failure(verdict, Refusal.PEER_UNREACHABLE, str(error)))
    if call.is_idempotent:
        return _await_hedged(egress, progress, attempt)
    return _await_fenced(egress, call, attempt)


def _await_hedged(egress: Egress, progress: Progress, attempt: Attempt) -> Outcome:
    clock = egress.blackboard.clock
    call = progress.call
    attempts = [attempt]
    hedge_delay = _get_hedge_delay(egress, call.service)
    late_at = attempt.sent_at + hedge_delay
    hedge_at: float | None = attempt.sent_at + hedge_delay * STALLED_HEDGE_SHARE
    failure: Outcome | None = None
    try:
        while attempts:
            now = clock.monotonic()
            wait_until = call.deadline if hedge_at is None else min(call.deadline, hedge_at)
            answered = wait_for_any(attempts, wait_until - now)
            if answered is not None:
                outcome = _finish(egress, answered, call)
                attempts.remove(answered)
                _distrust_silent(egress, attempts)
                if outcome.is_ok() or not attempts:
                    return outcome
                failure = outcome
                continue
            now = clock.monotonic()
            if now >= call.deadline:
                break
            if now < late_at and not is_stalled(attempt):
                hedge_at = late_at
                continue
            for item in attempts:
                mark_overdue(item)
            hedge_at = _hedge(egress, progress, attempts, now)
    finally:
        for item in attempts:
            abandon_attempt(item)
    if failure is not None:
        return failure
    return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.DEADLINE, "no answer before the deadline"))


def _distrust_silent(egress: Egress, pending: list[Attempt]) -> None:
    now = egress.blackboard.clock.monotonic()
    for attempt in pending:
        if now - attempt.sent_at >= egress.settings.fence_after.total_seconds():
            egress.pool.distrust_older(attempt.candidate.address)


def _hedge(egress: Egress, progress: Progress, attempts: list[Attempt], now: float) -> float | None:
    """Start a hedge if one is due and allowed, and return when to look again."""
    silent_at = attempts[0].sent_at + egress.settings.fence_after.total_seconds()
    # Within the first seconds only a hedge may help; after them the connection
    # may have gone silent, which a second try elsewhere cures as well.
    budget = egress.hedge_budget if now < silent_at else egress.retry_budget
    next_look = silent_at if now < silent_at else None
    candidate = _choose_candidate(egress, progress)
    if candidate is None or not take(budget, now):
        return next_look
    progress.tried.add(candidate.address)
    try:
        attempts.append(start_attempt(egress, progress.call, candidate))
        egress.metrics.egress.hedges.inc({"service": progress.call.service})
    except PeerError:
        return next_look
    return None


def _finish(egress: Egress, attempt: Attempt, call: OutgoingCall) -> Outcome:
    try:
        return finish_attempt(egress, attempt, call)
    except PeerError as error:
        abandon_attempt(attempt)
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.PEER_FAILED, str(error)))


def _await_fenced(egress: Egress, call: OutgoingCall, attempt: Attempt) -> Outcome:
    clock = egress.blackboard.clock
    fence_at = attempt.sent_at + _get_hedge_delay(egress, call.service)
    silent_at = attempt.sent_at + egress.settings.fence_after.total_seconds()
    is_connected = True
    try:
        while clock.monotonic() < call.deadline:
            wait_until = min(call.deadline, fence_at)
            if is_connected:
                answered = wait_for_any([attempt], wait_until - clock.monotonic())
                if answered is not None:
                    outcome = _finish(egress, attempt, call)
                    if not _is_cut(outcome):
                        return outcome
                    is_connected = False
            now = clock.monotonic()
            if is_connected and now < silent_at and not take(egress.hedge_budget, now):
                fence_at = silent_at
                continue
            mark_overdue(attempt)
            outcome = _fence(egress, attempt, is_silent=now >= silent_at)
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


def _fence(egress: Egress, attempt: Attempt, *, is_silent: bool) -> Outcome | None:
    answer = fence_attempt(egress, attempt)
    if answer is None:
        return None
    outcome = read_fenced(answer)
    if outcome is not None and is_silent:
        egress.pool.distrust_older(attempt.candidate.address)
    return outcome


def _is_cut(outcome: Outcome) -> bool:
    return outcome.is_err() and outcome.err_value.refusal is Refusal.PEER_FAILED


def _get_hedge_delay(egress: Egress, service: str) -> float:
    latency_seconds = egress.latency_seconds_by_service.get(service)
    if latency_seconds is None:
        return DEFAULT_HEDGE_DELAY_SECONDS
    return max(MIN_HEDGE_DELAY_SECONDS, HEDGE_LATENCY_FACTOR * latency_seconds)


def _should_retry(egress: Egress, progress: Progress, outcome: Outcome) -> bool:
    call = progress.call
    now = egress.blackboard.clock.monotonic()
    if _is_refused_by_admission(outcome):
        progress.refusals += 1
    too_many = progress.refusals > MAX_REFUSALS or progress.tries - progress.refusals >= MAX_TRIES
    if too_many or now >= call.deadline:
        return False
    if outcome.is_ok():
        cause = "status"
        is_allowed = call.is_idempotent and outcome.ok_value.status in RETRIED_STATUSES
    else:
        failure = outcome.err_value
        cause = failure.refusal.value
        is_allowed = _may_retry(progress, failure)
        if is_allowed and failure.refusal in FREE_REFUSALS:
            return True
    # A request that is itself part of a retry further up is not retried, so
    # that tries do not multiply along a chain of calls.
    is_first_chain = call.attempt == progress.tries
    is_refused = _is_refused_by_admission(outcome)
    budget = egress.refusal_budget if is_refused else egress.retry_budget
    if not is_allowed or not is_first_chain or not take(budget, now):
        return False
    egress.metrics.egress.retries.inc({"service": call.service, "cause": cause})
    return True


def _back_off(egress: Egress, progress: Progress) -> None:
    """Wait a moment for a place, then start over with all targets."""
    exponent = progress.refusals - FIRST_BACKOFF_REFUSAL
    limit_seconds = FIRST_BACKOFF_SECONDS * 2**exponent
    progress.tried.clear()
    gevent.sleep(egress.random.uniform(0.5, 1.0) * limit_seconds)


def _is_refused_by_admission(outcome: Outcome) -> bool:
    return outcome.is_err() and outcome.err_value.refusal in ADMISSION_REFUSALS


def _may_retry(progress: Progress, failure: Failure) -> bool:
    if failure.refusal in FINAL_REFUSALS:
        return False
    if failure.verdict is Verdict.NOT_RUN:
        return True
    progress.may_have_run = True
    if failure.refusal in (Refusal.TARGET_FAILED, Refusal.PEER_FAILED):
        progress.target_deaths += 1
    return progress.call.is_idempotent and progress.target_deaths < MAX_TARGET_DEATHS


def _conclude(progress: Progress, outcome: Outcome) -> Outcome:
    if outcome.is_err() and progress.may_have_run:
        failure = outcome.err_value
        if failure.verdict is Verdict.NOT_RUN:
            return Err(Failure(Verdict.MAY_HAVE_RUN, failure.refusal, failure.detail))
    return outcome


def _give_up(progress: Progress, refusal: Refusal, detail: str) -> Outcome:
    if progress.last_outcome is not None:
        return _conclude(progress, progress.last_outcome)
    return Err(Failure(Verdict.NOT_RUN, refusal, detail))
