"""Handle signals before a daemon has servers, and after they are closed."""

import os
import signal
from types import FrameType

EXIT_STOPPED = 0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def handle_early_signals() -> None:
    """Exit at once on SIGTERM and SIGINT, and ignore SIGHUP, until a daemon handles them.

    A process calls this before its other imports, which take most of its start: by default, each
    of these signals ends a process, SIGHUP too. The settings are read after the signal or watched.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in STOP_SIGNALS:
        signal.signal(number, _exit)


def ignore_signals() -> None:
    """Ignore further signals, since the process ends by itself."""
    for number in (signal.SIGHUP, *STOP_SIGNALS):
        signal.signal(number, signal.SIG_IGN)


def _exit(number: int, frame: FrameType | None) -> None:
    # Nothing is served or announced yet. The interrupted code could catch an exception.
    os._exit(EXIT_STOPPED)
