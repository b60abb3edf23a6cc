"""Pooled connections to peers, each of which carries one call at a time."""

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeVar

import gevent.socket
from thrift.Thrift import TException

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.held_bytes import ANSWER_SHARE, GiveWayError, HeldBytes
from comfreyhitch.core.verdicts import Body
from comfreyhitch.wire.exceptions import (
    AnswerNotHeldError,
    NoRoomError,
    PeerError,
    PeerTimeoutError,
)
from comfreyhitch.wire.following_bodies import is_following, send_until_answered
from comfreyhitch.wire.frames import make_frame_protocol
from comfreyhitch.wire.generated import Peer
from comfreyhitch.wire.generated.ttypes import CallAnswer, CallRequest, Greeting
from comfreyhitch.wire.sockets import connect, is_disconnected, split_address, wait_readable
from comfreyhitch.wire.transports import PeerTransport

CONNECT_TIMEOUT = timedelta(milliseconds=200)
# How long an answer may take after its first bytes. The facts of a large fleet take seconds on a
# narrow link.
MAX_ANSWER_SECONDS = 30.0
MAX_IDLE_TIME = timedelta(seconds=20)
MAX_IDLE_CONNECTIONS = 64

Answer = TypeVar("Answer")


@dataclass(slots=True)
class PeerConnection:
    """Hold one connection to a peer, and the peer's greeting, which contains its boot id."""

    address: str
    sock: gevent.socket.socket
    transport: PeerTransport
    client: Peer.Client
    opened_at: float
    idle_since: float
    greeting: Greeting | None = None
    is_used: bool = False
    # Whether the peer answered before it had read the whole request.
    is_cut_short: bool = False

    @classmethod
    def from_address(
        cls,
        address: str,
        source_host: str,
        clock: Clock,
        timeout_seconds: float,
        held: HeldBytes | None = None,
    ) -> "PeerConnection":
        """Open a connection; raise `PeerError` if that fails."""
        host, port = split_address(address)
        try:
            sock = connect(host, port, timeout_seconds, source_host)
        except OSError as error:
            raise PeerError(f"connect to {address}: {error}", may_be_sent=False) from error
        transport = PeerTransport(sock, clock, held)
        protocol = make_frame_protocol(transport)
        now = clock.monotonic()
        return cls(address, sock, transport, Peer.Client(protocol), opened_at=now, idle_since=now)

    @property
    def takes_following_bodies(self) -> bool:
        """Return whether the peer takes bodies that follow their message; older ones do not."""
        return self.greeting is not None and bool(self.greeting.takes_following_bodies)

    def close(self) -> None:
        """Close the connection, so that no later call reads a late answer."""
        self.sock.close()

    def set_timeout(self, seconds: float, deadline: float | None = None) -> None:
        """Set the timeout of each blocking operation on the socket, in seconds.

        If a deadline in monotonic seconds is given, reads fail after it.
        """
        self.transport.limit_reads(max(0.001, seconds), deadline)


def send_call(
    connection: PeerConnection,
    request: CallRequest,
    body: Body,
    timeout_seconds: float,
    clock: Clock,
) -> None:
    """Send a call and its body; raise `PeerError` if it could not be sent completely.

    The rest of a body is not sent if the peer answers before it has read it. To a peer that takes
    no bodies that follow their message, all are sent as a part of it.
    """
    connection.set_timeout(timeout_seconds)
    connection.is_used = True
    deadline = clock.monotonic() + timeout_seconds
    try:
        if not (is_following(body) and connection.takes_following_bodies):
            request.body = bytes(body)
            connection.client.send_call(request)
            return
        request.body = b""
        request.body_bytes = len(body)
        connection.client.send_call(request)
        is_sent = send_until_answered(connection.sock, body, deadline, clock)
        connection.is_cut_short = not is_sent
    except (OSError, TException) as error:
        # The frame was not sent completely, and a peer runs only calls in complete frames.
        connection.close()
        raise PeerError(f"send to {connection.address}: {error}", may_be_sent=False) from error


def receive_call(
    connection: PeerConnection,
    request_id: str,
    timeout_seconds: float,
    deadline: float,
    expected_bytes: int = 0,
) -> CallAnswer:
    """Return the answer to the last call that was sent; raise `PeerError` if none arrives.

    Each part of it has to arrive within the timeout, and the last one before the deadline, which
    is in monotonic seconds. The bytes of its body that are expected are counted as held already.
    Raise `AnswerNotHeldError` if there is no memory for the others.
    """
    connection.set_timeout(timeout_seconds, deadline)
    try:
        answer = connection.client.recv_call()
        if answer.body_bytes is not None:
            answer.body = connection.transport.read_body(
                answer.body_bytes, deadline, expected_bytes, ANSWER_SHARE
            )
    except TimeoutError as error:
        connection.close()
        raise PeerTimeoutError(f"no answer from {connection.address}", may_be_sent=True) from error
    except NoRoomError as error:
        connection.close()
        raise AnswerNotHeldError(f"{connection.address}: {error}", may_be_sent=True) from error
    except (OSError, TException, EOFError, GiveWayError) as error:
        connection.close()
        raise PeerError(f"receive from {connection.address}: {error}", may_be_sent=True) from error
    if answer.request_id != request_id:
        connection.close()
        raise PeerError(f"{connection.address} answered another request", may_be_sent=True)
    return answer


