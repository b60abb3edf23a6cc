"""Hold the first heartbeat that a new process gets until the target's health path confirms it.

A heartbeat may arrive seconds late. Departures are known only to the process that was told of them,
so a process that has started since can't tell a late heartbeat of a target that has left from the
first one of a new target. The health path can: a target that has left does not answer 200.
"""

from dataclasses import dataclass
from enum import Enum

from comfreyhitch.ingress.lifecycle import Heartbeat, TargetLifecycle, is_departed

# A target that keeps sending heartbeats for this long has not left, whatever its health path says:
# late ones arrive within seconds, and a target that has left sends no more.
PERSISTENCE_SECONDS = 10.0
# A held heartbeat is dropped if no further one arrives within this time.
HOLD_SECONDS = 10.0


class Confirmation(Enum):
    """Name what a health response says about a held heartbeat."""

    OPEN = "open"
    CONFIRMED = "confirmed"
    CONTRADICTED = "contradicted"


@dataclass(frozen=True, slots=True)
class HeldHeartbeat:
    """Hold the latest unconfirmed heartbeat of an incarnation; times are monotonic seconds."""

    heartbeat: Heartbeat
    held_since: float
    renewed_at: float


def needs_confirmation(lifecycle: TargetLifecycle, heartbeat: Heartbeat, now: float) -> bool:
    """Return whether nothing that this process knows shows that the sender has not left."""
    if is_departed(lifecycle, heartbeat, now):
        return False
    if not lifecycle.instance_id:
        # That a target is leaving is believed at once.
        return not heartbeat.is_draining
    if heartbeat.instance_id == lifecycle.instance_id:
        return False
    # Once a start time was confirmed, an incarnation that has started earlier is refused.
    return lifecycle.start_time_ms is None or heartbeat.start_time_ms is None


def hold_heartbeat(held: HeldHeartbeat | None, heartbeat: Heartbeat, now: float) -> HeldHeartbeat:
    """Return the held heartbeat after another one has arrived."""
    if held is None or has_expired(held, now) or not _is_same_sender(held.heartbeat, heartbeat):
        return HeldHeartbeat(heartbeat, now, now)
    if heartbeat.sequence <= held.heartbeat.sequence:
        return held
    return HeldHeartbeat(heartbeat, held.held_since, now)


def is_persistent(held: HeldHeartbeat) -> bool:
    """Return whether its sender has sent heartbeats for so long that it can't have left."""
    return held.renewed_at - held.held_since >= PERSISTENCE_SECONDS


def has_expired(held: HeldHeartbeat, now: float) -> bool:
    """Return whether no further heartbeat has arrived for too long."""
    return now - held.renewed_at > HOLD_SECONDS


def confirm(held: HeldHeartbeat, instance_id: str, is_healthy: bool) -> Confirmation:
    """Return what a health response of an instance says about a held heartbeat."""
    if instance_id != held.heartbeat.instance_id:
        return Confirmation.CONTRADICTED
    return Confirmation.CONFIRMED if is_healthy else Confirmation.OPEN


def _is_same_sender(known: Heartbeat, heartbeat: Heartbeat) -> bool:
    return (known.instance_id, known.start_time_ms) == (
        heartbeat.instance_id,
        heartbeat.start_time_ms,
    )
