"""Whether the target of this daemon runs requests, and for how long it has run none."""

from dataclasses import dataclass
from math import exp

# Short, since the load of a target changes within a second.
IDLE_SHARE_SECONDS = 1.0


@dataclass(slots=True)
class TargetActivity:
    """Hold how many requests the target runs as of `updated_at`, in monotonic seconds."""

    running: int = 0
    idle_seconds: float = 0.0
    # Moving average of the share of the time for which the target ran nothing.
    idle_share: float = 0.0
    updated_at: float = 0.0


def record_running(activity: TargetActivity, running: int, now: float) -> None:
    """Record how many requests the target runs from now on."""
    activity.idle_share = get_idle_share(activity, now)
    activity.idle_seconds = get_idle_seconds(activity, now)
    activity.running = running
    activity.updated_at = now


def get_idle_share(activity: TargetActivity, now: float) -> float:
    """Return the share of about the last second for which the target ran nothing."""
    weight = exp(-max(0.0, now - activity.updated_at) / IDLE_SHARE_SECONDS)
    return activity.idle_share * weight + (1.0 - weight) * (activity.running == 0)


def get_idle_seconds(activity: TargetActivity, now: float) -> float:
    """Return for how many seconds the target has run nothing, of all time."""
    if activity.running > 0:
        return activity.idle_seconds
    return activity.idle_seconds + max(0.0, now - activity.updated_at)
