"""Send HTTP requests to this daemon's target, each once and on one connection."""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

import gevent.socket
from geventhttpclient.response import HTTPParseError
from result import Err, Ok

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.target_headers import DEFAULT_TARGET_HEADERS, TargetHeaderNames
from comfreyhitch.core.verdicts import Body, Failure, Headers, Outcome, Refusal, Response, Verdict
from comfreyhitch.ingress.response_checks import validate_response
from comfreyhitch.wire.following_bodies import is_following, send_until_answered
from comfreyhitch.wire.responses import (
    ResponseReader,
    ResponseTooLargeError,
    UnboundedResponseError,
    get_idle_timeout_seconds,
    read_response,
)
from comfreyhitch.wire.sockets import connect, is_open_and_empty, watch_disconnect

CONNECT_TIMEOUT_SECONDS = 0.5
MAX_IDLE_TIME = timedelta(seconds=5)
# Idle connections are reused only for this part of the target's idle timeout, since the target
# may close them shortly before or after the timeout.
IDLE_TIMEOUT_FRACTION = 0.8
MAX_IDLE_CONNECTIONS = 64


@dataclass(slots=True)
class IdleConnection:
    """Represent a connection that may be reused until `expires_at`, in monotonic seconds."""

    sock: gevent.socket.socket
    expires_at: float


@dataclass(slots=True)
class TargetConnectionPool:
    """Pool idle connections to the target."""

    host: str
    port: int
    clock: Clock
    header_names: TargetHeaderNames = DEFAULT_TARGET_HEADERS
    idle_connections: list[IdleConnection] = field(default_factory=list)
    # Called with each response that answers the request on its connection.
    on_response: Callable[[Response], None] = lambda response: None
    # Called when the target has closed an idle connection before it expired.
    on_unexpected_close: Callable[[], None] = lambda: None
    # Called with what a response that was given up holds too much of.
    on_unbounded: Callable[[str], None] = lambda part: None

    @classmethod
    def from_address(
        cls,
        host: str,
        port: int,
        clock: Clock,
        header_names: TargetHeaderNames = DEFAULT_TARGET_HEADERS,
    ) -> "TargetConnectionPool":
        """Return an empty pool for the target at an address."""
        return cls(host, port, clock, header_names)


@dataclass(slots=True)
class TargetRequest:
    """Represent an HTTP request to the target; `deadline` is in monotonic seconds."""

    method: str
    path: str
    headers: Headers
    body: Body
    deadline: float
    needs_new_connection: bool
    body_limit_bytes: int
    request_id: str = ""
    expected_instance: str = ""
    # A probe asks about the target itself, so its response is returned without validation.
    is_probe: bool = False
    # Called when the whole body is sent, which drops it.
    on_body_sent: Callable[[], None] = lambda: None
    # Called with the size of the response's body as it grows; waits for the memory, and returns
    # whether there is some.
    hold_response: Callable[[int], bool] = lambda size: True


class RequestCancelledError(Exception):
    """Signal that the caller disconnected while its request ran."""


def call_target(
    connections: TargetConnectionPool,
    request: TargetRequest,
    cancel_socket: gevent.socket.socket | None,
    before_send: Callable[[], None],
) -> Outcome:
    """Send a request to the target once, and return its response or the failure."""
    try:
        sock = _acquire(connections, request)
    except OSError as error:
        return Err(Failure(Verdict.NOT_RUN, Refusal.TARGET_UNREACHABLE, str(error)))
    before_send()
    reader = ResponseReader(request.method)
    is_reusable = False
    stop_watching = _cancel_on_disconnect(cancel_socket)
    try:
        is_sent = _exchange(sock, request, reader, connections.clock)
        outcome = _validate(connections, request, reader)
        is_reusable = is_sent and reader.is_reusable and not _is_failed(outcome)
        return outcome
    except RequestCancelledError:
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.CANCELLED, "caller went away"))
    except TimeoutError:
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.DEADLINE, "target did not answer in time"))
    except ResponseTooLargeError as error:
        return Err(Failure(Verdict.RAN, Refusal.RESPONSE_TOO_LARGE, str(error)))
    except UnboundedResponseError as error:
        connections.on_unbounded(error.part)
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.TARGET_FAILED, str(error)))
    except (OSError, HTTPParseError) as error:
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.TARGET_FAILED, repr(error)))
    finally:
        stop_watching()
        if is_reusable:
            _release(connections, sock, reader)
        else:
            sock.close()


