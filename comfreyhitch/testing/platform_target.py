"""Run a stand-in for a platform target, with heartbeats, a queue, cold start and faults."""

import argparse
import hashlib
import json
import os
import signal
import sys
import time
from collections.abc import Callable, Iterable
from random import Random
from urllib.parse import parse_qs

import gevent
from gevent.lock import BoundedSemaphore
from gevent.pywsgi import WSGIServer

from comfreyhitch.platform.names import HEADER_REQUEST_ID, PLATFORM_TARGET_HEADERS
from comfreyhitch.testing.endless_answers import send_without_end
from comfreyhitch.testing.target import SOCKET_ENVIRON_KEY, QuietHandler
from comfreyhitch.testing.target_heartbeats import drain_and_exit, send_heartbeats
from comfreyhitch.testing.target_models import USUAL_PACE_PERCENT, PlatformTarget

HEALTH_PATH = "/health"
# Paths that end so are answered with the digest of the request's body, or with padding alone.
DIGEST_PATH_END = "/digest"
PADDING_PATH_END = "/padding"
# Paths that end so get a response without end, of the form that the query names.
ENDLESS_PATH_END = "/endless"
CRASH_EXIT_CODE = 9
OVERLOAD_EXIT_CODE = 7

StartResponse = Callable[[str, list[tuple[str, str]]], object]


