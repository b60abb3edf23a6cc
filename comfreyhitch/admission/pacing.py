"""Hold requests back while the target's instance is slow.

The pace of an instance is how fast it works compared to usual. Instances share their hosts, so
their pace changes many times a second. A request that starts while the instance is slow takes
several times as long as usual. It is better held back, since the instance returns to its usual pace
a moment later, or sent to another instance, which may be at its usual pace now.
"""

from dataclasses import dataclass
from enum import Enum

# The pace may have changed again after this time, so an older reading is not used.
READING_LIFETIME_SECONDS = 0.02
POLL_INTERVAL_SECONDS = 0.02
SLOW_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class PaceReading:
    """Hold the pace of an instance, read at a time in monotonic seconds.

    `slowness` is how long work takes now, divided by how long it usually takes.
    """

    slowness: float
    read_at: float


class PaceDecision(Enum):
    """Name what to do with a request: read the pace first, run it, hold it back or refuse it."""

    READ = "read"
    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


def decide_by_pace(
    reading: PaceReading | None, now: float, waited_seconds: float, patience_seconds: float
) -> PaceDecision:
    """Decide what to do with a request by the latest reading and the time it has waited.

    While the instance stays slow, the request is refused once it has waited for
    `patience_seconds`, so that its egress can send it to another target.
    """
    if reading is None or now - reading.read_at > READING_LIFETIME_SECONDS:
        return PaceDecision.READ
    if reading.slowness < SLOW_FACTOR:
        return PaceDecision.RUN
    if waited_seconds >= patience_seconds:
        return PaceDecision.REFUSE
    return PaceDecision.WAIT
