"""Connections of callers: what each of them does, and why it ends."""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum

import gevent
import gevent.socket
from gevent.hub import get_hub

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.held_bytes import Holder
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.stopping import DaemonStoppingError


class ConnectionPhase(StrEnum):
    """Name what a connection of a caller does."""

    # No byte of the next request has arrived.
    WAITING = "waiting"
    # The head of a request arrives.
    READING = "reading"
    # The head of a request has arrived, and the response is not sent completely.
    HANDLING = "handling"
    # The last response is sent, and the caller has not closed its side yet.
    CLOSING = "closing"


class EndReason(StrEnum):
    """Name why a connection of a caller ends."""

    CALLER_CLOSED = "caller-closed"
    IDLE_TIMEOUT = "idle-timeout"
    HEAD_TIMEOUT = "head-timeout"
    RESPONSE_SENT = "response-sent"
    REQUEST_INVALID = "request-invalid"
    STOPPING = "stopping"
    # The caller took no byte of its response for some seconds.
    CALLER_STALLED = "caller-stalled"
    # The caller read its response slowly, and others needed the memory that it held.
    GAVE_WAY = "gave-way"
    # The connection waited for longest when others had no room.
    CONNECTION_LIMIT = "connection-limit"


def has_no_further_request() -> bool:
    """Return False, for a connection that no handler reads."""
    return False


@dataclass(slots=True, eq=False)
class CallerConnection(Holder):
    """Hold one connection of a caller; times are monotonic seconds.

    Its held bytes are those of the current request and its response.
    """

    sock: gevent.socket.socket
    opened_at: float
    phase_since: float
    phase: ConnectionPhase = ConnectionPhase.WAITING
    end_reason: EndReason = EndReason.CALLER_CLOSED
    # Whether a request was given up before its body was read, so that no other one can follow.
    has_unread_body: bool = False
    # Known once the current request has been classified.
    call: OutgoingCall | None = None
    # Returns whether bytes of a further request have arrived.
    has_further_request: Callable[[], bool] = has_no_further_request
    # Ends the wait for the current request's response; None while there is no such wait.
    interrupt: Callable[[], None] | None = None


@dataclass(slots=True)
class CallerConnections:
    """Hold the open connections of callers."""

    clock: Clock
    by_socket: dict[gevent.socket.socket, CallerConnection] = field(default_factory=dict)

    def list_interruptible(self) -> list[CallerConnection]:
        """Return the connections whose request has no whole response, or no whole body, yet."""
        return [item for item in self.by_socket.values() if item.interrupt is not None]

    def list_in_phase(self, phase: ConnectionPhase) -> list[CallerConnection]:
        """Return the connections in a phase."""
        return [connection for connection in self.by_socket.values() if connection.phase is phase]


def is_idempotent(connection: CallerConnection) -> bool:
    """Return whether the current request may run more than once; one that is not known may."""
    return connection.call is None or connection.call.is_idempotent


def is_receiving(connection: CallerConnection) -> bool:
    """Return whether the response to the current request is being received."""
    return connection.call is not None and connection.call.is_receiving


def add_connection(connections: CallerConnections, sock: gevent.socket.socket) -> CallerConnection:
    """Add a connection that has just been accepted, and return its state."""
    now = connections.clock.monotonic()
    connection = CallerConnection(sock, now, now)
    connections.by_socket[sock] = connection
    return connection


def enter_phase(
    connections: CallerConnections, connection: CallerConnection, phase: ConnectionPhase
) -> None:
    """Record that a connection enters a phase."""
    connection.phase = phase
    connection.phase_since = connections.clock.monotonic()
    if phase is ConnectionPhase.WAITING:
        connection.call = None


@contextmanager
def interruptible(connection: CallerConnection) -> Iterator[None]:
    """Let a stop of the daemon raise `DaemonStoppingError` in the current greenlet."""
    greenlet = gevent.getcurrent()
    connection.interrupt = lambda: greenlet.throw(DaemonStoppingError)
    try:
        yield
    finally:
        connection.interrupt = None


def interrupt_requests(connections: Iterable[CallerConnection]) -> None:
    """End the waits for the responses of requests."""
    for connection in connections:
        # Only the hub may switch into another greenlet and return here afterwards.
        get_hub().loop.run_callback(_interrupt, connection)


def _interrupt(connection: CallerConnection) -> None:
    if connection.interrupt is not None:
        connection.interrupt()


def describe_request(connection: CallerConnection, now: float) -> dict[str, object]:
    """Return the log fields of the request on a connection, with its unanswered attempts."""
    fields: dict[str, object] = {
        "phase": connection.phase.value,
        "phase_ms": round((now - connection.phase_since) * 1000),
    }
    call = connection.call
    if call is not None:
        fields["caller_request_id"] = call.caller_request_id
        fields["service"] = call.service
        fields["route"] = call.route
        fields["left_ms"] = round((call.deadline - now) * 1000)
        fields["tries"] = [record.describe() for record in call.attempt_records]
    return fields
