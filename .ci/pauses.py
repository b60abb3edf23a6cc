"""Notice when the whole machine stood still, which no scenario can be judged by."""

import threading
import time
from dataclasses import dataclass, field

TICK_SECONDS = 0.05
# A thread that only sleeps is this late on no machine that runs.
PAUSE_SECONDS = 1.0


@dataclass(frozen=True)
class Pause:
    """Hold from when until when nothing ran, in monotonic seconds."""

    started_at: float
    ended_at: float


@dataclass
class PauseDetector:
    """Hold the pauses that a thread has noticed."""

    pauses: list[Pause] = field(default_factory=list)

    def start(self) -> None:
        """Watch in the background until the process ends."""
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
        """Return the seconds of the longest pause within a time, 0 if there was none."""
        return max(
            (
                pause.ended_at - pause.started_at
                for pause in self.pauses
                if pause.started_at < ended_at and pause.ended_at > started_at
            ),
            default=0.0,
        )
