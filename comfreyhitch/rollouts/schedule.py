"""Traffic share of a new version as a function of time and evidence."""

from datetime import datetime, timedelta

from comfreyhitch.sections.models import Freeze, RolloutPlan

CANARY_SHARE = 0.05
# The old version keeps some traffic until the end, so that the versions can be compared.
FINAL_SHARE = 0.95
CANARY_END_PROGRESS = 0.15
RAMP_END_PROGRESS = 0.75
MAX_SHARE_BY_STAGE = (0.05, 0.15, 0.4, FINAL_SHARE)
MIN_REQUESTS_BY_STAGE = (0, 20, 80, 200)
FINAL_STAGE = len(MAX_SHARE_BY_STAGE) - 1
# A veto shortly before the deadline might not reach all daemons in time.
ANALYSIS_END_MARGIN = timedelta(seconds=2)


def get_scheduled_share(plan: RolloutPlan, now: datetime) -> float:
    """Return the share that the elapsed time allows, regardless of the evidence."""
    if now < plan.starts_at:
        return 0.0
    progress = (now - plan.starts_at) / (plan.finish_by - plan.starts_at)
    if progress < CANARY_END_PROGRESS:
        return CANARY_SHARE
    if progress >= RAMP_END_PROGRESS:
        return FINAL_SHARE
    ramp = (progress - CANARY_END_PROGRESS) / (RAMP_END_PROGRESS - CANARY_END_PROGRESS)
    return CANARY_SHARE + ramp * (FINAL_SHARE - CANARY_SHARE)


def get_new_version_share(
    plan: RolloutPlan,
    now: datetime,
    *,
    stage: int,
    is_vetoed: bool,
    is_completed: bool,
    freezes: tuple[Freeze, ...],
) -> float:
    """Return the traffic share that the new version gets at the given time."""
    if is_completed:
        return 1.0
    if is_vetoed or get_active_freeze_start(freezes, now) is not None:
        return 0.0
    cap = MAX_SHARE_BY_STAGE[min(max(stage, 0), FINAL_STAGE)]
    return min(cap, get_scheduled_share(plan, now))


def get_supported_stage(requests: int) -> int:
    """Return the highest stage for which this many requests to the new version suffice."""
    reached = [
        stage
        for stage, min_requests in enumerate(MIN_REQUESTS_BY_STAGE)
        if requests >= min_requests
    ]
    return max(reached)


def get_active_freeze_start(freezes: tuple[Freeze, ...], now: datetime) -> datetime | None:
    """Return when the active change freeze began, or None if there is none."""
    for freeze in freezes:
        is_day = now.weekday() == freeze.weekday
        if is_day and freeze.from_hour <= now.hour < freeze.until_hour:
            return now.replace(hour=freeze.from_hour, minute=0, second=0, microsecond=0)
    return None


def is_under_analysis(plan: RolloutPlan, now: datetime) -> bool:
    """Return whether a regression of the new version still leads to a veto."""
    return plan.starts_at <= now < plan.finish_by - ANALYSIS_END_MARGIN
