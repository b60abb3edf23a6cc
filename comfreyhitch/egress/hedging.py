"""Wait for the answer to an idempotent request, and hedge the request if it is late.

A hedge is a second attempt at another target while the first is still pending. When the daemon
stops, an answer is late earlier: while there is still time for another target to answer.
"""

from dataclasses import dataclass

from result import Err

from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.egress.attempt_records import (
    add_attempt_record,
    end_attempt_record,
    give_up_attempt_record,
)
from comfreyhitch.egress.attempts import (
    Attempt,
    abandon_attempt,
    get_late_after_seconds,
    is_target_stalled,
    mark_overdue,
    read_outcome,
    record_unanswered,
    start_attempt,
    wait_for_any,
)
from comfreyhitch.egress.candidates import choose_for_call, count_exposure
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.retries import (
    RequestProgress,
    allow_slow_targets,
    count_delivered_attempts,
    count_undelivered,
    get_pace_wait_seconds,
)
from comfreyhitch.egress.state import Egress, get_latency_seconds, get_retry_budget
from comfreyhitch.egress.stopping import find_hedge_time, has_ended, may_outlast
from comfreyhitch.utils.token_bucket import take_tokens
from comfreyhitch.wire.exceptions import PeerError

# If the target has stopped answering, the hedge is sent after this fraction of the usual delay.
STALLED_HEDGE_FRACTION = 0.5
# Time allowed after the deadline for an ingress's refusal at the deadline to arrive.
ANSWER_GRACE_SECONDS = 0.02
# How often a pending request checks whether the daemon has begun to stop.
STOP_POLL_SECONDS = 1.0


@dataclass(slots=True)
class HedgeSchedule:
    """Hold when a request without an answer is hedged; times are monotonic seconds.

    `next_at` is the next check whether the answer is late, None if there is none. No hedge is sent
    because of a stop before `stop_hedge_not_before`.
    """

    late_at: float
    next_at: float | None
    stop_hedge_not_before: float = 0.0

    @classmethod
    def from_attempt(cls, attempt: Attempt, late_after_seconds: float) -> "HedgeSchedule":
        """Return the schedule for the first attempt of a request."""
        return cls(
            late_at=attempt.sent_at + late_after_seconds,
            next_at=attempt.sent_at + late_after_seconds * STALLED_HEDGE_FRACTION,
        )


def await_answer_with_hedging(
    egress: Egress, progress: RequestProgress, attempt: Attempt
) -> Outcome:
    """Wait for the answer; send a hedge to another target when it is late."""
    clock = egress.blackboard.clock
    call = progress.call
    attempts = [attempt]
    schedule = HedgeSchedule.from_attempt(attempt, get_late_after_seconds(egress, call))
    give_up_at = call.deadline + ANSWER_GRACE_SECONDS
    best_known: Outcome | None = None
    try:
        while attempts:
            now = clock.monotonic()
            stop_hedge_at = _find_stop_hedge_time(egress, call, attempts, schedule)
            wait_until = min(
                give_up_at,
                schedule.next_at or give_up_at,
                stop_hedge_at or give_up_at,
                now + STOP_POLL_SECONDS,
            )
            answered = wait_for_any(attempts, wait_until - now)
            if answered is not None:
                outcome = read_outcome(egress, answered, call)
                attempts.remove(answered)
                if attempts:
                    count_undelivered(progress, outcome)
                end_attempt_record(answered.record, outcome, clock.monotonic())
                _invalidate_silent_connections(egress, attempts)
                best_known = _combine(best_known, outcome)
                if outcome.is_ok() or not attempts:
                    for item in attempts:
                        give_up_attempt_record(item.record, clock.monotonic())
                    return best_known
                continue
            now = clock.monotonic()
            if now >= give_up_at:
                break
            if stop_hedge_at is not None and now >= stop_hedge_at:
                _hedge_for_stop(egress, progress, attempts, schedule, now)
            elif schedule.next_at is not None and now >= schedule.next_at:
                _hedge_if_late(egress, progress, attempts, schedule, now)
    finally:
        for item in attempts:
            abandon_attempt(item)
    for item in attempts:
        record_unanswered(item, clock.monotonic())
    # An unanswered attempt may have run, whatever the others returned.
    return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.DEADLINE, "no answer before the deadline"))


