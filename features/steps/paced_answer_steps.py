"""Test large answers between daemons over real sockets."""

import math
import struct
from contextlib import suppress
from types import SimpleNamespace
from unittest.mock import patch

import gevent
import gevent.socket
from behave import given, then
from gevent.event import AsyncResult
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.egress import attempts
from comfreyhitch.egress.attempts import Attempt, read_outcome, wait_for_any
from comfreyhitch.egress.models import Candidate, TargetView
from comfreyhitch.egress.views import record_sent
from comfreyhitch.ingress.state import count_calls_in_progress
from comfreyhitch.wire.codec import make_protocol
from comfreyhitch.wire.connections import PeerPool
from comfreyhitch.wire.generated import Peer
from comfreyhitch.wire.generated.ttypes import CallAnswer, CallRequest, Fact, Greeting, LoadReport
from comfreyhitch.wire.pacing import (
    LinkPacer,
    make_paced_send,
)
from comfreyhitch.wire.server import make_peer_server
from comfreyhitch.wire.sockets import wait_readable
from features.link_emulation import LINK_MEGABITS, MEAN_DOWNLOAD_BYTES, SMALL_BYTES

FACT_BYTES = 50_000


class SizedHandler(Peer.Iface):
    """Answer each call with a body whose size is the call's path."""

    def call(self, request):
        """Return a body of the size that the path names."""
        body = (b"%07d" % int(request.path)) * (int(request.path) // 7)
        load = LoadReport(0, 0, 1, 0.0, True)
        return CallAnswer(request.request_id, 2, 200, "OK", [], body, load, None, "v1")

    def fetch(self, heads):
        """Return a fact of some kilobytes, as a configuration has."""
        return [Fact("sections", "a", 1, b"x" * FACT_BYTES)]

    def greet(self, caller):
        """Return a greeting."""
        return Greeting(boot_id="b", load=LoadReport(0, 0, 1, 0.0, True))


@given("a peer server with a link of 8.5 Mbit/s")
def start_paced_server(context):
    clock = Clock.from_system()
    context.pacer = LinkPacer.from_bandwidth(LINK_MEGABITS, clock.monotonic())
    send = make_paced_send(context.pacer, clock)
    context.server = make_peer_server(
        "127.0.0.1", 0, lambda sock: SizedHandler(), Clock.from_system(), send
    )
    context.server.start()
    context.add_cleanup(context.server.stop, timeout=0)


def open_client(context):
    """Return a client with its own connection to the server, and its socket."""
    sock = gevent.socket.create_connection(("127.0.0.1", context.server.server_port))
    sock.settimeout(10.0)
    transport = TSocket()
    transport.setHandle(sock)
    return Peer.Client(make_protocol(TFramedTransport(transport))), sock


def send_sized_call(client, size):
    """Ask for an answer whose body has about this size."""
    request = CallRequest(
        "id", "s", "GET", str(size), [], b"", 10.0, "t", 1, True, None, "f", "r", 1
    )
    client.send_call(request)


def check_body(answer, size):
    """Check that a body is the one that was asked for."""
    assert answer.body == (b"%07d" % size) * (size // 7), len(answer.body)


@then("a small answer during large ones arrives within 250 ms, and all answers are complete")
def check_sockets(context):
    # Guards against answers that are cut or mixed when connections take turns. 8 downloads of
    # 90 KB take 0.75 s on this link; the bound for small ones allows for a busy machine.
    large = [open_client(context) for _ in range(8)]
    for client, _ in large:
        send_sized_call(client, MEAN_DOWNLOAD_BYTES)
    gevent.sleep(0.1)
    clock = Clock.from_system()
    small, small_sock = open_client(context)
    for _ in range(5):
        started_at = clock.monotonic()
        send_sized_call(small, SMALL_BYTES)
        check_body(small.recv_call(), SMALL_BYTES)
        seconds = clock.monotonic() - started_at
        assert seconds < 0.25, seconds
    assert context.pacer.backlog_bytes > 0
    for client, sock in large:
        check_body(client.recv_call(), MEAN_DOWNLOAD_BYTES)
        sock.close()
    small_sock.close()
    assert context.pacer.backlog_bytes == 0


@then("facts are sent at once beside a backlog of large answers")
def check_facts(context):
    # Guards against a configuration that arrives only after the backlog of responses is sent: a
    # change has to take effect within 2.5 s.
    large = [open_client(context) for _ in range(4)]
    for client, _ in large:
        send_sized_call(client, 500_000)
    gevent.sleep(0.6)
    client, client_sock = open_client(context)
    clock = Clock.from_system()
    started_at = clock.monotonic()
    facts = client.fetch([])
    seconds = clock.monotonic() - started_at
    assert seconds < 0.5, seconds
    assert context.pacer.backlog_bytes > 0
    assert len(facts[0].value) == FACT_BYTES
    for _, sock in [*large, (client, client_sock)]:
        sock.close()
    with gevent.Timeout(5.0):
        while context.pacer.frames:
            gevent.sleep(0.01)


@then("a peer that disconnects during a large answer leaves no backlog")
def check_disconnect(context):
    # Guards against a backlog that stays after an abandoned answer, and refuses requests forever.
    client, sock = open_client(context)
    send_sized_call(client, 2_000_000)
    with gevent.Timeout(2.0):
        while context.pacer.backlog_bytes == 0:
            gevent.sleep(0.01)
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()
    with gevent.Timeout(2.0):
        while context.pacer.backlog_bytes > 0:
            gevent.sleep(0.01)
    assert not context.pacer.frames


def serve_in_parts(listener, gaps):
    """Accept a connection, greet it, and send the answer to its call in parts after gaps."""
    sock, _ = listener.accept()
    read = TSocket()
    read.setHandle(sock)
    frames = []
    written = TSocket()
    written.setHandle(sock)
    written.write = frames.append
    processor = Peer.Processor(SizedHandler())
    protocols = [make_protocol(TFramedTransport(transport)) for transport in (read, written)]
    for wait_seconds in ([], gaps):
        processor.process(*protocols)
        frame = frames.pop()
        size = len(frame) // (len(wait_seconds) + 1) + 1
        sock.sendall(frame[:size])
        for number, seconds in enumerate(wait_seconds, 1):
            gevent.sleep(seconds)
            with suppress(OSError):
                sock.sendall(frame[number * size : (number + 1) * size])


def read_answer_in_parts(gaps):
    """Return the outcome of an attempt whose answer arrives in parts, its view and its times."""
    fake_clock = Clock.from_system()
    listener = gevent.socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    server = gevent.spawn(serve_in_parts, listener, gaps)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    pool = PeerPool.from_address("127.0.0.1:1", "127.0.0.1", fake_clock)
    connection = pool.open(address, 1.0)
    send_sized_call(connection.client, MEAN_DOWNLOAD_BYTES)
    view = TargetView(address, own_in_flight=1)
    started_at = fake_clock.monotonic()
    attempt = Attempt("id", Candidate(address, "za", "v1", 1), view, connection, started_at)
    egress = SimpleNamespace(
        settings=SimpleNamespace(overload_control="cost"),
        blackboard=SimpleNamespace(clock=fake_clock),
        pool=pool,
        latency_seconds_by_route={},
    )
    call = SimpleNamespace(service="s", route="r", deadline=math.inf, expected_bytes=0)
    wait_for_any([attempt], 1.0)
    began_at = fake_clock.monotonic()
    outcome = read_outcome(egress, attempt, call)
    listener.close()
    server.kill()
    pool.close()
    return outcome, view, began_at


@then(
    "an answer that arrives in parts is read whole, one that stalls is a failure, and a load "
    "report is as old as its first part"
)
def check_parts(context):
    # Guards against a paced answer that is given up because all of it takes longer than the time
    # for one part, and against an outdated load report that is taken as new.
    with patch.object(attempts, "READ_TIMEOUT_SECONDS", 1.5):
        outcome, view, began_at = read_answer_in_parts([0.4] * 5)
        assert len(outcome.unwrap().body) > MEAN_DOWNLOAD_BYTES - 7
        assert abs(view.reported_at - began_at) < 0.1, (view.reported_at, began_at)
        outcome, _, _ = read_answer_in_parts([0.1, 2.5, 0.1])
        assert outcome.unwrap_err().refusal is Refusal.PEER_FAILED


def begin_reading(egress, view):
    """Begin to read an answer, and return how to complete it."""
    answer = AsyncResult()
    connection = SimpleNamespace(answer=answer, close=lambda: None)
    attempt = Attempt("id", Candidate("a", "za", "v1", 1), view, connection, 0.0)
    call = SimpleNamespace(service="s", route="r", deadline=math.inf, expected_bytes=0)
    reading = gevent.spawn(read_outcome, egress, attempt, call)
    gevent.sleep(2 * attempts.SLOW_READ_SECONDS)

    def complete():
        load = LoadReport(0, 0, 1, 0.0, True)
        answer.set(CallAnswer("id", 2, 200, "OK", [], b"", load, None, "v1"))
        reading.get(timeout=2.0)

    return complete


@then("requests sent while answers arrive are counted, also if the answers overlap")
def check_overlapping_answers(context):
    # Guards against a negative count, with which a loaded target looks idle: the report of one
    # answer resets the count that another one started from.
    egress = SimpleNamespace(
        settings=SimpleNamespace(overload_control="cost"),
        blackboard=SimpleNamespace(clock=Clock.from_system()),
        pool=SimpleNamespace(release=lambda connection: None),
        latency_seconds_by_route={},
    )
    view = TargetView("a")

    def send(count):
        for _ in range(count):
            record_sent(view)

    with patch.object(attempts, "receive_call", lambda connection, *_: connection.answer.get()):
        send(10)
        complete_first = begin_reading(egress, view)
        send(2)
        complete_second = begin_reading(egress, view)
        send(1)
        complete_first()
        assert view.sent_since_report == 3, view.sent_since_report
        send(1)
        complete_second()
        assert view.sent_since_report == 2, view.sent_since_report


@then("a daemon that stops waits for the large answers that it sends")
def check_stop(context):
    # Guards against a stop that cuts off responses which their target has produced.
    ingress = SimpleNamespace(link=context.pacer, calls_in_progress=0)
    client, sock = open_client(context)
    send_sized_call(client, MEAN_DOWNLOAD_BYTES)
    assert wait_readable(sock, 2.0)
    assert count_calls_in_progress(ingress) == 1
    check_body(client.recv_call(), MEAN_DOWNLOAD_BYTES)
    gevent.sleep(0.01)
    assert count_calls_in_progress(ingress) == 0
    sock.close()
