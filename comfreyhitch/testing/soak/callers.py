"""Run callers that keep their connections open until the daemon closes them."""

import json
from dataclasses import dataclass, field
from time import monotonic, time

import gevent
import gevent.socket
from geventhttpclient.response import HTTPParseError

from comfreyhitch.core.clock import Clock
from comfreyhitch.platform.names import (
    HEADER_DEADLINE_MS,
    HEADER_REQUEST_ID,
    PLATFORM_TARGET_HEADERS,
)
from comfreyhitch.testing.platform_models import (
    HOST_NAME,
    OUTBOUND_PORT,
    PlatformInstance,
)
from comfreyhitch.wire.responses import ResponseReader, read_response
from comfreyhitch.wire.sockets import connect

REQUEST_PAUSE_SECONDS = 0.03
RECONNECT_DELAY_SECONDS = 0.1
DEADLINE_MS = 2500
READ_TIMEOUT_SECONDS = 4.0
MAX_BODY_BYTES = 100_000


@dataclass(slots=True)
class SentRequest:
    """Hold a request and its outcome.

    Times are Unix seconds; status 0 means no response.
    """

    request_id: str
    instance_name: str
    path: str
    is_idempotent: bool
    sent_at: float
    # Whether an earlier request got its response on the same connection.
    is_connection_reused: bool
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    response_request_id: str = ""
    error: str = ""


@dataclass(slots=True)
class Caller:
    """Hold a caller of one instance's daemon, and the requests that it sent."""

    name: str
    instance: PlatformInstance
    paths: list[str]
    clock: Clock
    is_idempotent: bool
    is_stopping: bool = False
    sent_requests: list[SentRequest] = field(default_factory=list)


def call_forever(caller: Caller) -> None:
    """Send one request after the other, on as few connections as the daemon allows."""
    while not caller.is_stopping:
        try:
            sock = connect(caller.instance.host, OUTBOUND_PORT, 1.0)
        except OSError:
            gevent.sleep(RECONNECT_DELAY_SECONDS)
            continue
        try:
            _use_connection(caller, sock)
        finally:
            sock.close()


def _use_connection(caller: Caller, sock: gevent.socket.socket) -> None:
    is_connection_reused = False
    while not caller.is_stopping:
        sent = _make_request(caller, is_connection_reused=is_connection_reused)
        caller.sent_requests.append(sent)
        is_connection_reused = _exchange(caller, sock, sent)
        sent.ended_at = time()
        if not is_connection_reused:
            return
        gevent.sleep(REQUEST_PAUSE_SECONDS)


def _make_request(caller: Caller, *, is_connection_reused: bool) -> SentRequest:
    number = len(caller.sent_requests)
    path = caller.paths[number % len(caller.paths)] + f"{caller.name}-{number}"
    return SentRequest(
        request_id=f"{caller.name}-{number}",
        instance_name=caller.instance.name,
        path=path,
        is_idempotent=caller.is_idempotent,
        sent_at=time(),
        is_connection_reused=is_connection_reused,
    )


def _exchange(caller: Caller, sock: gevent.socket.socket, sent: SentRequest) -> bool:
    """Send a request and read its response; return whether the connection is reusable."""
    method, body = ("GET", b"") if caller.is_idempotent else ("POST", sent.request_id.encode())
    lines = [
        f"{method} {sent.path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"{HEADER_REQUEST_ID}: {sent.request_id}",
        f"{HEADER_DEADLINE_MS}: {DEADLINE_MS}",
        f"Content-Length: {len(body)}\r\n\r\n",
    ]
    reader = ResponseReader(method)
    try:
        sock.settimeout(READ_TIMEOUT_SECONDS)
        sock.sendall("\r\n".join(lines).encode() + body)
        read_response(
            sock, reader, monotonic() + READ_TIMEOUT_SECONDS, MAX_BODY_BYTES, caller.clock
        )
    except (OSError, HTTPParseError) as error:
        sent.error = repr(error)
        return False
    sent.status = reader.get_code()
    sent.body = reader.body
    sent.response_request_id = reader.get(HEADER_REQUEST_ID.lower(), "")
    return reader.is_reusable


def is_matching_response(sent: SentRequest) -> bool:
    """Return whether a success is the target's complete response to this request."""
    try:
        content = json.loads(sent.body)
    except ValueError:
        return False
    names = {name[5:].replace("_", "-"): text for name, text in content["headers"].items()}
    received_id = names.get(HEADER_REQUEST_ID.upper())
    is_body_matching = sent.is_idempotent or content["body"] == sent.request_id
    is_sent_as_expected = PLATFORM_TARGET_HEADERS.expected_instance.upper() in names
    return (
        content["path"] == sent.path
        and received_id == sent.request_id
        and (is_body_matching and is_sent_as_expected)
    )
