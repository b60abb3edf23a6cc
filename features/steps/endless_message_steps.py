"""Test that messages of peers without end stop nothing else."""

import time
from contextlib import suppress
from types import SimpleNamespace

import gevent
from behave import then
from gevent.server import StreamServer
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.verdicts import Refusal, Verdict
from comfreyhitch.egress.attempts import MAX_LATE_READ_SECONDS, Attempt, read_outcome, wait_for_any
from comfreyhitch.egress.models import Candidate, TargetView
from comfreyhitch.egress.views import record_sent
from comfreyhitch.wire.codec import make_protocol
from comfreyhitch.wire.connections import PeerConnection, PeerPool
from comfreyhitch.wire.generated import Peer
from comfreyhitch.wire.generated.ttypes import Greeting, LoadReport
from comfreyhitch.wire.server import make_peer_server
from features.flooding import MAX_PAUSE_SECONDS, flooding_clients, measure_longest_pause


@then("an answer that arrives slowly is given up shortly after the deadline of its call")
def check_slow_answers(context):
    # The first bytes announce a frame of 200 bytes, of which one arrives each 50 ms.
    frame = b"\x00\x00\x00\xc8" + b"\x80" * 200

    def respond(sock, _):
        with suppress(OSError):
            for byte in frame:
                sock.sendall(bytes([byte]))
                gevent.sleep(0.05)

    server = StreamServer(("127.0.0.1", 0), respond)
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    clock = Clock.from_system()
    pool = PeerPool.from_address("127.0.0.1:1", "127.0.0.1", clock)
    connection = PeerConnection.from_address(
        f"127.0.0.1:{server.server_port}", "127.0.0.1", clock, timeout_seconds=1.0
    )
    view = TargetView(connection.address)
    record_sent(view)
    candidate = Candidate(connection.address, "za", "v1", 1)
    attempt = Attempt("id", candidate, view, connection, clock.monotonic())
    egress = SimpleNamespace(blackboard=SimpleNamespace(clock=clock), pool=pool)
    call = SimpleNamespace(deadline=clock.monotonic() + 1.0, expected_bytes=0)
    assert wait_for_any([attempt], 1.0) is attempt
    outcome = read_outcome(egress, attempt, call)
    late_seconds = clock.monotonic() - call.deadline
    assert outcome.err_value.refusal is Refusal.PEER_FAILED, outcome
    assert outcome.err_value.verdict is Verdict.MAY_HAVE_RUN
    assert 0.0 < late_seconds < MAX_LATE_READ_SECONDS + 0.2, late_seconds


@then("many messages of a peer at once let other greenlets run")
def check_many_messages(context):
    class SlowHandler(Peer.Iface):
        """Take some time for each greeting."""

        def greet(self, caller):
            """Return a greeting after 1 ms of work."""
            until = time.monotonic() + 0.001
            while time.monotonic() < until:
                pass
            return Greeting(boot_id="b", load=LoadReport(0, 0, 1, 0.0, True))

    server = make_peer_server("127.0.0.1", 0, lambda sock: SlowHandler(), Clock.from_system())
    server.start()
    context.add_cleanup(server.stop, timeout=0)
    message = record_message(lambda client: client.send_greet("127.0.0.1:1"))
    with flooding_clients(server.server_port, b"", message * 2000, seconds=1.5):
        pause = measure_longest_pause(lambda: gevent.sleep(1.0))
    assert pause < MAX_PAUSE_SECONDS, pause


def record_message(send):
    """Return the bytes that a client of peers sends."""
    buffer = TMemoryBuffer()
    send(Peer.Client(make_protocol(TFramedTransport(buffer))))
    return buffer.getvalue()
