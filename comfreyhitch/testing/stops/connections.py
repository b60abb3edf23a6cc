"""Send requests over plain sockets, and see exactly how each connection ends."""

import socket
import time
from dataclasses import dataclass

import gevent.socket

from comfreyhitch.testing.platform_models import OUTBOUND_PORT
from comfreyhitch.testing.stops.records import Ending

CONNECT_TIMEOUT_SECONDS = 1.0
READ_BYTES = 65536
HEAD_END = b"\r\n\r\n"


@dataclass(slots=True)
class CallerConnection:
    """Hold a caller's connection, and the bytes that were received but not used yet."""

    sock: gevent.socket.socket
    opened_at: float
    last_used_at: float
    received: bytes = b""
    is_new: bool = True
    # Set when an answer says that the connection ends.
    is_closing: bool = False
    ended_by: Ending | None = None
    ended_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold what came back for one request, and when."""

    ending: Ending
    status: int
    ended_at: float


def open_connection(host: str) -> CallerConnection:
    """Connect to a daemon; raise `OSError` if that fails."""
    sock = gevent.socket.create_connection((host, OUTBOUND_PORT), CONNECT_TIMEOUT_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    now = time.time()
    return CallerConnection(sock, now, now)


def is_usable(connection: CallerConnection) -> bool:
    """Return whether the next request may be sent on a connection."""
    if connection.is_closing or connection.ended_by is not None:
        return False
    try:
        # Nothing may arrive between two requests, so anything to read is the end.
        connection.sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def read_answer(connection: CallerConnection, until: float) -> Answer:
    """Read one whole answer, or tell how the connection ended."""
    while (size := _get_answer_size(connection.received)) is None:
        if not _receive(connection, until):
            is_partial = bool(connection.received)
            ending = Ending.PARTIAL if is_partial else connection.ended_by
            return Answer(ending, 0, connection.ended_at)
    answer, connection.received = connection.received[:size], connection.received[size:]
    head = answer.partition(HEAD_END)[0].lower()
    connection.is_closing |= b"\r\nconnection: close" in head
    return Answer(Ending.ANSWERED, int(head.split(b" ", 2)[1]), time.time())


def _get_answer_size(received: bytes) -> int | None:
    """Return the length of the first answer, or None if it is not complete."""
    head, separator, _ = received.partition(HEAD_END)
    if not separator:
        return None
    body_start = len(head) + len(HEAD_END)
    lines = [line.partition(b":") for line in head.lower().split(b"\r\n")[1:]]
    values = {name: value.strip() for name, _, value in lines}
    if values.get(b"transfer-encoding") == b"chunked":
        end = received.find(b"0" + HEAD_END, body_start)
        return None if end < 0 else end + 1 + len(HEAD_END)
    size = body_start + int(values.get(b"content-length", b"0"))
    return size if len(received) >= size else None


def _receive(connection: CallerConnection, until: float) -> bool:
    """Receive some bytes; return False, and record how, if the connection has ended."""
    if connection.ended_by is not None:
        return False
    try:
        connection.sock.settimeout(max(0.01, until - time.time()))
        chunk = connection.sock.recv(READ_BYTES)
    except TimeoutError:
        return _end(connection, Ending.SILENT)
    except OSError:
        return _end(connection, Ending.RESET)
    connection.received += chunk
    return bool(chunk) or _end(connection, Ending.CLOSED)


def _end(connection: CallerConnection, ending: Ending) -> bool:
    connection.ended_by, connection.ended_at = ending, time.time()
    return False
