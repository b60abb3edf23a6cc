"""Test that bytes without end from a target are given up, and stop nothing else meanwhile."""

import time
from contextlib import contextmanager, suppress

import gevent
import gevent.socket
from behave import then
from gevent.server import StreamServer

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.verdicts import Refusal, Verdict
from comfreyhitch.ingress.target import TargetConnectionPool, TargetRequest, call_target
from comfreyhitch.platform.names import PLATFORM_TARGET_HEADERS
from comfreyhitch.wire.sockets import end_stream
from features.flooding import MAX_PAUSE_SECONDS, flooding_server, measure_longest_pause
from features.steps.response_steps import read_request_head

DEADLINE_SECONDS = 3.0
# A response that is given up has to be so long before the deadline of its request.
MAX_SECONDS = 1.5
MANY_RESPONSES = 20
HEAD = b"HTTP/1.1 200 OK\r\nX-Comfreyhitch-Request-Id: r1\r\nX-Comfreyhitch-Server-Stamp: s\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What comes first, and what is repeated without end.
ENDLESS_RESPONSES = {
    "header lines": (HEAD, b"X-Filler: f\r\n" * 4000),
    "one header": (HEAD + b"X-Filler: ", b"f" * 65_536),
    "few bytes of a head": (HEAD + b"X-Filler: ", b"f" * 100),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "blank lines": (b"", b"\r\n" * 30_000),
    "chunk extension": (CHUNKED_HEAD + b"5;a=", b"x" * 65_536),
    "chunk extensions": (CHUNKED_HEAD, (b"1;a=" + b"x" * 100 + b"\r\ny\r\n") * 600),
    "trailers": (CHUNKED_HEAD + b"1\r\nx\r\n0\r\n", b"X-Filler: f\r\n" * 4000),
    "body until close": (HEAD + b"Connection: close\r\n\r\n", b"x" * 65_536),
}


@contextmanager
def endless_target(first, repeated):
    """Run a target whose responses do not end; yield a connection pool for it."""
    deadline = time.monotonic() + DEADLINE_SECONDS + 1.0

    def respond(sock, _):
        with suppress(OSError):
            read_request_head(sock)
            sock.sendall(first)
            while time.monotonic() < deadline:
                sock.sendall(repeated)
                # The reader shares the process, so the target has to let it run.
                gevent.sleep(0)

    server = StreamServer(("127.0.0.1", 0), respond)
    server.start()
    try:
        clock = Clock.from_system()
        yield TargetConnectionPool.from_address(
            "127.0.0.1", server.server_port, clock, PLATFORM_TARGET_HEADERS
        )
    finally:
        server.stop()


@then("each is given up long before the deadline, as one that may have run, and is counted")
def check_given_up(context):
    for name, (first, repeated) in ENDLESS_RESPONSES.items():
        with endless_target(first, repeated) as connections:
            parts = []
            connections.on_unbounded = parts.append
            started_at = time.monotonic()
            failure = send(connections).err_value
            seconds = time.monotonic() - started_at
            assert seconds < MAX_SECONDS, (name, seconds, failure)
            assert not connections.idle_connections, name
            is_body = name == "body until close"
            refusal = Refusal.RESPONSE_TOO_LARGE if is_body else Refusal.TARGET_FAILED
            verdict = Verdict.RAN if is_body else Verdict.MAY_HAVE_RUN
            assert (failure.refusal, failure.verdict) == (refusal, verdict), (name, failure)
            # Some are refused by the parser itself.
            assert len(parts) <= 1 and (parts or "too many" not in failure.detail), (name, failure)
            assert parts or name in ("body until close", "blank lines"), (name, failure)


def send(connections, body_limit_bytes=1_000_000):
    """Send one request, and return its outcome."""
    request = TargetRequest(
        method="GET",
        path="/",
        headers=[("Host", "a"), (PLATFORM_TARGET_HEADERS.request_id, "r1")],
        body=b"",
        deadline=connections.clock.monotonic() + DEADLINE_SECONDS,
        needs_new_connection=False,
        body_limit_bytes=body_limit_bytes,
        request_id="r1",
    )
    return call_target(connections, request, None, lambda: None)


@then("other greenlets run while such bytes arrive faster than they are read")
def check_other_greenlets(context):
    check_pauses(count=1)


@then("other greenlets run while many such responses arrive at once")
def check_many_responses(context):
    check_pauses(count=MANY_RESPONSES)


def check_pauses(count):
    """Check that other greenlets run while endless responses arrive on some connections."""
    small_chunks = (CHUNKED_HEAD, b"1\r\nx\r\n" * 20_000)
    for first, repeated in (*ENDLESS_RESPONSES.values(), small_chunks):
        with flooding_server(first, repeated) as port:
            connections = TargetConnectionPool.from_address(
                "127.0.0.1", port, Clock.from_system(), PLATFORM_TARGET_HEADERS
            )
            pause = measure_longest_pause(
                lambda connections=connections: gevent.joinall(
                    [
                        gevent.spawn(send, connections, body_limit_bytes=500_000)
                        for _ in range(count)
                    ]
                )
            )
        assert pause < MAX_PAUSE_SECONDS, (first, repeated[:20], pause)


@then("the end of a connection whose other end goes on sending is not awaited for longer than told")
def check_stream_end(context):
    with flooding_server(b"", b"x" * 65_536) as port:
        sock = gevent.socket.create_connection(("127.0.0.1", port))
        started_at = time.monotonic()
        pause = measure_longest_pause(lambda: end_stream(sock, 0.3))
        seconds = time.monotonic() - started_at
        sock.close()
    assert seconds < MAX_SECONDS, seconds
    assert pause < MAX_PAUSE_SECONDS, pause
