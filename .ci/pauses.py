"""Detect pauses of the whole machine; scenarios that fail during one are run again."""

import threading
import time
from dataclasses import dataclass, field

TICK_SECONDS = 0.05
# A thread that only sleeps wakes up this late only if the whole machine was paused.
PAUSE_SECONDS = 1.0


@dataclass(frozen=True)
class Pause:
    """Hold the start and end of a pause in monotonic seconds."""

    started_at: float
    ended_at: float


@dataclass
class PauseDetector:
    """Hold the pauses that a background thread has detected."""

    pauses: list[Pause] = field(default_factory=list)

    def start(self) -> None:
        """Detect pauses in the background until the process ends."""
        threading.Thread(target=self._detect_pauses, daemon=True).start()

    def _detect_pauses(self) -> None:
        last_tick_at = time.monotonic()
        while True:
            time.sleep(TICK_SECONDS)
            now = time.monotonic()
            if now - last_tick_at > PAUSE_SECONDS:
                self.pauses.append(Pause(last_tick_at, now))
            last_tick_at = now

    def get_longest_pause_seconds(self, started_at: float, ended_at: float) -> float:
        """Return the length in seconds of the longest pause that overlaps a period, or 0."""
        return max(
            (
                pause.ended_at - pause.started_at
                for pause in self.pauses
                if pause.started_at < ended_at and pause.ended_at > started_at
            ),
            default=0.0,
        )
