"""Generate steady traffic, and record the result of each call."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import gevent
from geventhttpclient.response import HTTPParseError

from comfreyhitch.testing.fleet import (
    Instance,
    call_service,
)


@dataclass(frozen=True, slots=True)
class CallResult:
    """Hold the result of one call; times are monotonic seconds.

    Without a response, `status` is 0 and `refusal` holds the error.
    """

    started_at: float
    ended_at: float
    status: int
    verdict: str
    host: str
    version: str
    refusal: str = ""


@dataclass(slots=True)
class Traffic:
    """Hold running callers and the results of their calls."""

    entry_instances: list[Instance]
    service: str
    random: Random
    options: dict = field(default_factory=dict)
    # Pause between two requests of a caller; a negative pause ends the callers.
    pause_seconds: float = 0.01
    results: list[CallResult] = field(default_factory=list)
    callers: list[gevent.Greenlet] = field(default_factory=list)


def start_traffic(traffic: Traffic, caller_count: int) -> None:
    """Start callers that each send one request after the other."""
    traffic.callers = [gevent.spawn(_call_forever, traffic) for _ in range(caller_count)]


def stop_traffic(traffic: Traffic) -> None:
    """Stop the callers after their current requests."""
    traffic.pause_seconds = -1.0
    gevent.joinall(traffic.callers, timeout=20.0)


def run_traffic(traffic: Traffic, caller_count: int, seconds: float) -> None:
    """Run callers for a number of seconds, then stop them."""
    start_traffic(traffic, caller_count)
    gevent.sleep(seconds)
    stop_traffic(traffic)


def select_results(traffic: Traffic, condition: Callable[[CallResult], bool]) -> list[CallResult]:
    """Return the results that meet a condition."""
    return [item for item in traffic.results if condition(item)]


def send_request(traffic: Traffic) -> CallResult:
    """Send one request, and record its result."""
    entry_instance = traffic.random.choice(traffic.entry_instances)
    started_at = time.monotonic()
    try:
        response = call_service(entry_instance, traffic.service, **traffic.options)
    except (OSError, HTTPParseError) as error:
        result = CallResult(started_at, time.monotonic(), 0, "no answer", "", "", str(error))
    else:
        content = response.json if response.status == 200 else {}
        result = CallResult(
            started_at,
            time.monotonic(),
            response.status,
            response.verdict,
            content.get("host", ""),
            content.get("version", ""),
            response.refusal,
        )
    traffic.results.append(result)
    return result


def _call_forever(traffic: Traffic) -> None:
    while traffic.pause_seconds >= 0:
        send_request(traffic)
        gevent.sleep(max(0.0, traffic.pause_seconds))
