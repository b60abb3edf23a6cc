"""Start, signal and wait for the processes of a test."""

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
NANOSECONDS_PER_SECOND = 1_000_000_000
# Processor time that the interpreter needs at most before it runs a program's own code.
INTERPRETER_START_SECONDS = 0.1


def spawn(
    folder: Path, name: str, arguments: list[str], environment: dict[str, str]
) -> subprocess.Popen:
    """Start a Python process whose output goes to a log file in a folder."""
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
    """Wait until a condition holds, and return the seconds it took.

    An `OSError` means that the condition does not hold yet. After the timeout, raise
    `TimeoutError` with the description.
    """
    started_at = time.monotonic()
    while True:
        with suppress(OSError):
            if condition():
                return time.monotonic() - started_at
        if time.monotonic() - started_at > timeout_seconds:
            raise TimeoutError(f"{description}: timed out after {timeout_seconds} s")
        gevent.sleep(POLL_SECONDS)


def kill(process: subprocess.Popen | None) -> None:
    """Kill a process that is still running, and wait for its exit."""
    if process is not None and process.poll() is None:
        process.kill()
        process.wait()


def suspend(process: subprocess.Popen) -> None:
    """Suspend a process with SIGSTOP."""
    process.send_signal(signal.SIGSTOP)


def resume(process: subprocess.Popen) -> None:
    """Resume a suspended process."""
    process.send_signal(signal.SIGCONT)


def stop_gracefully(process: subprocess.Popen) -> None:
    """Send SIGTERM to a process, without waiting for its exit."""
    process.send_signal(signal.SIGTERM)


def wait_for_exit(process: subprocess.Popen, timeout_seconds: float) -> None:
    """Wait for a process's exit while other greenlets run; raise `TimeoutError` if it is late."""
    wait_until(lambda: not is_running(process), timeout_seconds, "exit of a process")


def get_processor_seconds(process: subprocess.Popen) -> float:
    """Return the processor time that a running process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def is_running(process: subprocess.Popen | None) -> bool:
    """Return whether a process was started and has not exited."""
    return process is not None and process.poll() is None


def read_processor_wait(process: subprocess.Popen) -> float:
    """Return the seconds for which a process was ready to run, but had no processor.

    Return 0 if the process has ended.
    """
    try:
        _, waited_nanoseconds, _ = Path(f"/proc/{process.pid}/schedstat").read_text().split()
    except (OSError, ValueError):
        return 0.0
    return int(waited_nanoseconds) / NANOSECONDS_PER_SECOND
