"""HTTP servers for the readiness checks of the platform and the heartbeats of the target."""

import json
import logging
from collections.abc import Callable, Iterable, Mapping
from urllib.parse import unquote

import gevent
from gevent.pywsgi import WSGIServer
from result import Err, Ok

from comfreyhitch.daemon.announcements import handle_departure, handle_heartbeat
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.readiness import is_ready
from comfreyhitch.ingress.lifecycle import HeartbeatResult
from comfreyhitch.platform.heartbeats import decode_heartbeat
from comfreyhitch.platform.names import PATH_INSTANCES, PATH_READY
from comfreyhitch.wire.request_bodies import BodyOutOfBoundsError, BoundedServer

logger = logging.getLogger(__name__)

MAX_HEARTBEAT_BYTES = 64 * 1024
# Senders of heartbeats give up after a second.
BODY_TIMEOUT_SECONDS = 5.0
OK = "200 OK"
BAD_REQUEST = "400 Bad Request"
NOT_FOUND = "404 Not Found"
CONFLICT = "409 Conflict"
UNAVAILABLE = "503 Service Unavailable"

StartResponse = Callable[[str, list[tuple[str, str]]], object]
RequestHandler = Callable[[str, str, bytes], tuple[str, dict[str, object]]]


def make_servers(daemon: Daemon, addresses: Mapping[str, tuple[str, int]]) -> list[WSGIServer]:
    """Return the servers for readiness and for heartbeats."""

    def handle_readiness(method: str, path: str, _: bytes) -> tuple[str, dict[str, object]]:
        if (method, path) != ("GET", PATH_READY):
            return NOT_FOUND, {}
        return (OK if is_ready(daemon) else UNAVAILABLE), {}

    def handle_control(method: str, path: str, body: bytes) -> tuple[str, dict[str, object]]:
        instance_id = unquote(path.removeprefix(PATH_INSTANCES))
        if not path.startswith(PATH_INSTANCES) or not instance_id or "/" in instance_id:
            return NOT_FOUND, {}
        if method == "PUT":
            return _handle_heartbeat(daemon, instance_id, body)
        if method == "DELETE":
            handle_departure(daemon, instance_id)
            return OK, {}
        return NOT_FOUND, {}

    return [
        _make_server(addresses["Listen.ReadinessAddr"], handle_readiness),
        _make_server(addresses["Listen.Control"], handle_control),
    ]


def _handle_heartbeat(
    daemon: Daemon, instance_id: str, body: bytes
) -> tuple[str, dict[str, object]]:
    match decode_heartbeat(instance_id, body):
        case Err(reason):
            logger.warning(
                "heartbeat refused", extra={"instance_id": instance_id, "reason": reason}
            )
            return BAD_REQUEST, {"Error": reason}
        case Ok(decoded):
            pass
    expected = (daemon.settings.target_address_host, daemon.settings.target_port)
    if (decoded.host, decoded.port) != expected or (
        decoded.heartbeat.service != daemon.settings.service
    ):
        reason = (
            f"{decoded.heartbeat.service} at {decoded.host}:{decoded.port} is not the own target"
        )
        logger.warning("heartbeat refused", extra={"instance_id": instance_id, "reason": reason})
        return BAD_REQUEST, {"Error": reason}
    if (
        handle_heartbeat(daemon, decoded.heartbeat, decoded.host, decoded.port)
        is HeartbeatResult.STALE
    ):
        return CONFLICT, {"Error": "a later heartbeat is known"}
    return OK, {}


def _make_server(address: tuple[str, int], handle: RequestHandler) -> WSGIServer:
    def application(environ: dict[str, object], start_response: StartResponse) -> Iterable[bytes]:
        try:
            body = _read_body(environ)
        except OSError as error:
            status, content = BAD_REQUEST, {"Error": f"body: {error}"}
        else:
            status, content = handle(environ["REQUEST_METHOD"], environ["PATH_INFO"], body)
        start_response(status, [("Content-Type", "application/json")])
        return [json.dumps(content).encode()]

    server = BoundedServer(address, application, log=None, error_log=logger)
    server.get_body_limit = lambda: MAX_HEARTBEAT_BYTES
    server.record_cut_off = _log_cut_off
    return server


def _read_body(environ: dict[str, object]) -> bytes:
    """Return the body of a request; raise `OSError` if it does not arrive within bounds."""
    with gevent.Timeout(BODY_TIMEOUT_SECONDS, BodyOutOfBoundsError("did not arrive in time")):
        return environ["wsgi.input"].read(MAX_HEARTBEAT_BYTES)


def _log_cut_off(reason: str) -> None:
    logger.warning("rest of a heartbeat was not read", extra={"reason": reason})
