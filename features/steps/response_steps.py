"""Test how responses of targets are read and validated, over real sockets where it matters."""

import itertools
import socket
import struct
from contextlib import contextmanager, suppress

import gevent
from behave import then
from gevent.server import StreamServer
from geventhttpclient.response import HTTPParseError
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.verdicts import Refusal, Response, Verdict
from comfreyhitch.ingress.models import parse_answer
from comfreyhitch.ingress.response_checks import validate_response
from comfreyhitch.ingress.target import TargetConnectionPool, TargetRequest, call_target
from comfreyhitch.platform.names import PLATFORM_TARGET_HEADERS
from comfreyhitch.wire.generated.ttypes import CallAnswer, LoadReport
from comfreyhitch.wire.responses import ResponseReader

SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: 1\r\n\r\nhello"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" + SIZED
STAMPED = (
    b"HTTP/1.1 200 OK\r\nX-Comfreyhitch-Request-Id: r1\r\n"
    b"X-Comfreyhitch-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok"
)
BODY_BYTES = 400_000


def feed_in_pieces(data, cuts):
    """Return a reader that was given the data in pieces, cut at the given positions."""
    reader = ResponseReader("GET")
    boundaries = [0, *sorted(cuts), len(data)]
    for start, end in itertools.pairwise(boundaries):
        if start < end:
            reader.feed(data[start:end])
    return reader


@contextmanager
def running_target(handle):
    """Run a target that passes each connection to a function; yield a connection pool for it."""
    server = StreamServer(("127.0.0.1", 0), lambda sock, _: handle(sock))
    server.start()
    try:
        clock = Clock.from_system()
        yield TargetConnectionPool.from_address(
            "127.0.0.1", server.server_port, clock, PLATFORM_TARGET_HEADERS
        )
    finally:
        server.stop()


def send(connections, body=b"", request_id="r1", expected_instance=""):
    """Send one request, and return its outcome."""
    request = TargetRequest(
        method="POST" if body else "GET",
        path="/",
        headers=[("Host", "a"), (PLATFORM_TARGET_HEADERS.request_id, request_id)],
        body=body,
        deadline=connections.clock.monotonic() + 5.0,
        needs_new_connection=False,
        body_limit_bytes=1_000_000,
        request_id=request_id,
        expected_instance=expected_instance,
    )
    return call_target(connections, request, None, lambda: None)


def read_request_head(sock):
    """Read one request without a body; return False once the connection is closed."""
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        chunk = b"" if sock.closed else sock.recv(65_536)
        if not chunk:
            return False
        data += chunk
    return True


@then(
    "a response is read the same however its bytes are fragmented, and a truncated one is never "
    "complete"
)
def check_fragmentation(context):
    responses = st.sampled_from([SIZED, CHUNKED, INTERIM])

    @seed(context.seed)
    @given(responses, st.lists(st.integers(0, 90), max_size=6))
    def check_in_pieces(data, cuts):
        reader = feed_in_pieces(data, [cut for cut in cuts if cut < len(data)])
        assert reader.is_final and reader.is_reusable
        assert (reader.status_code, reader.body) == (200, b"hello")

    @seed(context.seed)
    @given(responses, st.integers(1, 90))
    def check_cut_short(data, length):
        reader = ResponseReader("GET")
        reader.feed(data[: min(length, len(data) - 1)])
        with suppress(HTTPParseError):
            reader.feed(b"")
        assert not reader.is_final

    check_in_pieces()
    check_cut_short()


@then(
    "bytes after the end do not change the response, and the connection is not reused unless "
    "they are blank lines"
)
def check_trailing_bytes(context):
    trailing_bytes = st.one_of(
        st.sampled_from([SIZED, CHUNKED]), st.binary(min_size=1, max_size=30)
    )

    @seed(context.seed)
    @given(st.sampled_from([SIZED, CHUNKED]), trailing_bytes, st.booleans())
    def check(data, trailing, is_together):
        reader = ResponseReader("GET")
        if is_together:
            reader.feed(data + trailing)
        else:
            reader.feed(data)
            reader.feed(trailing)
        assert (reader.status_code, reader.body) == (200, b"hello")
        # Only blank lines after a response leave the connection reusable.
        assert not reader.is_reusable or not trailing.strip(b"\r\n")

    check()


