"""Clock interface that is passed to every part that needs the time."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime


@dataclass(frozen=True, slots=True)
class Clock:
    """Read the time; `monotonic` counts seconds, as `time.monotonic` does."""

    monotonic: Callable[[], float]
    now: Callable[[], datetime]

    @classmethod
    def from_system(cls) -> "Clock":
        """Return the clock of this instance."""
        return cls(monotonic=time.monotonic, now=lambda: datetime.now(UTC))