def _find_stop_hedge_time(
    egress: Egress, call: OutgoingCall, attempts: list[Attempt], schedule: HedgeSchedule
) -> float | None:
    """Return when a request is hedged because its daemon stops, None for not at all.

    A request that is hedged already is not hedged again.
    """
    if len(attempts) > 1 or not may_outlast(egress.stop_plan, call.deadline):
        return None
    return find_hedge_time(
        egress.stop_plan,
        attempts[0].sent_at,
        get_latency_seconds(egress, call),
        schedule.stop_hedge_not_before,
    )


def _hedge_for_stop(
    egress: Egress,
    progress: RequestProgress,
    attempts: list[Attempt],
    schedule: HedgeSchedule,
    now: float,
) -> None:
    """Send a hedge, if the budget allows, to a target at its usual pace."""
    allow_slow_targets(egress, progress)
    progress.call.patience_seconds = get_pace_wait_seconds(egress, progress)
    _hedge(egress, progress, attempts, now)
    schedule.stop_hedge_not_before = now + STOP_POLL_SECONDS
    if len(attempts) > 1:
        schedule.next_at = None


def _hedge_if_late(
    egress: Egress,
    progress: RequestProgress,
    attempts: list[Attempt],
    schedule: HedgeSchedule,
    now: float,
) -> None:
    """Send a hedge, if the budget allows, once the answer is late or its target stalls."""
    if now < schedule.late_at and not is_target_stalled(attempts[0]):
        schedule.next_at = schedule.late_at
        return
    for item in attempts:
        mark_overdue(item)
    schedule.next_at = _hedge(egress, progress, attempts, now)


def _combine(best_known: Outcome | None, outcome: Outcome) -> Outcome:
    """Return a response if there is one, else the failure whose verdict is closer to `RAN`."""
    if best_known is None or outcome.is_ok():
        return outcome
    return outcome if outcome.err_value.verdict > best_known.err_value.verdict else best_known


def _invalidate_silent_connections(egress: Egress, pending: list[Attempt]) -> None:
    now = egress.blackboard.clock.monotonic()
    for attempt in pending:
        if now - attempt.sent_at >= egress.settings.fence_after.total_seconds():
            egress.pool.invalidate_older(attempt.candidate.address)


def _hedge(
    egress: Egress, progress: RequestProgress, attempts: list[Attempt], now: float
) -> float | None:
    """Send a hedge if the budget allows, and return when to check again, None for never."""
    silent_at = attempts[0].sent_at + egress.settings.fence_after.total_seconds()
    # Until `fence_after` has passed, the target is merely late, and another attempt is a hedge.
    # After that, the connection may have failed silently. Another attempt helps then as well,
    # but draws on the retry budget.
    is_hedge = now < silent_at
    has_own_budget = is_hedge and not egress.settings.is_repeat_budget_shared
    retry_budget = get_retry_budget(egress, progress.call.service)
    budget = egress.hedge_budget if has_own_budget else retry_budget
    next_check_at = silent_at if now < silent_at else None
    if has_ended(egress.stop_plan, now):
        return None
    if count_delivered_attempts(progress) >= progress.call.max_attempts:
        return None
    candidate = choose_for_call(egress, progress.call, progress.tried_addresses)
    if candidate is None or not take_tokens(budget, now):
        return next_check_at
    progress.attempts += 1
    progress.call.attempt_number += 1
    progress.tried_addresses.add(candidate.address)
    count_exposure(egress, progress.call.service, candidate.version)
    record = add_attempt_record(egress, progress.call, candidate, is_hedge=True)
    try:
        hedge = start_attempt(egress, progress.call, candidate)
        hedge.record = record
        attempts.append(hedge)
        egress.metrics.egress.hedges.inc({"service": progress.call.service})
    except PeerError as error:
        failure = Failure(Verdict.NOT_RUN, Refusal.PEER_UNREACHABLE, str(error))
        end_attempt_record(record, Err(failure), egress.blackboard.clock.monotonic())
        progress.undelivered_attempts += 1
        return next_check_at
    return None