@then(
    "a response for another request, an encoded one, one without the target's headers, or an "
    "unproven 503 or 429 is a failure that may have run"
)
def check_validation(context):
    valid_headers = [("X-Comfreyhitch-Request-Id", "r1"), ("X-Comfreyhitch-Server-Stamp", "s")]
    assert validate_response(
        PLATFORM_TARGET_HEADERS, Response(200, "OK", valid_headers), "r1", "i-1"
    ).is_ok()
    invalid_responses = [
        Response(200, "OK", [("X-Comfreyhitch-Request-Id", "r2"), valid_headers[1]]),
        Response(200, "OK", valid_headers[1:]),
        Response(200, "OK", valid_headers[:1]),
        Response(200, "OK", [*valid_headers, ("Content-Encoding", "gzip")]),
        # These statuses would mean that the request has not run, but no header proves it.
        Response(503, "Busy", valid_headers),
        Response(429, "Busy", valid_headers),
    ]
    for response in invalid_responses:
        failure = validate_response(PLATFORM_TARGET_HEADERS, response, "r1", "i-1").err_value
        assert failure.verdict is Verdict.MAY_HAVE_RUN, response
        assert failure.status not in (408, 421, 429, 503), response


@then("the target's header or the id of an unexpected instance proves that a request did not run")
def check_not_run(context):
    request_id = ("X-Comfreyhitch-Request-Id", "r1")
    refused = Response(503, "Busy", [request_id, ("X-Comfreyhitch-Not-Executed", "1")])
    failure = validate_response(PLATFORM_TARGET_HEADERS, refused, "r1", "i-1").err_value
    assert (failure.verdict, failure.refusal) == (Verdict.NOT_RUN, Refusal.TARGET_REFUSED)
    other = Response(421, "Misdirected", [request_id, ("X-Comfreyhitch-Instance-Id", "i-2")])
    failure = validate_response(PLATFORM_TARGET_HEADERS, other, "r1", "i-1").err_value
    assert (failure.verdict, failure.refusal) == (Verdict.NOT_RUN, Refusal.WRONG_INSTANCE)
    unexpected = validate_response(PLATFORM_TARGET_HEADERS, other, "r1", "").err_value
    assert unexpected.verdict is Verdict.MAY_HAVE_RUN


@then("a response proves that a request did not run only if it names this request and says so")
def check_proofs(context):
    id_values = st.lists(st.sampled_from(["r1", "r2", ""]), max_size=2)
    not_run_values = st.sampled_from([None, "1", "0", "", "no"])
    instances = st.sampled_from([None, "", "i-1", "i-2"])
    statuses = st.sampled_from([200, 400, 421, 429, 503])

    @seed(context.seed)
    @given(id_values, not_run_values, instances, statuses)
    def check(ids, not_run, instance, status):
        headers = [("X-Comfreyhitch-Request-Id", value) for value in ids]
        headers += [("X-Comfreyhitch-Not-Executed", not_run)] if not_run is not None else []
        headers += [("X-Comfreyhitch-Instance-Id", instance)] if instance is not None else []
        response = Response(status, "", headers)
        outcome = validate_response(PLATFORM_TARGET_HEADERS, response, "r1", "i-1")
        is_not_run = outcome.is_err() and outcome.err_value.verdict is Verdict.NOT_RUN
        is_misdirected = status == 421 and instance == "i-2"
        is_proved = set(ids) == {"r1"} and (not_run == "1" or is_misdirected)
        assert is_not_run == is_proved, (response, outcome)

    check()


@then("an answer between daemons proves that a request did not run only if it says so whole")
def check_answers(context):
    verdicts = st.sampled_from([0, 1, 2, 3, -1])
    refusals = st.sampled_from([None, "overloaded", "unknown-cause", ""])

    @seed(context.seed)
    @given(verdicts, refusals)
    def check(verdict, refusal):
        answer = CallAnswer("r", verdict, 200, "", [], b"", LoadReport(), refusal, "v1")
        outcome = parse_answer(answer)
        assert outcome.is_ok() == (verdict == 2 and refusal is None)
        if outcome.is_err() and outcome.err_value.verdict is Verdict.NOT_RUN:
            assert verdict == 0 and refusal is not None

    check()
    assert parse_answer(None).err_value.verdict is Verdict.MAY_HAVE_RUN


