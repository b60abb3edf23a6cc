"""Serve the address of the usage duty for the stand-in of the platform, and record its calls."""

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from comfreyhitch.platform.names import HEADER_DUTY_HOLDER, HEADER_FENCING_TOKEN

MAX_CALLS = 10_000


@dataclass(slots=True)
class DutyFaults:
    """Hold the injected faults of the duty's address, which can be changed while it runs."""

    duty_is_down: bool = False
    duty_delay_seconds: float = 0.0
    duty_lost_answers: int = 0
    duty_calls_per_second: int = 50


@dataclass(slots=True)
class DutyState:
    """Hold the calls that were taken, with the time of day at which each arrived."""

    faults: DutyFaults = field(default_factory=DutyFaults)
    calls: list[dict[str, object]] = field(default_factory=list)
    recent: deque[float] = field(default_factory=deque)


def handle_usage_call(
    state: DutyState, environ: dict[str, object], start_response: Callable[..., object]
) -> list[bytes]:
    """Take one report, or refuse it; a lost answer ends the connection after it was taken."""
    body = environ["wsgi.input"].read()
    faults = state.faults
    now = time.time()
    if faults.duty_is_down:
        start_response("503 Service Unavailable", [])
        return [b""]
    while state.recent and state.recent[0] <= now - 1.0:
        state.recent.popleft()
    if len(state.recent) >= faults.duty_calls_per_second:
        start_response("429 Too Many Requests", [])
        return [b""]
    state.recent.append(now)
    if len(state.calls) < MAX_CALLS:
        state.calls.append(
            {
                "at": now,
                "holder": environ[_get_key(HEADER_DUTY_HOLDER)],
                "token": int(environ[_get_key(HEADER_FENCING_TOKEN)]),
                "body": body.decode(),
            }
        )
    gevent.sleep(faults.duty_delay_seconds)
    if faults.duty_lost_answers > 0:
        faults.duty_lost_answers -= 1
        raise ConnectionAbortedError("injected fault: the response is dropped")
    start_response("200 OK", [])
    return [b""]


def _get_key(header: str) -> str:
    return "HTTP_" + header.upper().replace("-", "_")
