"""Run a platform daemon whose wall clock is offset by the seconds in a file."""

import sys
import time
from pathlib import Path

from comfreyhitch.platform.__main__ import main

OFFSET_REREAD_SECONDS = 0.05


def step_clock(path: Path) -> None:
    """Offset `time.time` by the seconds in a file, and follow changes of the file."""
    read_time = time.time
    offset_seconds = 0.0
    read_at = -OFFSET_REREAD_SECONDS

    def read_stepped_time() -> float:
        nonlocal offset_seconds, read_at
        now = time.monotonic()
        if now - read_at >= OFFSET_REREAD_SECONDS:
            read_at = now
            offset_seconds = float(path.read_text() or 0.0) if path.exists() else 0.0
        return read_time() + offset_seconds

    time.time = read_stepped_time


if __name__ == "__main__":
    step_clock(Path(sys.argv[1]))
    sys.exit(main())
