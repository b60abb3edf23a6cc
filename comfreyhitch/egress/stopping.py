"""Decide which requests a stopping daemon serves, and interrupt those it can't finish."""

from dataclasses import dataclass

from comfreyhitch.core.verdicts import Failure, Refusal, Verdict

INTERRUPTED_DETAIL = "this daemon stopped before the response came"


class DaemonStoppingError(Exception):
    """Signal that the daemon stops before the response to a request has come."""


@dataclass(frozen=True, slots=True)
class StopPlan:
    """Hold the times of a stop in monotonic seconds.

    Every request that arrives before `serves_until` is served. Requests that wait for a response
    at `answers_until` are answered with a failure. Responses that are being received or sent then
    have until `ends_at`.
    """

    serves_until: float
    answers_until: float
    ends_at: float


def find_stop_refusal(plan: StopPlan | None, deadline: float, now: float) -> Failure | None:
    """Return the failure of a request that may not end before the daemon does, or None."""
    if plan is None or now < plan.serves_until or deadline <= plan.answers_until:
        return None
    return Failure(Verdict.NOT_RUN, Refusal.DRAINING, "this daemon stops")


def has_ended(plan: StopPlan | None, now: float) -> bool:
    """Return whether the daemon stops and no longer waits for responses."""
    return plan is not None and now >= plan.answers_until


def make_interrupted_failure(*, may_have_run: bool) -> Failure:
    """Return the failure of a request that has no response when the daemon stops."""
    verdict = Verdict.MAY_HAVE_RUN if may_have_run else Verdict.NOT_RUN
    return Failure(verdict, Refusal.DRAINING, INTERRUPTED_DETAIL)