@dataclass(slots=True)
class PeerPool:
    """Keep idle connections to peers for reuse."""

    own_address: str
    source_host: str
    clock: Clock
    held: HeldBytes | None = None
    idle_by_address: dict[str, list[PeerConnection]] = field(
        default_factory=lambda: defaultdict(list)
    )
    invalid_before_by_address: dict[str, float] = field(default_factory=dict)

    @classmethod
    def from_address(
        cls, own_address: str, source_host: str, clock: Clock, held: HeldBytes | None = None
    ) -> "PeerPool":
        """Return an empty pool of connections from `source_host` that greet as `own_address`.

        The bytes of large messages are counted in `held`.
        """
        return cls(own_address, source_host, clock, held)

    def acquire(self, address: str, timeout_seconds: float) -> PeerConnection:
        """Return an idle connection or a new one; raise `PeerError` if none can be opened."""
        idle = self.idle_by_address[address]
        while idle:
            connection = idle.pop()
            if self._is_reusable(connection):
                return connection
            connection.close()
        return self.open(address, timeout_seconds)

    def open(self, address: str, timeout_seconds: float) -> PeerConnection:
        """Return a new connection; raise `PeerError` if it can't be opened."""
        limit = min(timeout_seconds, CONNECT_TIMEOUT.total_seconds())
        connection = PeerConnection.from_address(
            address, self.source_host, self.clock, limit, self.held
        )
        try:
            connection.set_timeout(limit, self.clock.monotonic() + limit)
            connection.greeting = connection.client.greet(self.own_address)
        except (OSError, TException, EOFError, GiveWayError) as error:
            connection.close()
            raise PeerError(f"greet {address}: {error}", may_be_sent=False) from error
        return connection

    def release(self, connection: PeerConnection) -> None:
        """Return a connection to the pool after a complete answer to its last call."""
        idle = self.idle_by_address[connection.address]
        connection.idle_since = self.clock.monotonic()
        if len(idle) >= MAX_IDLE_CONNECTIONS or connection.is_cut_short:
            connection.close()
            return
        idle.append(connection)

    def invalidate_older(self, address: str) -> None:
        """Close the idle connections to an address; no connection opened before now is reused."""
        self.invalid_before_by_address[address] = self.clock.monotonic()
        for connection in self.idle_by_address.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self.idle_by_address.values():
            for connection in idle:
                connection.close()
        self.idle_by_address.clear()

    def _is_reusable(self, connection: PeerConnection) -> bool:
        idle_seconds = self.clock.monotonic() - connection.idle_since
        if idle_seconds > MAX_IDLE_TIME.total_seconds():
            return False
        invalid_before = self.invalid_before_by_address.get(connection.address, 0.0)
        if connection.opened_at < invalid_before:
            return False
        return not is_disconnected(connection.sock)


def wait_for_answer(connection: PeerConnection, timeout_seconds: float) -> bool:
    """Wait until an answer starts to arrive, and return whether it did in time."""
    return wait_readable(connection.sock, timeout_seconds)


def call_peer(
    pool: PeerPool, address: str, timeout_seconds: float, call: Callable[[Peer.Client], Answer]
) -> Answer:
    """Make an idempotent call, and retry it on a new connection if a reused one fails.

    Raise `PeerError` if no answer arrives.
    """
    connection = pool.acquire(address, timeout_seconds)
    is_reused = connection.is_used
    try:
        answer = _call_once(pool, connection, timeout_seconds, call)
    except PeerError:
        if not is_reused:
            raise
        pool.invalidate_older(address)
        connection = pool.open(address, timeout_seconds)
        answer = _call_once(pool, connection, timeout_seconds, call)
    pool.release(connection)
    return answer


def _call_once(
    pool: PeerPool,
    connection: PeerConnection,
    timeout_seconds: float,
    call: Callable[[Peer.Client], Answer],
) -> Answer:
    deadline = pool.clock.monotonic() + timeout_seconds + MAX_ANSWER_SECONDS
    connection.set_timeout(timeout_seconds, deadline)
    connection.is_used = True
    try:
        return call(connection.client)
    except TimeoutError as error:
        connection.close()
        raise PeerTimeoutError(f"no answer from {connection.address}", may_be_sent=True) from error
    except (OSError, TException, EOFError, GiveWayError) as error:
        connection.close()
        raise PeerError(f"call to {connection.address}: {error}", may_be_sent=True) from error
    except BaseException:
        connection.close()
        raise
