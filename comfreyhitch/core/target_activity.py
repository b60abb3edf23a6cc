"""Whether the target of this daemon runs requests, and for which share of the time it runs none."""

from dataclasses import dataclass
from math import exp

# Long enough for many idle periods of a target at half load, short enough to follow the waves and
# bursts of the load, which take 3 to 6 s.
IDLE_SHARE_SECONDS = 5.0


@dataclass(slots=True)
class TargetActivity:
    """Hold how many requests the target runs as of `updated_at`, in monotonic seconds."""

    running: int = 0
    idle_share: float = 0.0
    updated_at: float = 0.0


def record_running(activity: TargetActivity, running: int, now: float) -> None:
    """Record how many requests the target runs from now on."""
    activity.idle_share = get_idle_share(activity, now)
    activity.running = running
    activity.updated_at = now


def get_idle_share(activity: TargetActivity, now: float) -> float:
    """Return the share of the last seconds for which the target ran nothing."""
    weight = exp(-max(0.0, now - activity.updated_at) / IDLE_SHARE_SECONDS)
    return activity.idle_share * weight + (1.0 - weight) * (activity.running == 0)
