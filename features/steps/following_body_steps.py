"""Test bodies that follow their message between daemons, and are not read to their end."""

import socket
from types import SimpleNamespace
from unittest.mock import patch

import gevent.socket
from behave import then
from thrift.transport.TTransport import TMemoryBuffer

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.held_bytes import HeldBytes
from comfreyhitch.daemon import peer_handler
from comfreyhitch.daemon.peer_handler import PeerHandler
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


def exchange(context, sent, held=None):
    """Send bytes to a daemon's peer server; return its answers, once the connection has ended."""
    held = held or HeldBytes()
    held_before = held.total
    runs = []
    services = SimpleNamespace(
        blackboard=SimpleNamespace(clock=Clock.from_system(), held_bytes=held),
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
    with (
        patch.object(peer_handler, "make_load_report", lambda ingress: LOAD),
        patch.object(peer_handler, "handle_call", lambda ingress, call: runs.append(call)),
        gevent.socket.create_connection(("127.0.0.1", server.server_port), timeout=10.0) as sock,
    ):
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
