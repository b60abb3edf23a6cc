"""Start, signal and await processes that tests run."""

import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import gevent

POLL_SECONDS = 0.02


def spawn(
    folder: Path, name: str, arguments: list[str], environment: dict[str, str]
) -> subprocess.Popen:
    """Start a process that logs into a folder."""
    inherited = {
        key: value for key, value in os.environ.items() if not key.startswith("COMFREYHITCH_")
    }
    path = folder / f"{name}.log"
    with path.open("ab") as log:
        return subprocess.Popen(
            [sys.executable, *arguments],
            env={**inherited, **environment},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )


def wait_until(condition: Callable[[], bool], timeout_seconds: float, description: str) -> float:
    """Wait for a condition, and return the seconds it took; raise `TimeoutError` if too many."""
    started_at = time.monotonic()
    while True:
        with suppress(OSError):
            if condition():
                return time.monotonic() - started_at
        if time.monotonic() - started_at > timeout_seconds:
            raise TimeoutError(f"{description}: not within {timeout_seconds} s")
        gevent.sleep(POLL_SECONDS)


def kill(process: subprocess.Popen | None) -> None:
    """End a process at once."""
    if process is not None and process.poll() is None:
        process.kill()
        process.wait()


def suspend(process: subprocess.Popen) -> None:
    """Stop a process without ending it."""
    process.send_signal(signal.SIGSTOP)


def resume(process: subprocess.Popen) -> None:
    """Let a frozen process go on."""
    process.send_signal(signal.SIGCONT)


def stop_gracefully(process: subprocess.Popen) -> None:
    """Ask a process to stop, without waiting for it."""
    process.send_signal(signal.SIGTERM)


def wait_for_exit(process: subprocess.Popen, timeout_seconds: float) -> None:
    """Wait until a process has ended, while callers go on; raise `TimeoutError` if it has not."""
    wait_until(lambda: not is_running(process), timeout_seconds, "end of a process")


def is_running(process: subprocess.Popen | None) -> bool:
    """Return whether a process was started and has not ended."""
    return process is not None and process.poll() is None
