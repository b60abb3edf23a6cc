"""Generate load: open loop at a given rate, or closed loop with one caller."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from comfreyhitch.testing.http_requests import (
    HTTP_PORT,
)

MAX_CONNECTIONS = 200
TIMEOUT_SECONDS = 15.0


@dataclass(slots=True)
class Sample:
    """Hold the latencies and statuses of responses, and how many requests failed without one."""

    latency_seconds: list[float] = field(default_factory=list)
    statuses: dict[int, int] = field(default_factory=dict)
    errors: int = 0


@dataclass(slots=True)
class Caller:
    """Hold a client with a pool of persistent connections to one address, and its sample."""

    client: HTTPClient
    headers: dict[str, str]
    sample: Sample

    @classmethod
    def from_address(cls, host: str, port: int, headers: dict[str, str]) -> "Caller":
        """Return a caller of one address with an empty sample."""
        client = HTTPClient(
            host, port, concurrency=MAX_CONNECTIONS, network_timeout=TIMEOUT_SECONDS
        )
        return cls(client, headers, Sample())


def make_service_caller(host: str, service: str) -> Caller:
    """Return a caller of a service through the daemon at a host."""
    return Caller.from_address(host, HTTP_PORT, {"Comfreyhitch-Service": service})


def send_request(caller: Caller, path: str = "/", due_at: float | None = None) -> None:
    """Send one request; its latency counts from when it was due, or else from now.

    A latency that counts from the due time includes the delay of a request that the open loop
    sends late.
    """
    started_at = time.monotonic() if due_at is None else due_at
    sample = caller.sample
    try:
        response = caller.client.request("GET", path, b"", caller.headers)
        response.read()
    except (OSError, HTTPParseError):
        sample.errors += 1
        return
    sample.latency_seconds.append(time.monotonic() - started_at)
    status = response.status_code
    sample.statuses[status] = sample.statuses.get(status, 0) + 1


def run_open_loop(
    choose_caller: Callable[[], Caller], rate: float, duration_seconds: float, seed: int
) -> None:
    """Send requests at a rate per second, without waiting for responses.

    The gaps between them are exponentially distributed.
    """
    random = Random(seed)
    due_at = time.monotonic()
    ends_at = due_at + duration_seconds
    pending = []
    while due_at < ends_at:
        due_at += random.expovariate(rate)
        gevent.sleep(max(0.0, due_at - time.monotonic()))
        pending.append(gevent.spawn(send_request, choose_caller(), "/", due_at))
    gevent.joinall(pending, timeout=TIMEOUT_SECONDS)


def run_closed_loop(caller: Caller, requests: int) -> None:
    """Send requests one after another, each when the previous one has ended."""
    for _ in range(requests):
        send_request(caller)
