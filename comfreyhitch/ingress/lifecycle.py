"""Life of the target beside this daemon, as heartbeats and health responses tell it."""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

# For how long a departure counts whose incarnation was never seen before it.
UNKNOWN_DEPARTURE_SECONDS = 30.0
MAX_DEPARTURES = 64


class TargetState(Enum):
    """Name where in its life a target is."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class HeartbeatResult(Enum):
    """Say what a heartbeat changed."""

    STALE = "stale"
    UNCHANGED = "unchanged"
    CHANGED = "changed"
    REPLACED = "replaced"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """Hold what a target says of itself; `born_ms` is the time of its start, if it tells."""

    instance_id: str
    service: str
    version: str
    slots: int
    is_draining: bool
    sequence: int
    born_ms: int | None = None
    cold_for: timedelta = timedelta(0)


@dataclass(frozen=True, slots=True)
class Departure:
    """Hold which incarnation left; `until` is monotonic seconds, None for always."""

    born_ms: int | None
    until: float | None


@dataclass(slots=True)
class TargetLife:
    """Hold what is known of the target; times are monotonic seconds.

    A suspected target may have restarted, so it counts as cold until its
    health path says otherwise.
    """

    instance_id: str = ""
    born_ms: int | None = None
    sequence: int = -1
    version: str = ""
    slots: int = 0
    state: TargetState = TargetState.STARTING
    cold_until: float = 0.0
    is_suspect: bool = True
    heard_at: float = 0.0
    departures_by_id: dict[str, Departure] = field(default_factory=dict)


def take_heartbeat(life: TargetLife, beat: Heartbeat, now: float) -> HeartbeatResult:
    """Take in a heartbeat, unless it is from before what is known already."""
    if _is_departed(life, beat, now):
        return HeartbeatResult.STALE
    if _is_same_incarnation(life, beat):
        return _take_later(life, beat, now)
    if life.born_ms is not None and beat.born_ms is not None and beat.born_ms < life.born_ms:
        return HeartbeatResult.STALE
    return _take_first(life, beat, now)


def take_departure(life: TargetLife, instance_id: str, now: float) -> bool:
    """Note that an incarnation leaves, and return whether it is the one beside this daemon."""
    is_known = instance_id == life.instance_id
    departure = (
        Departure(life.born_ms, None)
        if is_known
        else Departure(None, now + UNKNOWN_DEPARTURE_SECONDS)
    )
    while len(life.departures_by_id) >= MAX_DEPARTURES:
        del life.departures_by_id[next(iter(life.departures_by_id))]
    life.departures_by_id[instance_id] = departure
    if is_known:
        life.state = TargetState.GONE
    return is_known


def take_health(
    life: TargetLife, instance_id: str, is_healthy: bool, cold_for: timedelta | None, now: float
) -> bool:
    """Take in a health response, and return whether it shows another incarnation."""
    if life.instance_id and instance_id and instance_id != life.instance_id:
        suspect(life)
        return True
    if cold_for is not None:
        life.cold_until = now + cold_for.total_seconds()
        life.is_suspect = False
    elif is_healthy:
        life.is_suspect = False
    if life.state is TargetState.STARTING and is_healthy and instance_id:
        # This daemon has restarted beside a target that serves already.
        life.instance_id = instance_id
        life.state = TargetState.READY
    return False


def suspect(life: TargetLife) -> None:
    """Note that the target may have restarted."""
    life.is_suspect = True


def is_cold(life: TargetLife, now: float) -> bool:
    """Return whether the target may bear only a little load."""
    return life.is_suspect or now < life.cold_until


def _is_departed(life: TargetLife, beat: Heartbeat, now: float) -> bool:
    departure = life.departures_by_id.get(beat.instance_id)
    if departure is None:
        return False
    if departure.until is not None:
        return now < departure.until
    return departure.born_ms is None or beat.born_ms in (None, departure.born_ms)


def _is_same_incarnation(life: TargetLife, beat: Heartbeat) -> bool:
    if beat.instance_id != life.instance_id:
        return False
    return life.born_ms is None or beat.born_ms is None or beat.born_ms == life.born_ms


def _take_later(life: TargetLife, beat: Heartbeat, now: float) -> HeartbeatResult:
    if beat.sequence <= life.sequence:
        return HeartbeatResult.STALE
    before = (life.version, life.slots, life.state)
    _note(life, beat, now)
    if beat.is_draining:
        life.state = TargetState.DRAINING
    elif life.state is TargetState.STARTING:
        life.state = TargetState.READY
    is_changed = before != (life.version, life.slots, life.state)
    return HeartbeatResult.CHANGED if is_changed else HeartbeatResult.UNCHANGED


def _take_first(life: TargetLife, beat: Heartbeat, now: float) -> HeartbeatResult:
    life.instance_id = beat.instance_id
    life.born_ms = None
    life.is_suspect = True
    life.cold_until = 0.0
    life.state = TargetState.DRAINING if beat.is_draining else TargetState.READY
    _note(life, beat, now)
    return HeartbeatResult.REPLACED


def _note(life: TargetLife, beat: Heartbeat, now: float) -> None:
    life.born_ms = beat.born_ms if beat.born_ms is not None else life.born_ms
    life.sequence = beat.sequence
    life.version = beat.version
    life.slots = beat.slots
    life.heard_at = now
    life.cold_until = max(life.cold_until, now + beat.cold_for.total_seconds())
