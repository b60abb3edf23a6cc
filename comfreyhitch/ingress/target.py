"""HTTP calls to the daemon's own target, one try on one connection each."""

from collections.abc import Callable
from dataclasses import dataclass, field

import gevent.socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse
from result import Err, Ok

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.headers import HOP_BY_HOP_HEADERS
from comfreyhitch.core.verdicts import Failure, Headers, Outcome, Refusal, Response, Verdict
from comfreyhitch.wire.sockets import connect, is_disconnected, watch_disconnect

CONNECT_TIMEOUT_SECONDS = 0.5
MAX_IDLE_SECONDS = 5.0
MAX_IDLE_CONNECTIONS = 64
READ_BLOCK_BYTES = 65_536


@dataclass(slots=True)
class TargetConnections:
    """Keep idle connections to the target."""

    host: str
    port: int
    clock: Clock
    idle: list[tuple[float, gevent.socket.socket]] = field(default_factory=list)

    @classmethod
    def from_address(cls, host: str, port: int, clock: Clock) -> "TargetConnections":
        """Return an empty pool for the target on a port."""
        return cls(host, port, clock)


@dataclass(slots=True)
class TargetRequest:
    """Hold one HTTP request for the target; `deadline` is in monotonic seconds."""

    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: float
    needs_new_connection: bool
    body_limit_bytes: int


class RequestCancelledError(Exception):
    """Report that the caller went away while its request ran."""


def call_target(
    connections: TargetConnections,
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
    is_whole = False
    stop_watching = _cancel_when_caller_leaves(cancel_socket)
    try:
        response = _exchange(sock, request, connections.clock)
        is_whole = response.is_ok() and not response.ok_value[1]
        return response.map(lambda answer: answer[0])
    except RequestCancelledError:
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.CANCELLED, "caller went away"))
    except TimeoutError:
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.DEADLINE, "target did not answer in time"))
    except (OSError, HTTPParseError) as error:
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.TARGET_FAILED, repr(error)))
    finally:
        stop_watching()
        if is_whole:
            _release(connections, sock)
        else:
            sock.close()


def close_connections(connections: TargetConnections) -> None:
    """Close all idle connections."""
    for _, sock in connections.idle:
        sock.close()
    connections.idle.clear()


def _acquire(connections: TargetConnections, request: TargetRequest) -> gevent.socket.socket:
    now = connections.clock.monotonic()
    # A target may close an idle connection just as a request is sent on it,
    # which leaves open whether the request ran. A new connection is cheap on
    # the same instance, so requests that may run only once get one.
    while connections.idle and not request.needs_new_connection:
        idle_since, sock = connections.idle.pop()
        if now - idle_since < MAX_IDLE_SECONDS and not is_disconnected(sock):
            return sock
        sock.close()
    limit = min(CONNECT_TIMEOUT_SECONDS, max(0.001, request.deadline - now))
    return connect(connections.host, connections.port, limit)


def _release(connections: TargetConnections, sock: gevent.socket.socket) -> None:
    if len(connections.idle) >= MAX_IDLE_CONNECTIONS:
        sock.close()
        return
    connections.idle.append((connections.clock.monotonic(), sock))


def _cancel_when_caller_leaves(
    cancel_socket: gevent.socket.socket | None,
) -> Callable[[], None]:
    if cancel_socket is None:
        return lambda: None
    waiting = gevent.getcurrent()
    return watch_disconnect(cancel_socket, lambda: waiting.throw(RequestCancelledError))


def _exchange(sock: gevent.socket.socket, request: TargetRequest, clock: Clock) -> Outcome:
    remaining_seconds = request.deadline - clock.monotonic()
    sock.settimeout(max(0.001, remaining_seconds))
    sock.sendall(_format_request(request))
    parser = HTTPSocketResponse(sock, block_size=READ_BLOCK_BYTES, method=request.method)
    chunks = []
    size = 0
    while True:
        remaining_seconds = request.deadline - clock.monotonic()
        if remaining_seconds <= 0:
            raise TimeoutError
        sock.settimeout(remaining_seconds)
        chunk = parser.read(READ_BLOCK_BYTES)
        if not chunk:
            break
        chunks.append(chunk)
        size += len(chunk)
        if size > request.body_limit_bytes:
            detail = f"response body exceeds {request.body_limit_bytes} bytes"
            return Err(Failure(Verdict.RAN, Refusal.RESPONSE_TOO_LARGE, detail))
    if not parser.message_complete:
        raise HTTPParseError("response ended early")
    response = Response(
        status=parser.status_code,
        reason=parser.status_message or "",
        headers=[item for item in parser.headers if item[0].lower() not in HOP_BY_HOP_HEADERS],
        body=b"".join(chunks),
    )
    return Ok((response, parser.should_close()))


def _format_request(request: TargetRequest) -> bytes:
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    lines.append(f"Content-Length: {len(request.body)}\r\n\r\n" if _has_body(request) else "\r\n")
    return "\r\n".join(lines).encode("latin-1") + request.body


def _has_body(request: TargetRequest) -> bool:
    return bool(request.body) or request.method in ("POST", "PUT", "PATCH")
