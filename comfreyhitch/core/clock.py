"""Clock interface that is passed to every part that needs the time."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime

# Largest correction of the time of day, as a fraction of the elapsed time.
MAX_SLEW_RATIO = 0.01


@dataclass(frozen=True, slots=True)
class Clock:
    """Provide the time of day, and monotonic seconds as `time.monotonic` does."""

    monotonic: Callable[[], float]
    now: Callable[[], datetime]

    @classmethod
    def from_system(cls) -> "Clock":
        """Return the system clock of this instance, whose time of day is slewed, never stepped."""
        return cls(monotonic=time.monotonic, now=make_slewed_now(time.monotonic, time.time))


def make_slewed_now(
    monotonic: Callable[[], float], wall: Callable[[], float]
) -> Callable[[], datetime]:
    """Return a function that reads the time of day and slews it when the wall clock steps."""
    read_at = monotonic()
    offset = wall() - read_at

    def now() -> datetime:
        nonlocal read_at, offset
        current = monotonic()
        bound = (current - read_at) * MAX_SLEW_RATIO
        error = wall() - current - offset
        offset += min(max(error, -bound), bound)
        read_at = current
        return datetime.fromtimestamp(current + offset, UTC)

    return now
