"""Limits on what callers send, over real sockets."""

from datetime import timedelta

import gevent
import gevent.socket
from behave import given, then

from comfreyhitch.egress.caller_server import CallerHandler, CallerServer
from comfreyhitch.routing.models import CallerLimits

HEAD_BYTES = 200
HEAD_SECONDS = 0.3
IDLE_SECONDS = 0.6
END = b"\r\n\r\n"


@given("a server for callers that allows heads of 200 bytes within 0.3 s")
def start_server(context):
    context.served = []

    def application(environ, start_response):
        body = environ["wsgi.input"].read()
        context.served.append((environ["PATH_INFO"], body))
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    context.server = CallerServer(
        ("127.0.0.1", 0), application, handler_class=CallerHandler, log=None, error_log=None
    )
    limits = CallerLimits(
        header_bytes=HEAD_BYTES,
        body_bytes=1000,
        header_timeout=timedelta(seconds=HEAD_SECONDS),
        idle_timeout=timedelta(seconds=IDLE_SECONDS),
    )
    context.server.get_limits = lambda: limits
    context.server.start()
    context.add_cleanup(context.server.stop, timeout=0)


def make_head(size, fields=1):
    """Return a request without a body whose head has a size in bytes."""
    start = b"GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    lines = b"".join(b"X-%d: \r\n" % number for number in range(fields))
    padding = b"X-Pad: " + b"p" * (size - len(start + lines + b"X-Pad: " + END))
    return start + lines + padding + END


def exchange(context, parts, gap_seconds=0.0):
    """Send parts of a request, and return all that comes back until the end."""
    caller = gevent.socket.create_connection(("127.0.0.1", context.server.server_port))
    caller.settimeout(3.0)
    try:
        for part in parts:
            caller.sendall(part)
            gevent.sleep(gap_seconds)
        return read_all(caller)
    except ConnectionError:
        return b""
    finally:
        caller.close()


def read_all(caller):
    """Return what comes until the other end closes."""
    answer = b""
    while part := caller.recv(10_000):
        answer += part
    return answer


@then("a head of up to 200 bytes is served, sent whole, in parts or pipelined")
def check_allowed(context):
    head = make_head(HEAD_BYTES)
    assert exchange(context, [head]).startswith(b"HTTP/1.1 200")
    assert exchange(context, [head[:10], head[10:90], head[90:]], 0.05).startswith(b"HTTP/1.1 200")
    first = make_head(HEAD_BYTES).replace(b"Connection: close", b"Connection: later")
    answer = exchange(context, [first + head])
    assert answer.count(b"HTTP/1.1 200") == 2, answer
    assert len(context.served) == 4


@then("a larger head gets 431, whether in one line or many, and runs nothing")
def check_too_large(context):
    context.served.clear()
    for head in (make_head(HEAD_BYTES + 1), make_head(5000), make_head(2000, fields=90)):
        answer = exchange(context, [head])
        assert answer.startswith(b"HTTP/1.1 431"), (len(head), answer)
        assert b"Connection: close" in answer
    assert not context.served


@then("a head that takes longer gets 408 or a close, and a slow body is not cut by that")
def check_too_slow(context):
    context.served.clear()
    head = make_head(HEAD_BYTES)
    answer = exchange(context, [head[:70], head[70:80]], HEAD_SECONDS)
    assert answer.startswith(b"HTTP/1.1 408"), answer
    # Not even the request's first line came.
    assert exchange(context, [head[:5], head[5:9]], HEAD_SECONDS) == b""
    assert not context.served
    request = b"POST /b HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 4\r\n\r\n"
    answer = exchange(context, [request, b"ab", b"cd"], HEAD_SECONDS * 1.2)
    assert answer.startswith(b"HTTP/1.1 200"), answer
    assert context.served == [("/b", b"abcd")]


@then("an idle connection is closed after its time, and one that is used in time is kept")
def check_idle(context):
    head = make_head(HEAD_BYTES).replace(b"Connection: close", b"Connection: later")
    caller = gevent.socket.create_connection(("127.0.0.1", context.server.server_port))
    caller.settimeout(3.0)
    for _ in range(3):
        caller.sendall(head)
        assert caller.recv(1000).startswith(b"HTTP/1.1 200")
        gevent.sleep(0.8 * IDLE_SECONDS)
    gevent.sleep(IDLE_SECONDS)
    assert caller.recv(1000) == b""
    caller.close()
