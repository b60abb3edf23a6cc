"""Hold requests back while the target's instance is slow.

The pace of an instance is how fast it works compared to usual. Instances share their hosts, so
their pace changes many times a second. A request that starts while the instance is slow takes
several times as long, although the instance is back at its usual pace a moment later, and other
instances are at theirs in the meantime.
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

    `slowness` is how many times as long as usual work takes.
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
    """Decide on a request from the latest reading and how long the request was held back.

    It is refused once it has waited for `patience_seconds`, so that its egress can send it to
    another target.
    """
    if reading is None or now - reading.read_at > READING_LIFETIME_SECONDS:
        return PaceDecision.READ
    if reading.slowness < SLOW_FACTOR:
        return PaceDecision.RUN
    if waited_seconds >= patience_seconds:
        return PaceDecision.REFUSE
    return PaceDecision.WAIT
