"""Share of a new version as a function of time and evidence."""

from datetime import datetime, timedelta

from comfreyhitch.sections.models import Freeze, RolloutPlan

CANARY_SHARE = 0.05
# The old version keeps a little traffic until the end, to be compared with.
FINAL_SHARE = 0.95
CANARY_END_PROGRESS = 0.15
RAMP_END_PROGRESS = 0.75
MAX_SHARE_BY_STAGE = (0.05, 0.15, 0.4, FINAL_SHARE)
MIN_REQUESTS_BY_STAGE = (0, 20, 80, 200)
FINAL_STAGE = len(MAX_SHARE_BY_STAGE) - 1
# Findings shortly before the deadline could miss some daemons.
ANALYSIS_END_MARGIN = timedelta(seconds=2)


def get_scheduled_share(plan: RolloutPlan, now: datetime) -> float:
    """Return the share that time alone would allow."""
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
    """Return the share of the new version that is in force now."""
    if is_completed:
        return 1.0
    if is_vetoed or get_active_freeze_start(freezes, now) is not None:
        return 0.0
    cap = MAX_SHARE_BY_STAGE[min(max(stage, 0), FINAL_STAGE)]
    return min(cap, get_scheduled_share(plan, now))


def get_supported_stage(requests: int) -> int:
    """Return the stage that a number of judged requests supports."""
    reached = [stage for stage, least in enumerate(MIN_REQUESTS_BY_STAGE) if requests >= least]
    return max(reached)


def get_active_freeze_start(freezes: tuple[Freeze, ...], now: datetime) -> datetime | None:
    """Return when the freeze that is in force began, or None without one."""
    for freeze in freezes:
        is_day = now.weekday() == freeze.weekday
        if is_day and freeze.from_hour <= now.hour < freeze.until_hour:
            return now.replace(hour=freeze.from_hour, minute=0, second=0, microsecond=0)
    return None


def is_under_analysis(plan: RolloutPlan, now: datetime) -> bool:
    """Return whether findings about the new version still lead to a veto."""
    return plan.starts_at <= now < plan.finish_by - ANALYSIS_END_MARGIN