@then(
    "a refusal without an id that follows an earlier response proves nothing about the next request"
)
def check_stray_refusal(context):
    stray = b"HTTP/1.1 400 Bad\r\nX-Comfreyhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

    def respond(sock):
        stray_bytes = b""
        while read_request_head(sock):
            sock.sendall(stray_bytes + STAMPED)
            stray_bytes = stray

    with running_target(respond) as connections:
        assert send(connections).is_ok()
        failure = send(connections).err_value
        assert failure.verdict is Verdict.MAY_HAVE_RUN, failure
        assert not connections.idle_connections


@then("its response is returned, the rest of the body is not sent, and the connection is closed")
def check_early_response(context):
    received = []

    def respond_early(sock):
        sock.recv(1000)
        sock.sendall(STAMPED)
        gevent.sleep(0.2)
        size = 0
        while chunk := sock.recv(65_536):
            size += len(chunk)
        received.append(size)

    with running_target(respond_early) as connections:
        outcome = send(connections, body=b"x" * 20 * BODY_BYTES)
        assert outcome.ok_value.body == b"ok", outcome
        assert not connections.idle_connections
        gevent.sleep(0.4)
    assert received and received[0] < 20 * BODY_BYTES - 1000


@then("an idle connection is reused only while it is open and has no unread bytes")
def check_connection_reuse(context):
    accepted = []
    actions_by_name = {
        "open": lambda sock: None,
        "closed": lambda sock: sock.close(),
        "stray": lambda sock: sock.sendall(STAMPED),
    }
    for name, after_response in actions_by_name.items():
        accepted.clear()

        def respond(sock, after_response=after_response):
            accepted.append(sock)
            while read_request_head(sock):
                sock.sendall(STAMPED)
                after_response(sock)

        with running_target(respond) as connections:
            for _ in range(2):
                assert send(connections).is_ok(), name
                gevent.sleep(0.05)
        assert len(accepted) == (1 if name == "open" else 2), name


@then("an earlier refusal that is written once more proves nothing about the next request")
def check_repeated_refusal(context):
    refused = (
        b"HTTP/1.1 503 Busy\r\nX-Comfreyhitch-Request-Id: old\r\n"
        b"X-Comfreyhitch-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    misdirected = (
        b"HTTP/1.1 421 Misdirected\r\nX-Comfreyhitch-Request-Id: old\r\n"
        b"X-Comfreyhitch-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n"
    )
    for refusal in (refused, misdirected):
        connections_seen = []

        def respond(sock, refusal=refusal, connections_seen=connections_seen):
            connections_seen.append(sock)
            while read_request_head(sock):
                sock.sendall(refusal)

        with running_target(respond) as connections:
            old = send(connections, request_id="old", expected_instance="i-1").err_value
            assert old.verdict is Verdict.NOT_RUN, old
            failure = send(connections, request_id="new", expected_instance="i-1").err_value
            assert failure.verdict is Verdict.MAY_HAVE_RUN, failure
            # Nothing more is read from a connection whose responses are out of step.
            assert not connections.idle_connections
        assert len(connections_seen) == 1


@then("a target that ends in the middle of its head, by a close or a reset, gave no response")
def check_cut_heads(context):
    head_length = STAMPED.index(b"\r\n\r\n") + 4
    for length in range(head_length):
        for has_reset in (False, True):

            def respond(sock, length=length, has_reset=has_reset):
                read_request_head(sock)
                sock.sendall(STAMPED[:length])
                if has_reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()

            with running_target(respond) as connections:
                failure = send(connections).err_value
                assert failure.verdict is Verdict.MAY_HAVE_RUN, (length, has_reset, failure)
                assert failure.status == 504, (length, has_reset, failure)
                assert not connections.idle_connections
