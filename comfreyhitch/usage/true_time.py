"""Estimate the true time of day although the wall clock jumps, and number usage windows."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median

# Readings are taken once a second, so a jump of the wall clock of less than half a minute has no
# effect.
READING_COUNT = 60


@dataclass(slots=True)
class TrueTime:
    """Hold readings of the offset between a clock that counts suspended time and the wall clock.

    `read_boot` and `read_wall` return seconds; the former is never set.
    """

    read_boot: Callable[[], float]
    read_wall: Callable[[], float]
    offsets: deque[float] = field(default_factory=lambda: deque(maxlen=READING_COUNT))
    offset: float = 0.0

    @classmethod
    def from_clocks(
        cls, read_boot: Callable[[], float], read_wall: Callable[[], float]
    ) -> "TrueTime":
        """Return an estimate that rests on one reading."""
        true_time = cls(read_boot, read_wall)
        take_reading(true_time)
        return true_time

    def now(self) -> float:
        """Return the estimated seconds since the start of 1970."""
        return self.read_boot() + self.offset


def take_reading(true_time: TrueTime) -> None:
    """Compare the two clocks, and set the offset to the median of the latest readings."""
    true_time.offsets.append(true_time.read_wall() - true_time.read_boot())
    true_time.offset = median(true_time.offsets)


def get_window(seconds: float, window_seconds: float) -> int:
    """Return the number of the window that a time lies in."""
    return int(seconds // window_seconds)


def get_window_end(window: int, window_seconds: float) -> float:
    """Return the time at which a window ends, in seconds since the start of 1970."""
    return (window + 1) * window_seconds
