"""Track the lifecycle of this daemon's target from heartbeats and health responses."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

# How long the departure of an incarnation that was never seen before is remembered.
UNKNOWN_DEPARTURE_RETENTION_SECONDS = 30.0
MAX_DEPARTURES = 64


class TargetState(Enum):
    """Name the stage of a target's lifecycle."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class HeartbeatResult(Enum):
    """Describe what a heartbeat changed."""

    STALE = "stale"
    UNCHANGED = "unchanged"
    CHANGED = "changed"
    REPLACED = "replaced"
    # Not applied yet, since nothing shows that its sender has not left.
    HELD = "held"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Represent what a target reports about itself.

    `start_time_ms` is None if the target does not report when it started.
    """

    instance_id: str
    service: str
    version: str
    slots: int
    is_draining: bool
    sequence: int
    start_time_ms: int | None = None
    cold_duration: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class Departure:
    """Represent the departure of an incarnation.

    `expires_at` is in monotonic seconds; None means that it never expires.
    """

    start_time_ms: int | None
    expires_at: float | None


@dataclass(slots=True)
class TargetLifecycle:
    """Hold what is known about the target; times are monotonic seconds.

    An incarnation is one run of the target; it is identified by `instance_id`, and by
    `start_time_ms` where the target reports it. A cold target, such as one that has just
    started, gets only a limited rate of requests until `cold_until`. A suspected target
    may have restarted, so it counts as cold until its health path reports otherwise.
    """

    instance_id: str = ""
    start_time_ms: int | None = None
    sequence: int = -1
    version: str = ""
    slots: int = 0
    state: TargetState = TargetState.STARTING
    cold_until: float = 0.0
    is_suspected: bool = True
    last_heartbeat_at: float = 0.0
    departures_by_id: dict[str, Departure] = field(default_factory=dict)


def apply_heartbeat(
    lifecycle: TargetLifecycle, heartbeat: Heartbeat, now: float
) -> HeartbeatResult:
    """Apply a heartbeat, unless it is older than the known state."""
    if is_departed(lifecycle, heartbeat, now):
        return HeartbeatResult.STALE
    if _is_same_incarnation(lifecycle, heartbeat):
        return _apply_later_heartbeat(lifecycle, heartbeat, now)
    if (
        lifecycle.start_time_ms is not None
        and heartbeat.start_time_ms is not None
        and heartbeat.start_time_ms < lifecycle.start_time_ms
    ):
        return HeartbeatResult.STALE
    return _apply_first_heartbeat(lifecycle, heartbeat, now)


def record_departure(lifecycle: TargetLifecycle, instance_id: str, now: float) -> bool:
    """Record that an incarnation leaves, and return whether it is this daemon's target."""
    is_current = instance_id == lifecycle.instance_id
    known = lifecycle.departures_by_id.get(instance_id)
    if not is_current and known is not None and known.expires_at is None:
        # Told again: what was recorded while the target was this daemon's stays in force.
        return False
    departure = (
        Departure(lifecycle.start_time_ms, None)
        if is_current
        else Departure(None, now + UNKNOWN_DEPARTURE_RETENTION_SECONDS)
    )
    while len(lifecycle.departures_by_id) >= MAX_DEPARTURES:
        del lifecycle.departures_by_id[next(iter(lifecycle.departures_by_id))]
    lifecycle.departures_by_id[instance_id] = departure
    if is_current:
        lifecycle.state = TargetState.GONE
    return is_current


def apply_health_response(
    lifecycle: TargetLifecycle,
    instance_id: str,
    is_healthy: bool,
    cold_duration: timedelta | None,
    now: float,
) -> bool:
    """Apply a health response, and return whether it comes from another incarnation."""
    if lifecycle.instance_id and instance_id and instance_id != lifecycle.instance_id:
        mark_suspected(lifecycle)
        return True
    if cold_duration is not None:
        lifecycle.cold_until = now + cold_duration.total_seconds()
        lifecycle.is_suspected = False
    elif is_healthy:
        lifecycle.is_suspected = False
    departure = lifecycle.departures_by_id.get(instance_id)
    if departure is not None and (departure.expires_at is None or now < departure.expires_at):
        return False
    if lifecycle.state is TargetState.STARTING and is_healthy and instance_id:
        # This daemon has restarted while its target kept serving requests.
        lifecycle.instance_id = instance_id
        lifecycle.state = TargetState.READY
    return False


