"""Test bodies that follow their message between daemons, and are not read to their end."""

import itertools
import socket
from types import SimpleNamespace
from unittest.mock import patch

import gevent.socket
from behave import then
from result import Ok
from thrift.transport.TTransport import TMemoryBuffer

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.held_bytes import HeldBytes
from comfreyhitch.core.verdicts import Response
from comfreyhitch.daemon import peer_handler
from comfreyhitch.daemon.peer_handler import PeerHandler
from comfreyhitch.wire.connections import PeerPool, receive_call, send_call
from comfreyhitch.wire.frames import make_frame_protocol
from comfreyhitch.wire.generated import Peer
from comfreyhitch.wire.generated.ttypes import CallRequest, LoadReport, WireVerdict
from comfreyhitch.wire.server import make_peer_server

BODY_BYTES = 200_000
MAX_BODY_BYTES = 1_000_000
INVALID_PRIORITY = 99
LOAD = LoadReport(0, 0, 1, 0.0, True)


def make_call_frame(priority=1, body_bytes=BODY_BYTES, timeout_seconds=5.0):
    """Return the message of a call whose body follows it."""
    buffer = TMemoryBuffer()
    request = CallRequest(
        "id", "s", "POST", "/", [], b"", timeout_seconds, "t", priority, True, None, "f", "r", 1
    )
    request.body_bytes = body_bytes
    Peer.Client(make_frame_protocol(buffer)).send_call(request)
    return buffer.getvalue()


def read_answers(answered):
    """Return all answers on a connection that has ended."""
    protocol = make_frame_protocol(TMemoryBuffer(answered))
    client = Peer.Client(protocol)
    answers = []
    while True:
        try:
            answers.append(client.recv_call())
        except EOFError:
            return answers


def start_server(context, held, handle_call):
    """Start the peer server of a daemon that handles calls with a function; return its port."""
    services = SimpleNamespace(
        blackboard=SimpleNamespace(
            clock=Clock.from_system(), held_bytes=held, own_member=SimpleNamespace(boot_id="b")
        ),
        ingress=SimpleNamespace(settings=SimpleNamespace(body_limit_bytes=MAX_BODY_BYTES)),
    )
    server = make_peer_server(
        "127.0.0.1",
        0,
        lambda transport: PeerHandler(services, transport),
        Clock.from_system(),
        held=held,
    )
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    for name, function in (
        ("make_load_report", lambda ingress: LOAD),
        ("handle_call", lambda ingress, call: handle_call(call)),
    ):
        patched = patch.object(peer_handler, name, function)
        patched.start()
        context.add_cleanup(patched.stop)
    return server.server_port


def exchange(context, sent, held=None):
    """Send bytes to a daemon's peer server; return its answers, once the connection has ended."""
    held = held or HeldBytes()
    held_before = held.total
    runs = []
    port = start_server(context, held, runs.append)
    with gevent.socket.create_connection(("127.0.0.1", port), timeout=10.0) as sock:
        sock.sendall(sent)
        answered = bytearray()
        try:
            while data := sock.recv(65_536):
                answered += data
                # The other end waits for this end of the stream.
                sock.shutdown(socket.SHUT_WR)
        except ConnectionResetError:
            pass
    assert held.total == held_before, held.total
    return read_answers(bytes(answered)), runs


@then("a call whose body is not read gets one answer, and its connection ends")
def check_unread_body(context):
    # The body holds whole messages, which a reader that goes on would take for calls.
    body = make_call_frame(body_bytes=None) * 10
    refused = [
        make_call_frame(INVALID_PRIORITY, len(body)),
        make_call_frame(body_bytes=MAX_BODY_BYTES + 1),
        make_call_frame(body_bytes=-1),
    ]
    for frame in refused:
        answers, runs = exchange(context, frame + body)
        assert [answer.verdict for answer in answers] == [WireVerdict.NOT_RUN], answers
        assert runs == []
    full = HeldBytes.from_memory(1.0)
    full.total = int(full.limit)
    answers, runs = exchange(context, make_call_frame() + body, full)
    assert [answer.verdict for answer in answers] == [WireVerdict.NOT_RUN], answers
    assert runs == []


@then("a call whose body arrives late or in part is refused as not run, and its connection ends")
def check_late_body(context):
    part = b"x" * (BODY_BYTES // 2)
    answers, runs = exchange(context, make_call_frame(timeout_seconds=0.3) + part)
    assert [answer.verdict for answer in answers] == [WireVerdict.NOT_RUN], answers
    assert runs == []


@then("large bodies are part of the messages to and from daemons that do not take them otherwise")
def check_older_daemons(context):
    # Guards against a request that an older daemon runs without its body, and against an answer
    # that reaches a caller without its body.
    bodies = []

    def echo(call):
        bodies.append(bytes(call.body))
        return Ok(Response(status=200, reason="OK", body=bytearray(call.body)))

    port = start_server(context, HeldBytes(), echo)
    clock = Clock.from_system()
    pool = PeerPool.from_address("127.0.0.1:1", "127.0.0.1", clock)
    body = bytearray(b"0123456789" * (BODY_BYTES // 10))
    for takes_calls, takes_answers in itertools.product((True, False), repeat=2):
        connection = pool.open(f"127.0.0.1:{port}", 1.0)
        assert connection.takes_following_bodies
        if not takes_calls:
            connection.greeting.takes_following_bodies = None
        request = CallRequest("id", "s", "POST", "/", [], b"", 5.0, "t", 1, True, None, "f", "r", 1)
        request.takes_following_body = takes_answers or None
        send_call(connection, request, body, 5.0, clock)
        assert (request.body_bytes is not None) == takes_calls
        answer = receive_call(connection, "id", 5.0, clock.monotonic() + 5.0)
        assert (answer.body_bytes is not None) == takes_answers
        assert answer.body == body and bodies[-1] == body
        connection.close()