def make_application(
    target: PlatformTarget,
) -> Callable[[dict[str, object], StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the target."""

    def application(environ: dict[str, object], start_response: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == HEALTH_PATH:
            return _serve_health(target, start_response)
        if path == "/_standin/faults":
            for name, value in json.loads(environ["wsgi.input"].read()).items():
                setattr(target.faults, name, value)
            return _reply(start_response, "200 OK", [], b"{}")
        return _serve_request(target, environ, start_response)

    return application


def _serve_request(
    target: PlatformTarget, environ: dict[str, object], start_response: StartResponse
) -> Iterable[bytes]:
    values = {key[5:].replace("_", "-").lower(): value for key, value in environ.items()}
    request_id = values.get(HEADER_REQUEST_ID.lower(), "")
    expected = values.get(PLATFORM_TARGET_HEADERS.expected_instance.lower(), target.instance_id)
    headers = [(HEADER_REQUEST_ID, request_id), *_make_notices(target)]
    if expected != target.instance_id:
        headers.append((PLATFORM_TARGET_HEADERS.instance, target.instance_id))
        return _reply(start_response, "421 Misdirected Request", headers, b"")
    if not request_id or target.waiting >= 2 * target.slots:
        headers.append((PLATFORM_TARGET_HEADERS.not_run, "1"))
        return _reply(start_response, "503 Service Unavailable", headers, b"")
    _exit_if_overloaded_while_cold(target)
    body = environ["wsgi.input"].read()
    target.waiting += 1
    with target.slot_semaphore:
        target.waiting -= 1
        target.running += 1
        try:
            return _execute_request(target, environ, start_response, request_id, body)
        finally:
            target.running -= 1


def _execute_request(
    target: PlatformTarget,
    environ: dict[str, object],
    start_response: StartResponse,
    request_id: str,
    body: bytes,
) -> Iterable[bytes]:
    if target.run_log is not None:
        # Each run is logged with one write call, so that a killed target loses no line.
        line = f"{request_id} {target.instance_id} {time.time():.3f}\n"
        os.write(target.run_log, line.encode())
    if target.faults.crash_path and environ["PATH_INFO"].startswith(target.faults.crash_path):
        os._exit(CRASH_EXIT_CODE)
    work_seconds = _get_work_seconds(target, environ)
    gevent.sleep(work_seconds * target.faults.pace / USUAL_PACE_PERCENT)
    if target.end_log is not None:
        line = f"{request_id} {target.instance_id} {time.time():.3f}\n"
        os.write(target.end_log, line.encode())
    if target.random.random() < target.faults.lost_answer_share:
        environ[SOCKET_ENVIRON_KEY].close()
        return []
    headers = [
        (HEADER_REQUEST_ID, request_id),
        (PLATFORM_TARGET_HEADERS.origin, f"{target.instance_id}.{request_id}"),
        (PLATFORM_TARGET_HEADERS.load, _describe_load(target)),
        *_make_notices(target),
    ]
    if target.random.random() < target.faults.failure_share:
        return _reply(start_response, "500 Internal Server Error", headers, b"stand-in failure")
    if environ["PATH_INFO"].endswith(ENDLESS_PATH_END):
        send_without_end(environ[SOCKET_ENVIRON_KEY], environ["QUERY_STRING"], headers)
        return []
    if environ["PATH_INFO"].endswith(DIGEST_PATH_END):
        return _reply(start_response, "200 OK", headers, hashlib.sha256(body).hexdigest().encode())
    if environ["PATH_INFO"].endswith(PADDING_PATH_END):
        return _reply(start_response, "200 OK", headers, b"x" * _get_padding_bytes(environ))
    content = {
        "instance": target.instance_id,
        "version": target.version,
        "zone": target.zone,
        "method": environ["REQUEST_METHOD"],
        "path": environ["PATH_INFO"],
        "query": environ["QUERY_STRING"],
        "body": body.decode("latin-1"),
        "headers": {key: value for key, value in environ.items() if key.startswith("HTTP_")},
        "padding": "x" * _get_padding_bytes(environ),
    }
    return _reply(start_response, "200 OK", headers, json.dumps(content).encode())


def _get_work_seconds(target: PlatformTarget, environ: dict[str, object]) -> float:
    """Return the time that a request takes, which its query may set with `work_ms`."""
    values = parse_qs(environ["QUERY_STRING"]).get("work_ms")
    return target.work_seconds if values is None else float(values[0]) / 1000


def _get_padding_bytes(environ: dict[str, object]) -> int:
    """Return by how many bytes a response is enlarged, which its query may set."""
    values = parse_qs(environ["QUERY_STRING"]).get("padding_bytes")
    return 0 if values is None else int(values[0])


def _exit_if_overloaded_while_cold(target: PlatformTarget) -> None:
    """Exit the process if it gets far more requests than a cold target can serve."""
    if not target.cold_left_ms:
        return
    now = time.monotonic()
    target.cold_arrival_times = [at for at in target.cold_arrival_times if now - at < 1.0]
    target.cold_arrival_times.append(now)
    if len(target.cold_arrival_times) > 1.5 * target.cold_per_second + 5:
        os._exit(OVERLOAD_EXIT_CODE)


def _serve_health(target: PlatformTarget, start_response: StartResponse) -> Iterable[bytes]:
    headers = [
        (PLATFORM_TARGET_HEADERS.instance, target.instance_id),
        (PLATFORM_TARGET_HEADERS.load, _describe_load(target)),
        (PLATFORM_TARGET_HEADERS.cold_ms, str(target.cold_left_ms)),
        *_make_notices(target),
    ]
    is_out = target.is_draining or target.faults.is_leaving
    status = "503 Service Unavailable" if is_out else "200 OK"
    return _reply(start_response, status, headers, b"")


def _make_notices(target: PlatformTarget) -> list[tuple[str, str]]:
    """Return the headers of all responses about a limit and about leaving."""
    notices = []
    if target.faults.rate_limit:
        notices.append((PLATFORM_TARGET_HEADERS.rate_limit[0], target.faults.rate_limit))
    if target.faults.is_leaving:
        notices.append((PLATFORM_TARGET_HEADERS.leaving[0], "1"))
    return notices


def _describe_load(target: PlatformTarget) -> str:
    return f"{target.running},{target.waiting},{target.slots},{target.faults.pace}"


def _reply(
    start_response: StartResponse, status: str, headers: list[tuple[str, str]], body: bytes
) -> list[bytes]:
    start_response(status, headers)
    return [body]


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Stand-in for a target on the platform")
    parser.add_argument("--address", required=True)
    parser.add_argument(
        "--announced-address",
        help="address to announce to the daemon, if it differs from --address",
    )
    parser.add_argument("--control", required=True, help="address of the daemon's control port")
    parser.add_argument("--instance", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--zone", default="za")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--cold-seconds", type=float, default=0.0)
    parser.add_argument("--cold-per-second", type=float, default=8.0)
    parser.add_argument(
        "--finish-work",
        action="store_true",
        help="leave only when no request runs or waits, however long that takes",
    )
    parser.add_argument("--run-log", help="file to append the start of each run to")
    parser.add_argument("--end-log", help="file to append the end of each run to")
    return parser.parse_args()


def _open_log(path: str | None) -> int | None:
    if not path:
        return None
    return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND, 0o600)


def main() -> int:
    """Run the stand-in target until it has drained or is killed."""
    arguments = _parse_arguments()
    target = PlatformTarget(
        instance_id=arguments.instance,
        service=arguments.service,
        version=arguments.version,
        zone=arguments.zone,
        address=arguments.announced_address or arguments.address,
        slots=arguments.slots,
        work_seconds=arguments.work_ms / 1000,
        cold_seconds=arguments.cold_seconds,
        cold_per_second=arguments.cold_per_second,
        start_time_ms=int(time.time() * 1000),
        run_log=_open_log(arguments.run_log),
        end_log=_open_log(arguments.end_log),
        random=Random(arguments.instance),
        slot_semaphore=BoundedSemaphore(arguments.slots),
        is_finishing_work=arguments.finish_work,
    )
    host, _, port = arguments.address.partition(":")
    server = WSGIServer(
        (host, int(port)), make_application(target), handler_class=QuietHandler, log=None
    )
    server.start()
    gevent.spawn(send_heartbeats, arguments.control, target)
    gevent.signal_handler(
        signal.SIGTERM, lambda: gevent.spawn(drain_and_exit, arguments.control, target)
    )
    server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