def mark_suspected(lifecycle: TargetLifecycle) -> None:
    """Mark the target as possibly restarted."""
    lifecycle.is_suspected = True


def mark_leaving(lifecycle: TargetLifecycle, instance_id: str) -> bool:
    """Mark the target as leaving, and return whether that is new.

    `instance_id` is the one that the response names, or empty; a later heartbeat of the same
    incarnation does not bring the target back.
    """
    if lifecycle.state in (TargetState.DRAINING, TargetState.GONE):
        return False
    lifecycle.instance_id = lifecycle.instance_id or instance_id
    lifecycle.state = TargetState.DRAINING
    return True


def is_cold(lifecycle: TargetLifecycle, now: float) -> bool:
    """Return whether the target must get only a limited rate of requests."""
    return lifecycle.is_suspected or now < lifecycle.cold_until


def is_departed(lifecycle: TargetLifecycle, heartbeat: Heartbeat, now: float) -> bool:
    """Return whether the sender of a heartbeat is known to have left."""
    departure = lifecycle.departures_by_id.get(heartbeat.instance_id)
    if departure is None:
        return False
    if departure.expires_at is not None:
        return now < departure.expires_at
    return departure.start_time_ms is None or heartbeat.start_time_ms in (
        None,
        departure.start_time_ms,
    )


def _is_same_incarnation(lifecycle: TargetLifecycle, heartbeat: Heartbeat) -> bool:
    if heartbeat.instance_id != lifecycle.instance_id:
        return False
    return (
        lifecycle.start_time_ms is None
        or heartbeat.start_time_ms is None
        or heartbeat.start_time_ms == lifecycle.start_time_ms
    )


def _apply_later_heartbeat(
    lifecycle: TargetLifecycle, heartbeat: Heartbeat, now: float
) -> HeartbeatResult:
    if heartbeat.sequence <= lifecycle.sequence:
        return HeartbeatResult.STALE
    before = (lifecycle.version, lifecycle.slots, lifecycle.state)
    _copy_heartbeat_fields(lifecycle, heartbeat, now)
    if heartbeat.is_draining:
        lifecycle.state = TargetState.DRAINING
    elif lifecycle.state is TargetState.STARTING:
        lifecycle.state = TargetState.READY
    is_changed = before != (lifecycle.version, lifecycle.slots, lifecycle.state)
    return HeartbeatResult.CHANGED if is_changed else HeartbeatResult.UNCHANGED


def _apply_first_heartbeat(
    lifecycle: TargetLifecycle, heartbeat: Heartbeat, now: float
) -> HeartbeatResult:
    lifecycle.instance_id = heartbeat.instance_id
    lifecycle.start_time_ms = None
    lifecycle.is_suspected = True
    lifecycle.cold_until = 0.0
    lifecycle.state = TargetState.DRAINING if heartbeat.is_draining else TargetState.READY
    _copy_heartbeat_fields(lifecycle, heartbeat, now)
    return HeartbeatResult.REPLACED


def _copy_heartbeat_fields(lifecycle: TargetLifecycle, heartbeat: Heartbeat, now: float) -> None:
    lifecycle.start_time_ms = (
        heartbeat.start_time_ms if heartbeat.start_time_ms is not None else lifecycle.start_time_ms
    )
    lifecycle.sequence = heartbeat.sequence
    lifecycle.version = heartbeat.version
    lifecycle.slots = heartbeat.slots
    lifecycle.last_heartbeat_at = now
    lifecycle.cold_until = max(lifecycle.cold_until, now + heartbeat.cold_duration.total_seconds())
