"""WSGI application for callers: read, route, log and answer their requests."""

import logging
from collections.abc import Callable, Iterable

import gevent
from result import Err, Ok

from comfreyhitch.core.held_bytes import get_large_limit
from comfreyhitch.core.verdicts import (
    Failure,
    Headers,
    Outcome,
    Refusal,
    Response,
    Verdict,
    describe_outcome,
)
from comfreyhitch.egress.caller_connections import (
    CallerConnection,
    CallerConnections,
    ConnectionPhase,
    describe_request,
    interruptible,
)
from comfreyhitch.egress.caller_handler import (
    CONNECTION_ENVIRON_KEY,
    HEADERS_ENVIRON_KEY,
    PATH_ENVIRON_KEY,
    REASONS_OF_SLOW_CALLERS,
    CallerHandler,
)
from comfreyhitch.egress.caller_server import CallerServer
from comfreyhitch.egress.classify import DEFAULT_TENANT, OutgoingCall
from comfreyhitch.egress.interface import CallerInterface, CallerRequest
from comfreyhitch.egress.memory import record_give_way, route_within_memory
from comfreyhitch.egress.request_bodies import read_body
from comfreyhitch.egress.router import route
from comfreyhitch.egress.state import Egress, get_latency_seconds
from comfreyhitch.egress.stopping import find_stop_refusal
from comfreyhitch.ingress.target import RequestCancelledError
from comfreyhitch.telemetry.decisions import admit_log_line, log_decision
from comfreyhitch.telemetry.metrics import observe_request
from comfreyhitch.telemetry.stops import count_outcome
from comfreyhitch.wire.sockets import is_disconnected, watch_disconnect

logger = logging.getLogger(__name__)

MIN_SERVER_ERROR_STATUS = 500
UNREAD_MESSAGE = "connection ended with a request unread"
NO_BODY_STATUSES = frozenset({204, 304})

StartResponse = Callable[[str, Headers], object]


def make_caller_server(
    egress: Egress, interface: CallerInterface, max_connections: int | None = None
) -> CallerServer:
    """Return the HTTP server for callers; it is not started yet."""
    settings = egress.settings

    def application(environ: dict[str, object], start_response: StartResponse) -> Iterable[bytes]:
        return _handle_request(egress, interface, environ, start_response)

    server = CallerServer(
        (str(settings.host), settings.http_port),
        application,
        handler_class=CallerHandler,
        log=None,
        error_log=logger,
        backlog=512,
    )
    server.connections = CallerConnections(egress.blackboard.clock)
    server.open_connections.limit = max_connections
    server.open_connections.on_refuse = lambda: _record_refused_connection(egress)
    server.held_bytes = egress.blackboard.held_bytes
    server.held_bytes.on_give_way = lambda holder: record_give_way(egress, holder)
    server.get_limits = interface.get_limits
    server.get_body_limit = lambda: _get_body_limit(egress, interface)
    server.record_cut_off = lambda reason: _record_cut_off(egress, reason)
    server.record_unread = lambda reason: _record_unread_request(egress, reason)
    server.record_end = lambda connection, unread: _record_connection_end(
        egress, connection, has_unread_bytes=unread
    )
    return server


def _record_connection_end(
    egress: Egress, connection: CallerConnection, *, has_unread_bytes: bool
) -> None:
    labels = {
        "reason": connection.end_reason.value,
        "unread": "yes" if has_unread_bytes else "no",
    }
    egress.metrics.egress.connections_ended.inc(labels)
    # The usual end of a connection is not logged: it holds no request and no unread bytes.
    is_stalled = connection.end_reason in REASONS_OF_SLOW_CALLERS
    is_lost = is_stalled or connection.phase is ConnectionPhase.READING
    if (is_lost or has_unread_bytes) and admit_log_line(egress.decisions, is_failure=True):
        now = egress.blackboard.clock.monotonic()
        log_decision(
            egress.decisions,
            "caller did not read its response" if is_stalled else UNREAD_MESSAGE,
            {**labels, **describe_request(connection, now)},
        )


def _record_refused_connection(egress: Egress) -> None:
    egress.metrics.egress.connections_refused.inc({})
    if admit_log_line(egress.decisions, is_failure=True):
        log_decision(egress.decisions, "connection refused: all others are busy", {})


def _record_unread_request(egress: Egress, reason: str) -> None:
    observe_request(egress.metrics, "", DEFAULT_TENANT, Verdict.NOT_RUN, 0.0)
    if admit_log_line(egress.decisions, is_failure=True):
        log_decision(egress.decisions, "request was not read", {"reason": reason})


def _record_cut_off(egress: Egress, reason: str) -> None:
    egress.metrics.egress.bodies_cut_off.inc({})
    if admit_log_line(egress.decisions, is_failure=True):
        log_decision(egress.decisions, "rest of a request was not read", {"reason": reason})


def _handle_request(
    egress: Egress,
    interface: CallerInterface,
    environ: dict[str, object],
    start_response: StartResponse,
) -> Iterable[bytes]:
    clock = egress.blackboard.clock
    started_at = clock.monotonic()
    call, outcome = _route_request(egress, interface, environ, started_at)
    seconds = clock.monotonic() - started_at
    _record_request(egress, environ, call, outcome, seconds)
    return _start_response(egress, interface, environ, outcome, start_response)


