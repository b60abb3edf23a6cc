"""Run a stand-in for a target, with slots, cold start, drain and faults."""

import argparse
import json
import os
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer
from geventhttpclient import HTTPClient

from comfreyhitch.core.clock import Clock
from comfreyhitch.wire.sockets import configure_socket

OVERLOAD_EXIT_CODE = 7
CRASH_EXIT_CODE = 9
SOCKET_ENVIRON_KEY = "standin.socket"
StartResponse = Callable[[str, list[tuple[str, str]]], object]


@dataclass(slots=True)
class Faults:
    """Hold the injected faults of a target, which can be changed while it runs."""

    slow_factor: float = 1.0
    slow_until: float = 0.0
    failure_share: float = 0.0
    failing_path: str = "/"
    slow_above_in_flight: int = 0
    crash_body: str = ""
    dies_in_overload: bool = False


@dataclass(slots=True)
class TargetState:
    """Hold the state of a stand-in target."""

    host: str
    service: str
    version: str
    slots: int
    service_seconds: float
    is_service_time_random: bool
    warm_up_seconds: float
    cold_slots: int
    clock: Clock
    random: Random
    started_at: float
    in_flight: int = 0
    max_in_flight: int = 0
    max_cold_in_flight: int = 0
    overloads: int = 0
    health_reads: int = 0
    run_log: int | None = None
    requests: int = 0
    is_draining: bool = False
    faults: Faults = field(default_factory=Faults)


class QuietHandler(WSGIHandler):
    """Handle a connection with Nagle's algorithm disabled, and without request logs."""

    def __init__(self, sock: object, address: object, server: object) -> None:
        configure_socket(sock)
        super().__init__(sock, address, server)

    def get_environ(self) -> dict[str, object]:
        """Return the WSGI environment, with the caller's socket added."""
        return {**super().get_environ(), SOCKET_ENVIRON_KEY: self.socket}

    def log_request(self) -> None:
        """Suppress the log line of a request."""


