"""Limits on the requests of callers, tested over real sockets."""

from datetime import timedelta

import gevent
import gevent.socket
from behave import given, then

from comfreyhitch.egress.caller_handler import CallerHandler
from comfreyhitch.egress.caller_server import CallerServer
from comfreyhitch.routing.models import CallerLimits

MAX_HEAD_BYTES = 200
HEAD_TIMEOUT_SECONDS = 0.3
IDLE_TIMEOUT_SECONDS = 0.6
HEAD_END = b"\r\n\r\n"


@given("a server for callers that allows heads of 200 bytes within 0.3 s")
def start_server(context):
    serve_callers(context, MAX_HEAD_BYTES)


@given("a server for callers that allows heads of 16384 bytes")
def start_server_with_large_heads(context):
    serve_callers(context, 16_384)


def serve_callers(context, header_bytes):
    """Start a server for callers with a limit on the bytes of a head."""
    context.served_requests = []

    def application(environ, start_response):
        body = environ["wsgi.input"].read()
        context.served_requests.append((environ["PATH_INFO"], body))
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    context.server = CallerServer(
        ("127.0.0.1", 0), application, handler_class=CallerHandler, log=None, error_log=None
    )
    limits = CallerLimits(
        header_bytes=header_bytes,
        body_bytes=1000,
        header_timeout=timedelta(seconds=HEAD_TIMEOUT_SECONDS),
        idle_timeout=timedelta(seconds=IDLE_TIMEOUT_SECONDS),
    )
    context.server.get_limits = lambda: limits
    context.server.start()
    context.add_cleanup(context.server.stop, timeout=0)


def make_head(size, header_count=1):
    """Return a request without a body whose head is `size` bytes long."""
    start = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    headers = b"".join(b"X-%d: \r\n" % number for number in range(header_count))
    padding = b"X-Pad: " + b"p" * (size - len(start + headers + b"X-Pad: " + HEAD_END))
    return start + headers + padding + HEAD_END


def send_in_parts(context, parts, gap_seconds=0.0):
    """Send the parts of a request, and return all that is received until the server closes.

    Return empty bytes if the connection is reset.
    """
    connection = gevent.socket.create_connection(("127.0.0.1", context.server.server_port))
    connection.settimeout(3.0)
    try:
        for part in parts:
            connection.sendall(part)
            gevent.sleep(gap_seconds)
        return read_all(connection)
    except ConnectionError:
        return b""
    finally:
        connection.close()


def read_all(connection):
    """Return all that is received until the other end closes."""
    response = b""
    while part := connection.recv(10_000):
        response += part
    return response


@then("a head of 200 bytes is served, whether it is sent whole, in parts or pipelined")
def check_heads_within_limit(context):
    head = make_head(MAX_HEAD_BYTES)
    assert send_in_parts(context, [head]).startswith(b"HTTP/1.1 200")
    assert send_in_parts(context, [head[:10], head[10:90], head[90:]], 0.05).startswith(
        b"HTTP/1.1 200"
    )
    # An unknown connection option of the same length keeps the connection open.
    keep_alive_head = make_head(MAX_HEAD_BYTES).replace(b"Connection: close", b"Connection: later")
    response = send_in_parts(context, [keep_alive_head + head])
    assert response.count(b"HTTP/1.1 200") == 2, response
    assert len(context.served_requests) == 4


@then("a larger head gets 431, whether it has one long line or many, and its request is not served")
def check_oversized_heads(context):
    context.served_requests.clear()
    for head in (make_head(MAX_HEAD_BYTES + 1), make_head(5000), make_head(2000, header_count=90)):
        response = send_in_parts(context, [head])
        assert response.startswith(b"HTTP/1.1 431"), (len(head), response)
        assert b"Connection: close" in response
    assert not context.served_requests


@then("a head that takes longer gets 408 or a closed connection, and a slow body is not cut off")
def check_slow_heads(context):
    context.served_requests.clear()
    head = make_head(MAX_HEAD_BYTES)
    response = send_in_parts(context, [head[:70], head[70:80]], HEAD_TIMEOUT_SECONDS)
    assert response.startswith(b"HTTP/1.1 408"), response
    # If not even the request line is complete, the connection is closed without a response.
    assert send_in_parts(context, [head[:5], head[5:9]], HEAD_TIMEOUT_SECONDS) == b""
    assert not context.served_requests
    request = b"POST /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\n"
    response = send_in_parts(context, [request, b"ab", b"cd"], HEAD_TIMEOUT_SECONDS * 1.2)
    assert response.startswith(b"HTTP/1.1 200"), response
    assert context.served_requests == [("/b", b"abcd")]


@then(
    "a connection used within the idle timeout is kept, and one that is idle for longer is closed"
)
def check_idle_timeout(context):
    keep_alive_head = make_head(MAX_HEAD_BYTES).replace(b"Connection: close", b"Connection: later")
    connection = gevent.socket.create_connection(("127.0.0.1", context.server.server_port))
    connection.settimeout(3.0)
    for _ in range(3):
        connection.sendall(keep_alive_head)
        assert connection.recv(1000).startswith(b"HTTP/1.1 200")
        gevent.sleep(0.8 * IDLE_TIMEOUT_SECONDS)
    gevent.sleep(IDLE_TIMEOUT_SECONDS)
    assert connection.recv(1000) == b""
    connection.close()


@then("a head of 16384 bytes is served with one long line, one long header or as many as fit")
def check_large_heads(context):
    line = b"GET /" + b"a" * 16_000 + b" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    # Each header of `make_head` takes up to 10 bytes.
    for head in (line, make_head(16_384), make_head(16_384, 120), make_head(16_384, 1500)):
        received = send_in_parts(context, [head])
        assert received.startswith(b"HTTP/1.1 200"), (head[:40], len(head), received)
    assert len(context.served_requests) == 4


@then("one of more bytes gets 431, and one that is cut off is not served")
def check_large_heads_refused(context):
    context.served_requests.clear()
    line = b"GET /" + b"a" * 16_400 + b" HTTP/1.1\r\nHost: a\r\n\r\n"
    for head in (line, make_head(16_385), make_head(16_385, 1500)):
        received = send_in_parts(context, [head])
        assert received.startswith(b"HTTP/1.1 431"), (head[:40], len(head), received)
    for length in (20, 40, 60):
        connection = gevent.socket.create_connection(("127.0.0.1", context.server.server_port))
        connection.sendall(make_head(200)[:length])
        connection.close()
    gevent.sleep(0.2)
    assert not context.served_requests, context.served_requests