def close_connections(connections: TargetConnectionPool) -> None:
    """Close all idle connections."""
    for connection in connections.idle_connections:
        connection.sock.close()
    connections.idle_connections.clear()


def _validate(
    connections: TargetConnectionPool, request: TargetRequest, reader: ResponseReader
) -> Outcome:
    response = reader.make_response()
    header_names = connections.header_names
    if request.is_probe:
        connections.on_response(response)
        return Ok(response)
    outcome = validate_response(
        header_names, response, request.request_id, request.expected_instance
    )
    if not _is_failed(outcome):
        connections.on_response(response)
    return outcome


def _is_failed(outcome: Outcome) -> bool:
    return outcome.is_err() and outcome.err_value.refusal is Refusal.TARGET_FAILED


def _acquire(connections: TargetConnectionPool, request: TargetRequest) -> gevent.socket.socket:
    now = connections.clock.monotonic()
    # A target may close an idle connection just as a request is sent on it, which leaves
    # unknown whether the request ran. Non-idempotent requests therefore ask for a new
    # connection, except where the target limits its connections.
    while connections.idle_connections and not request.needs_new_connection:
        connection = connections.idle_connections.pop()
        is_expired = now >= connection.expires_at
        if not is_expired and is_open_and_empty(connection.sock):
            return connection.sock
        connection.sock.close()
        if not is_expired:
            connections.on_unexpected_close()
    timeout_seconds = min(CONNECT_TIMEOUT_SECONDS, max(0.001, request.deadline - now))
    return connect(connections.host, connections.port, timeout_seconds)


def _release(
    connections: TargetConnectionPool, sock: gevent.socket.socket, reader: ResponseReader
) -> None:
    if len(connections.idle_connections) >= MAX_IDLE_CONNECTIONS:
        sock.close()
        return
    idle_seconds = IDLE_TIMEOUT_FRACTION * get_idle_timeout_seconds(reader, MAX_IDLE_TIME)
    expires_at = connections.clock.monotonic() + idle_seconds
    connections.idle_connections.append(IdleConnection(sock, expires_at))


def _cancel_on_disconnect(
    cancel_socket: gevent.socket.socket | None,
) -> Callable[[], None]:
    if cancel_socket is None:
        return lambda: None
    caller_greenlet = gevent.getcurrent()
    return watch_disconnect(cancel_socket, lambda: caller_greenlet.throw(RequestCancelledError))


def _exchange(
    sock: gevent.socket.socket, request: TargetRequest, reader: ResponseReader, clock: Clock
) -> bool:
    """Send the request and read the response; return whether the whole request was sent."""
    is_sent = _send(sock, request, clock)
    if is_sent:
        request.body = b""
        request.on_body_sent()
    read_response(
        sock,
        reader,
        request.deadline,
        request.body_limit_bytes,
        clock,
        hold_body=request.hold_response,
    )
    return is_sent


def _send(sock: gevent.socket.socket, request: TargetRequest, clock: Clock) -> bool:
    """Send the request, or until the target responds without having read it all."""
    head = _format_head(request)
    if not is_following(request.body):
        return send_until_answered(sock, head + request.body, request.deadline, clock)
    return send_until_answered(sock, head, request.deadline, clock) and send_until_answered(
        sock, request.body, request.deadline, clock
    )


def _format_head(request: TargetRequest) -> bytes:
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    lines.append(f"Content-Length: {len(request.body)}\r\n\r\n" if _has_body(request) else "\r\n")
    return "\r\n".join(lines).encode("latin-1")


def _has_body(request: TargetRequest) -> bool:
    return bool(request.body) or request.method in ("POST", "PUT", "PATCH")