def make_application(
    state: TargetState,
) -> Callable[[dict[str, object], StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the target."""

    def application(environ: dict[str, object], start_response: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == "/healthz":
            state.health_reads += 1
            return _reply(start_response, "200 OK", b"ok\n")
        if path == "/_standin/state":
            return _reply(start_response, "200 OK", _encode_state(state))
        if path == "/_standin/faults":
            _change_faults(state, environ)
            return _reply(start_response, "200 OK", b"{}")
        return _serve_request(state, environ, start_response)

    return application


def _serve_request(
    state: TargetState, environ: dict[str, object], start_response: StartResponse
) -> Iterable[bytes]:
    body = environ["wsgi.input"].read()
    if state.faults.crash_body and state.faults.crash_body.encode() in body:
        os._exit(CRASH_EXIT_CODE)
    state.requests += 1
    run_id = environ.get("HTTP_X_RUN_ID")
    if run_id is not None and state.run_log is not None:
        # Each run is logged with one write call, so that a killed target loses no line.
        os.write(state.run_log, f"{run_id}\n".encode())
    state.in_flight += 1
    try:
        _record_load(state)
        gevent.sleep(_get_service_seconds(state))
        if _is_failing(state, environ["PATH_INFO"]):
            return _reply(start_response, "500 Internal Server Error", b"stand-in failure\n")
    finally:
        state.in_flight -= 1
    return _respond(state, environ, body, start_response)


def _record_load(state: TargetState) -> None:
    state.max_in_flight = max(state.max_in_flight, state.in_flight)
    if _is_cold(state):
        state.max_cold_in_flight = max(state.max_cold_in_flight, state.in_flight)
    if state.in_flight > 2 * _get_capacity(state):
        state.overloads += 1
        if state.faults.dies_in_overload:
            os._exit(OVERLOAD_EXIT_CODE)


def _get_service_seconds(state: TargetState) -> float:
    seconds = state.service_seconds
    if state.is_service_time_random:
        seconds *= state.random.expovariate(1.0)
    overload_ratio = state.in_flight / _get_capacity(state)
    if overload_ratio > 1.0:
        seconds *= overload_ratio * overload_ratio
    if state.clock.monotonic() < state.faults.slow_until:
        seconds *= state.faults.slow_factor
    threshold = state.faults.slow_above_in_flight
    if threshold and state.in_flight > threshold:
        seconds *= state.faults.slow_factor
    return seconds


def _get_capacity(state: TargetState) -> int:
    return state.cold_slots if _is_cold(state) else state.slots


def _is_cold(state: TargetState) -> bool:
    return state.clock.monotonic() - state.started_at < state.warm_up_seconds


def _is_failing(state: TargetState, path: str) -> bool:
    faults = state.faults
    return path.startswith(faults.failing_path) and state.random.random() < faults.failure_share


def _respond(
    state: TargetState, environ: dict[str, object], body: bytes, start_response: StartResponse
) -> Iterable[bytes]:
    if environ["PATH_INFO"] == "/chunked":
        start_response("200 OK", [("Content-Type", "text/plain")])
        return (part for part in (b"one ", b"two ", b"three"))
    if environ["PATH_INFO"].startswith("/status/"):
        code = environ["PATH_INFO"].rpartition("/")[2]
        headers = [("X-Two", "a"), ("X-Two", "b")]
        start_response(f"{code} Stand-in", headers)
        return []
    content = {
        "service": state.service,
        "version": state.version,
        "host": state.host,
        "method": environ["REQUEST_METHOD"],
        "path": environ["PATH_INFO"],
        "query": environ["QUERY_STRING"],
        "body": body.decode("latin-1"),
        "headers": {key: value for key, value in environ.items() if key.startswith("HTTP_")},
    }
    return _reply(start_response, "200 OK", json.dumps(content).encode())


def _reply(start_response: StartResponse, status: str, body: bytes) -> list[bytes]:
    start_response(status, [("Content-Type", "application/json")])
    return [body]


def _encode_state(state: TargetState) -> bytes:
    return json.dumps(
        {
            "requests": state.requests,
            "in_flight": state.in_flight,
            "max_in_flight": state.max_in_flight,
            "max_cold_in_flight": state.max_cold_in_flight,
            "overloads": state.overloads,
            "health_reads": state.health_reads,
            "version": state.version,
        }
    ).encode()


def _change_faults(state: TargetState, environ: dict[str, object]) -> None:
    changes = json.loads(environ["wsgi.input"].read() or b"{}")
    now = state.clock.monotonic()
    if changes.pop("turn_cold", False):
        state.started_at = now
        state.max_cold_in_flight = 0
    state.is_draining = changes.pop("is_draining", state.is_draining)
    if "slow_seconds" in changes:
        state.faults.slow_until = now + changes.pop("slow_seconds")
    for name, value in changes.items():
        setattr(state.faults, name, value)


def announce(admin_address: str, state: TargetState, port: int, *, draining: bool = False) -> bool:
    """Announce the target to its daemon; return whether the daemon accepted the announcement."""
    host, _, admin_port = admin_address.partition(":")
    client = HTTPClient(host, int(admin_port), concurrency=1, connection_timeout=1.0)
    content = {
        "service": state.service,
        "version": state.version,
        "port": port,
        "slots": state.slots,
        "incarnation": f"{os.getpid()}-{state.started_at}",
        "draining": draining or state.is_draining,
    }
    try:
        response = client.request("PUT", "/v1/announcement", json.dumps(content).encode())
        return response.status_code == 200
    except OSError:
        return False
    finally:
        client.close()


def _keep_announcing(admin_address: str, state: TargetState, port: int) -> None:
    while True:
        announced = announce(admin_address, state, port)
        gevent.sleep(0.5 if announced else 0.1)


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Stand-in for a target")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--admin", help="admin address of the daemon to announce to")
    parser.add_argument("--service", default="catalogue")
    parser.add_argument("--version", default="v1")
    parser.add_argument("--slots", type=int, default=10)
    parser.add_argument("--service-ms", type=float, default=5.0)
    parser.add_argument("--random-service-time", action="store_true")
    parser.add_argument("--warm-up-seconds", type=float, default=0.0)
    parser.add_argument("--cold-slots", type=int, default=2)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--run-log", help="file to append each X-Run-Id to")
    parser.add_argument("--faults", default="{}", help="initial faults, as JSON")
    return parser.parse_args()


def main() -> int:
    """Run the stand-in target until the process is killed."""
    arguments = _parse_arguments()
    clock = Clock.from_system()
    state = TargetState(
        host=arguments.host,
        service=arguments.service,
        version=arguments.version,
        slots=arguments.slots,
        service_seconds=arguments.service_ms / 1000,
        is_service_time_random=arguments.random_service_time,
        warm_up_seconds=arguments.warm_up_seconds,
        cold_slots=arguments.cold_slots,
        clock=clock,
        random=Random(arguments.seed),
        started_at=clock.monotonic(),
    )
    if arguments.run_log:
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        state.run_log = os.open(arguments.run_log, flags, 0o600)
    for name, value in json.loads(arguments.faults).items():
        setattr(state.faults, name, value)
    server = WSGIServer(
        (arguments.host, arguments.port),
        make_application(state),
        handler_class=QuietHandler,
        log=None,
        backlog=512,
    )
    server.start()
    if arguments.admin:
        gevent.spawn(_keep_announcing, arguments.admin, state, arguments.port)
    server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
