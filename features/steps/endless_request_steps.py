"""Test that requests and heartbeats without end stop nothing else."""

import time
from types import SimpleNamespace

import gevent
import gevent.socket
from behave import given, then

from comfreyhitch.platform.servers import make_servers
from comfreyhitch.wire.request_bodies import (
    MAX_DISCARD_SECONDS,
    MAX_FRAMING_BYTES,
    MAX_FRAMING_PER_BODY_BYTE,
    BoundedServer,
)
from features.flooding import MAX_PAUSE_SECONDS, flooding_clients, measure_longest_pause

BODY_LIMIT_BYTES = 10_000
# A request that is cut off has to be so within the time for discarding it, and this.
CUT_OFF_MARGIN_SECONDS = 1.5
MANY_REQUESTS = 10
# Longer than any of them may last.
FLOOD_SECONDS = 30.0
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# What follows the request line and the host, and what is repeated without end.
ENDLESS_BODIES = {
    "chunks": (CHUNKED, b"400\r\n" + b"x" * 1024 + b"\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n" * 10_000),
    "chunk extension": (CHUNKED + b"5;a=", b"x" * 65_536),
    "chunk extensions": (CHUNKED, (b"1;a=" + b"x" * 100 + b"\r\ny\r\n") * 600),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Filler: f\r\n" * 4000),
    "declared length": (b"Content-Length: 100000000000\r\n\r\n", b"x" * 65_536),
}
OK_REQUEST = b"GET /ok HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


@given("a server that reads 10000 bytes of a body")
def start_bounded_server(context):
    def application(environ, start_response):
        try:
            environ["wsgi.input"].read(BODY_LIMIT_BYTES + 1)
            status = "200 OK"
        except OSError:
            status = "400 Bad Request"
        start_response(status, [("Content-Length", "2")])
        return [b"ok"]

    context.cut_off = []
    context.server = BoundedServer(("127.0.0.1", 0), application, log=None, error_log=None)
    context.server.get_body_limit = lambda: BODY_LIMIT_BYTES
    context.server.record_cut_off = context.cut_off.append
    context.server.start()
    context.add_cleanup(context.server.stop, timeout=0)


def await_close(connections):
    """Wait until the other end has closed each connection.

    What is within the bounds is read first, of all connections in turn.
    """
    max_seconds = MAX_DISCARD_SECONDS + CUT_OFF_MARGIN_SECONDS * len(connections)
    started_at = time.monotonic()
    while count := sum(connection.fileno() >= 0 for connection in connections):
        seconds = time.monotonic() - started_at
        assert seconds < max_seconds, (count, seconds)
        gevent.sleep(0.02)


def ask(port, request=OK_REQUEST):
    """Send a request on a connection of its own; return its response, and how long it took."""
    started_at = time.monotonic()
    with gevent.socket.create_connection(("127.0.0.1", port), 5.0) as sock:
        sock.sendall(request)
        response = b""
        while part := sock.recv(65_536):
            response += part
    return response, time.monotonic() - started_at


def check_flood(port, first, repeated, count=1):
    """Check that endless requests are cut off, and that others are answered meanwhile."""
    latencies = []

    def ask_repeatedly():
        while True:
            latencies.append(ask(port)[1])
            gevent.sleep(0.01)

    with flooding_clients(port, first, repeated, count, FLOOD_SECONDS) as connections:
        asking = gevent.spawn(ask_repeatedly)
        try:
            pause = measure_longest_pause(lambda: await_close(connections))
            assert not asking.ready(), (first, asking.exception)
        finally:
            asking.kill()
    assert pause < MAX_PAUSE_SECONDS, (first, pause)
    assert latencies and max(latencies) < 2 * MAX_PAUSE_SECONDS, (first, latencies)


@then("requests whose bodies do not end are cut off, while other requests are answered at once")
def check_endless_requests(context):
    for first, repeated in ENDLESS_BODIES.values():
        head = b"POST /a HTTP/1.1\r\nHost: a\r\n" + first
        check_flood(context.server.server_port, head, repeated)


@then("so are many of them at once")
def check_many_endless_requests(context):
    for first, repeated in ENDLESS_BODIES.values():
        head = b"POST /a HTTP/1.1\r\nHost: a\r\n" + first
        check_flood(context.server.server_port, head, repeated, MANY_REQUESTS)


@then("each is counted once, and one that ends within the bounds is not")
def check_counts(context):
    assert len(context.cut_off) == len(ENDLESS_BODIES) * (1 + MANY_REQUESTS), context.cut_off
    context.cut_off.clear()
    head = b"POST /a HTTP/1.1\r\nHost: a\r\n"
    bodies = (
        b"Content-Length: 50000\r\n\r\n" + b"x" * 50_000,
        CHUNKED + b"1\r\nx\r\n" * 20_000 + b"0\r\nX-A: b\r\n\r\n",
    )
    for body in bodies:
        # A request that follows a body on its connection is answered too.
        response, _ = ask(context.server.server_port, head + body + OK_REQUEST)
        assert response.count(b"HTTP/1.1 200 OK") == 2, response
    assert not context.cut_off


@then("one that pauses after its bounds is cut off as well")
def check_pausing_request(context):
    head = b"POST /a HTTP/1.1\r\nHost: a\r\n" + CHUNKED
    # One byte beyond the bounds, in the middle of a chunk extension.
    size = MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * BODY_LIMIT_BYTES + 1
    body = ((b"1;a=" + b"x" * 1000 + b"\r\ny\r\n") * 200)[:size]
    with gevent.socket.create_connection(("127.0.0.1", context.server.server_port), 5.0) as sock:
        sock.settimeout(MAX_DISCARD_SECONDS + CUT_OFF_MARGIN_SECONDS)
        sock.sendall(head + body)
        response = b""
        while part := sock.recv(65_536):
            response += part
    assert response.startswith(b"HTTP/1.1 400"), response


@given("a control server of a daemon")
def start_control_server(context):
    addresses = dict.fromkeys(("Listen.ReadinessAddr", "Listen.Control"), ("127.0.0.1", 0))
    daemon = SimpleNamespace()
    context.readiness, context.control = make_servers(daemon, addresses)
    for server in (context.readiness, context.control):
        server.start()
        context.add_cleanup(server.stop, timeout=0)


@then("heartbeats that do not end are refused and cut off, while readiness is answered at once")
def check_endless_heartbeats(context):
    for first, repeated in ENDLESS_BODIES.values():
        head = b"PUT /v1/instances/i-1 HTTP/1.1\r\nHost: a\r\n" + first
        for server in (context.control, context.readiness):
            check_flood(server.server_port, head, repeated)
