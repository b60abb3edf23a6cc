"""Decide which requests a stopping daemon serves, and interrupt those it can't finish."""

from dataclasses import dataclass

from comfreyhitch.core.verdicts import Failure, Refusal, Verdict

INTERRUPTED_DETAIL = "this daemon stopped before the response came"

# A request that may outlast the stop is taken only if this many times its usual latency is left.
TAKEN_LATENCY_FACTOR = 1.5
# An answer that takes this many times its usual latency is late for a daemon that stops.
LATE_LATENCY_FACTOR = 1.5
# While more than this many times the usual latency is left, a late answer may still come by itself.
HEDGE_LATENCY_FACTOR = 2.5


class DaemonStoppingError(Exception):
    """Signal that the daemon stops before the response to a request has come."""


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Hold the times of a stop in monotonic seconds.

    Requests that arrive before `serves_until` are served if they usually end in time. From
    `answers_until` on, no request is sent to a target, and those that may run only once get a
    failure if they still wait for a response. The others get theirs just before `ends_at`, until
    which responses are received and sent.
    """

    serves_until: float
    answers_until: float
    ends_at: float


def may_outlast(plan: StopPlan | None, deadline: float) -> bool:
    """Return whether the daemon stops before a deadline in monotonic seconds."""
    return plan is not None and deadline > plan.answers_until


def can_end_in_time(plan: StopPlan, now: float, usual_seconds: float | None) -> bool:
    """Return whether a request that is sent now usually ends before the daemon does.

    `usual_seconds` is the usual latency of such requests, None if it is not known.
    """
    return now + TAKEN_LATENCY_FACTOR * (usual_seconds or 0.0) <= plan.answers_until


def find_stop_refusal(
    plan: StopPlan | None, deadline: float, now: float, usual_seconds: float | None
) -> Failure | None:
    """Return the failure of a request that may not end before the daemon does, or None."""
    if not may_outlast(plan, deadline):
        return None
    if now < plan.serves_until and can_end_in_time(plan, now, usual_seconds):
        return None
    return Failure(Verdict.NOT_RUN, Refusal.DRAINING, "this daemon stops")


def find_hedge_time(plan: StopPlan, sent_at: float, usual_seconds: float | None) -> float | None:
    """Return when a request without an answer is sent to another target because of the stop.

    All times are monotonic seconds. None means never: the usual latency is not known, or no other
    target would answer in time.
    """
    if usual_seconds is None:
        return None
    late_at = sent_at + LATE_LATENCY_FACTOR * usual_seconds
    last_chance_at = plan.answers_until - HEDGE_LATENCY_FACTOR * usual_seconds
    hedge_at = max(late_at, last_chance_at)
    return hedge_at if hedge_at + usual_seconds <= plan.answers_until else None


def has_ended(plan: StopPlan | None, now: float) -> bool:
    """Return whether the daemon stops and no longer waits for responses."""
    return plan is not None and now >= plan.answers_until


def make_interrupted_failure(*, may_have_run: bool) -> Failure:
    """Return the failure of a request that has no response when the daemon stops."""
    verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
    return Failure(verdict, Refusal.DRAINING, INTERRUPTED_DETAIL)