def _route_request(
    egress: Egress, interface: CallerInterface, environ: dict[str, object], arrived_at: float
) -> tuple[OutgoingCall | None, Outcome]:
    connection = environ[CONNECTION_ENVIRON_KEY]
    headers = environ[HEADERS_ENVIRON_KEY]
    timeout_seconds = interface.get_timeout_seconds(headers)
    limit_bytes = _get_body_limit(egress, interface)
    read = read_body(egress, connection, environ, limit_bytes, arrived_at + timeout_seconds)
    if read.is_err():
        return None, read
    request = CallerRequest(
        method=environ["REQUEST_METHOD"],
        path=environ[PATH_ENVIRON_KEY],
        headers=headers,
        body=read.ok_value,
        arrived_at=arrived_at,
    )
    match interface.classify(request):
        case Err(failure):
            return None, Err(failure)
        case Ok(call):
            connection.call = call
            return call, route_within_memory(
                egress, call, connection, lambda: _route_unless_stopping(egress, call, connection)
            )


def _get_body_limit(egress: Egress, interface: CallerInterface) -> int:
    limits = interface.get_limits()
    own_limit = min(egress.settings.body_limit_bytes, get_large_limit(egress.blackboard.held_bytes))
    return own_limit if limits is None else min(own_limit, limits.body_bytes)


def _route_unless_stopping(
    egress: Egress, call: OutgoingCall, connection: CallerConnection
) -> Outcome:
    now = egress.blackboard.clock.monotonic()
    usual_seconds = get_latency_seconds(egress, call)
    refusal = find_stop_refusal(egress.stop_plan, call.deadline, now, usual_seconds)
    if refusal is not None:
        return Err(refusal)
    # The caller may have left while its request waited behind another one, or to be accepted.
    if is_disconnected(connection.sock):
        return Err(Failure(Verdict.NOT_RUN, Refusal.CANCELLED, "caller went away"))
    with interruptible(connection):
        return _route_until_disconnect(egress, call, connection.sock)


def _route_until_disconnect(egress: Egress, call: OutgoingCall, sock: object) -> Outcome:
    routing_greenlet = gevent.getcurrent()
    stop_watching = watch_disconnect(sock, lambda: routing_greenlet.throw(RequestCancelledError))
    try:
        return route(egress, call)
    except RequestCancelledError:
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.CANCELLED, "caller went away"))
    except Exception:
        # An internal error is answered with a verdict like any other failure.
        logger.exception(
            "unexpected error while routing a request", extra={"service": call.service}
        )
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.INTERNAL_ERROR, "see the daemon's log"))
    finally:
        stop_watching()


def _record_request(
    egress: Egress,
    environ: dict[str, object],
    call: OutgoingCall | None,
    outcome: Outcome,
    seconds: float,
) -> None:
    verdict = Verdict.RAN if outcome.is_ok() else outcome.err_value.verdict
    service = "" if call is None else call.service
    tenant = DEFAULT_TENANT if call is None else call.tenant
    observe_request(egress.metrics, service, tenant, verdict, seconds)
    if egress.stop_plan is not None:
        count_outcome(egress.stop_record, outcome)
    is_failure = outcome.is_err() or outcome.ok_value.status >= MIN_SERVER_ERROR_STATUS
    if admit_log_line(egress.decisions, is_failure=is_failure):
        fields = _describe_request(environ, call, outcome)
        fields["ms"] = round(seconds * 1000, 1)
        log_decision(egress.decisions, "request failed" if is_failure else "request", fields)


def _describe_request(
    environ: dict[str, object], call: OutgoingCall | None, outcome: Outcome
) -> dict[str, object]:
    fields: dict[str, object] = {
        "method": environ["REQUEST_METHOD"],
        "path": environ[PATH_ENVIRON_KEY],
        "outcome": describe_outcome(outcome),
    }
    if outcome.is_err():
        fields["detail"] = outcome.err_value.detail
    if call is not None:
        fields["caller_request_id"] = call.caller_request_id
        fields["request_id"] = call.last_request_id
        fields["route"] = call.route
        fields["configuration"] = call.table_version
        fields["service"] = call.service
        fields["tenant"] = call.tenant
        fields["tries"] = [item.describe() for item in call.attempt_records]
    return fields


def _start_response(
    egress: Egress,
    interface: CallerInterface,
    environ: dict[str, object],
    outcome: Outcome,
    start_response: StartResponse,
) -> Iterable[bytes]:
    match outcome:
        case Ok(response):
            status, headers, body = _format_response(response)
            headers = [*headers, *interface.make_response_headers(response)]
        case Err(failure):
            status, headers, body = _format_failure(failure)
            headers = [*headers, *interface.make_failure_headers(failure)]
    connection = environ[CONNECTION_ENVIRON_KEY]
    is_stopping = egress.blackboard.is_draining and not connection.has_further_request()
    if is_stopping or connection.has_unread_body:
        headers.append(("Connection", "close"))
    start_response(status, headers)
    has_body = body and environ["REQUEST_METHOD"] != "HEAD"
    return [body] if has_body else []


def _format_response(response: Response) -> tuple[str, Headers, bytes]:
    headers = response.headers
    if response.status in NO_BODY_STATUSES:
        headers = [item for item in headers if item[0].lower() != "content-length"]
    return f"{response.status} {response.reason}", headers, response.body


def _format_failure(failure: Failure) -> tuple[str, Headers, bytes]:
    body = f"{failure.refusal.value}: {failure.detail}\n".encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(body))),
    ]
    return f"{failure.status} {_REASON_BY_STATUS[failure.status]}", headers, body


_REASON_BY_STATUS = {
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    413: "Content Too Large",
    422: "Unprocessable Content",
    431: "Request Header Fields Too Large",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
