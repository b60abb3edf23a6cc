"""Test callers that read their responses slowly, over real sockets."""

import itertools
import socket
import time
from unittest.mock import patch

import gevent
import gevent.socket
from behave import given, then

from comfreyhitch.egress import caller_handler
from comfreyhitch.egress.caller_connections import EndReason
from comfreyhitch.egress.caller_handler import CONNECTION_ENVIRON_KEY, CallerHandler
from comfreyhitch.egress.caller_server import CallerServer
from comfreyhitch.wire import sockets
from comfreyhitch.wire.sockets import STALL_CHECKS, send_while_read

# Larger than the buffers of both sockets.
BODY = bytes(range(256)) * 32 * 1024
STALL_SECONDS = 1.2
REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
RECEIVE_BUFFER_BYTES = 1_000_000
# Read every 20 ms by a slow caller, 400 KB a second.
SLOW_PART_BYTES = 8 * 1024


class FullSocket:
    """Represent a socket that accepts no bytes until a number of waits have timed out."""

    def __init__(self, waits):
        self.waits = waits

    def gettimeout(self):
        """Return that there is no timeout."""
        return

    def settimeout(self, seconds):
        """Ignore the timeout."""

    def send(self, data):
        """Time out, or accept all bytes after the last wait."""
        if self.waits == 0:
            return len(data)
        self.waits -= 1
        raise TimeoutError("timed out")


@then(
    "a write goes on while the other end takes bytes from the buffer, and ends after the time "
    "without progress"
)
def check_progress(context):
    # Guards against a caller that reads and is disconnected, since a socket accepts further bytes
    # only after a third of its buffer is free.
    for queued_bytes, is_sent in (
        (itertools.count(1_000_000, -10), True),
        (itertools.repeat(1_000_000), False),
    ):
        sock = FullSocket(4 * STALL_CHECKS)
        with patch.object(
            sockets, "_count_unacknowledged_bytes", lambda _, q=queued_bytes: next(q)
        ):
            try:
                send_while_read(sock, b"x", STALL_SECONDS)
            except TimeoutError:
                assert not is_sent
                assert sock.waits == 3 * STALL_CHECKS
            else:
                assert is_sent


@given("a server for callers with responses of 8 MB")
def start_large_server(context):
    context.ends = []

    def application(environ, start_response):
        connection = environ[CONNECTION_ENVIRON_KEY]
        connection.held_bytes += len(BODY)
        context.server.held_bytes.total += len(BODY)
        start_response("200 OK", [("Content-Length", str(len(BODY)))])
        return [BODY]

    context.server = CallerServer(
        ("127.0.0.1", 0), application, handler_class=CallerHandler, log=None, error_log=None
    )
    context.server.record_end = lambda connection, unread: context.ends.append(
        connection.end_reason
    )
    context.server.start()
    context.add_cleanup(context.server.stop, timeout=0)


def send_request(context, host="127.0.0.1"):
    """Return a connection with a limited receive buffer on which a request was sent."""
    sock = gevent.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.connect((host, context.server.server_port))
    sock.settimeout(5.0)
    sock.sendall(REQUEST)
    return sock


def read_rest(sock, pause_seconds=0.0, part_bytes=1024 * 1024):
    """Return what a caller receives until the end, and whether the connection was reset."""
    received = bytearray()
    try:
        while part := sock.recv(part_bytes):
            received += part
            gevent.sleep(pause_seconds)
    except ConnectionError:
        return bytes(received), True
    return bytes(received), False


def await_ends(context, count):
    """Wait until a number of connections have ended."""
    with gevent.Timeout(8.0):
        while len(context.ends) < count or context.server.connections.by_socket:
            gevent.sleep(0.01)


@then(
    "a caller that stops reading is disconnected, and never takes what it got for a whole response"
)
def check_stalled(context):
    # Guards against connections that hold a response forever, and against a response that is
    # filled up with an error page.
    with patch.object(caller_handler, "WRITE_STALL_SECONDS", STALL_SECONDS):
        sock = send_request(context)
        started_at = time.monotonic()
        await_ends(context, 1)
        assert time.monotonic() - started_at < 5 * STALL_SECONDS
    assert context.ends == [EndReason.CALLER_STALLED], context.ends
    assert context.server.held_bytes.total == 0
    received, is_reset = read_rest(sock)
    assert is_reset and len(received) < len(BODY), (is_reset, len(received))
    _, _, body = received.partition(b"\r\n\r\n")
    assert BODY.startswith(body) and b"HTTP/1.1 500" not in received


@then("a caller that reads slowly gets its whole response")
def check_slow(context):
    # Guards against a limit on the time of a whole response.
    with patch.object(caller_handler, "WRITE_STALL_SECONDS", STALL_SECONDS):
        sock = send_request(context)
        received = b""
        slow_until = time.monotonic() + 4 * STALL_SECONDS
        while len(received.partition(b"\r\n\r\n")[2]) < len(BODY):
            received += sock.recv(SLOW_PART_BYTES)
            if time.monotonic() < slow_until:
                gevent.sleep(0.02)
        assert received.partition(b"\r\n\r\n")[2] == BODY
        sock.close()
        await_ends(context, 2)
    assert context.ends[-1] is EndReason.CALLER_CLOSED, context.ends
    assert context.server.held_bytes.total == 0


@then("a caller that disconnects early ends its connection, and nothing is held for it")
def check_early_disconnect(context):
    # Guards against a count of bytes that is not given back when a write fails.
    sock = send_request(context)
    sock.recv(1024)
    sock.close()
    await_ends(context, 3)
    assert context.server.held_bytes.total == 0
