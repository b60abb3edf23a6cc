"""Keep requests away from an instance that is slow just now.

Instances share their hosts, so their pace changes many times a second. A
request that starts in a slow moment takes several times as long, while the
same target is at its usual pace a moment later, and others are at theirs now.
"""

from dataclasses import dataclass
from enum import Enum

# A reading tells little once the pace may have changed again.
READING_LIFETIME_SECONDS = 0.02
POLL_SECONDS = 0.02
SLOW_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class PaceReading:
    """Hold how many times as long as usual work took, at a monotonic time."""

    slowness: float
    read_at: float


class PaceDecision(Enum):
    """Say what a request does in view of the pace."""

    READ = "read"
    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


def decide_by_pace(
    reading: PaceReading | None, now: float, waited_seconds: float, patience_seconds: float
) -> PaceDecision:
    """Return whether a request runs now, or waits, or had better go elsewhere."""
    if reading is None or now - reading.read_at > READING_LIFETIME_SECONDS:
        return PaceDecision.READ
    if reading.slowness < SLOW_FACTOR:
        return PaceDecision.RUN
    if waited_seconds >= patience_seconds:
        return PaceDecision.REFUSE
    return PaceDecision.WAIT
