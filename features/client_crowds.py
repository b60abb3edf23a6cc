"""Emulate crowds of clients that stay outside the limits of the configuration."""

import itertools
import struct
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import gevent
import gevent.socket

from comfreyhitch.platform.names import HEADER_DEADLINE_MS, HEADER_REQUEST_ID
from comfreyhitch.testing.platform_models import HOST_NAME, OUTBOUND_PORT

PATH = "/payments/x"
DEADLINE_MS = 10_000
CONNECT_TIMEOUT_SECONDS = 5.0
SEND_TIMEOUT_SECONDS = 8.0
# A body below 4 MiB, which was the largest that a daemon took when the crowds were chosen.
UNFINISHED_BYTES = 3_900_000
LARGE_CHUNK_BYTES = 1_000_000
SMALL_CHUNKS = 200_000
# More than the configuration of the tests allows.
ANNOUNCED_BYTES = 1_000_000_000
EXCESSIVE_BYTES = 80_000_000
ANSWER_BYTES = 3_900_000
SLOW_READ_BYTES = 500
SLOW_READ_INTERVAL_SECONDS = 0.25
TRICKLE_INTERVAL_SECONDS = 0.2
LATE_BODY_SECONDS = 1.8
FRAME_BYTES = 3_900_000
FRAME_LENGTH = struct.Struct("!i")

# What a client does on its connection until it is killed; it may end earlier.
ClientAction = Callable[[gevent.socket.socket], None]


def make_head(
    headers: str, *, path: str = PATH, method: str = "POST", deadline_ms: int = DEADLINE_MS
) -> bytes:
    """Return the head of a request with some more header lines."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"{HEADER_REQUEST_ID}: {uuid.uuid4().hex}",
        f"{HEADER_DEADLINE_MS}: {deadline_ms}",
        headers,
    ]
    return ("\r\n".join(line for line in lines if line) + "\r\n\r\n").encode()


def _make_chunks(size: int, chunk_bytes: int) -> Iterator[bytes]:
    chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
    return itertools.repeat(chunk, size // chunk_bytes)


def send_large_chunks_without_end(sock: gevent.socket.socket) -> None:
    """Send a body in large chunks, and leave its end out."""
    sock.sendall(make_head("Transfer-Encoding: chunked"))
    for chunk in _make_chunks(UNFINISHED_BYTES, LARGE_CHUNK_BYTES):
        sock.sendall(chunk)
    rest = UNFINISHED_BYTES % LARGE_CHUNK_BYTES
    sock.sendall(b"%x\r\n" % LARGE_CHUNK_BYTES + b"x" * rest)


def send_small_chunks_without_end(sock: gevent.socket.socket) -> None:
    """Send a body in chunks of one byte, and leave its end out."""
    sock.sendall(make_head("Transfer-Encoding: chunked"))
    sock.sendall(b"1\r\nx\r\n" * SMALL_CHUNKS)


def send_all_but_one_byte(sock: gevent.socket.socket) -> None:
    """Send a body with a length, and leave its last byte out."""
    sock.sendall(make_head(f"Content-Length: {UNFINISHED_BYTES}"))
    sock.sendall(b"x" * (UNFINISHED_BYTES - 1))


def announce_excessive_body(sock: gevent.socket.socket) -> None:
    """Announce a body far over the limit, and send it."""
    sock.sendall(make_head(f"Content-Length: {ANNOUNCED_BYTES}"))
    for _ in range(ANNOUNCED_BYTES // LARGE_CHUNK_BYTES):
        sock.sendall(b"x" * LARGE_CHUNK_BYTES)


def send_excessive_chunks(sock: gevent.socket.socket) -> None:
    """Send a body over the limit without announcing its length."""
    sock.sendall(make_head("Transfer-Encoding: chunked"))
    for chunk in _make_chunks(EXCESSIVE_BYTES, LARGE_CHUNK_BYTES):
        sock.sendall(chunk)


def read_slowly(sock: gevent.socket.socket) -> None:
    """Ask for a long answer, and read it slowly."""
    sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, 4096)
    sock.sendall(make_head("", path=f"{PATH}?padding_bytes={ANSWER_BYTES}", method="GET"))
    while sock.recv(SLOW_READ_BYTES):
        gevent.sleep(SLOW_READ_INTERVAL_SECONDS)


def send_half_a_head(sock: gevent.socket.socket) -> None:
    """Send the begin of a request's head only."""
    sock.sendall(make_head("")[:60])


def end_body_at_deadline(sock: gevent.socket.socket) -> None:
    """Send a body whose last byte arrives shortly before the deadline of its request."""
    deadline_ms = round(LATE_BODY_SECONDS * 1000) + 100
    sock.sendall(make_head(f"Content-Length: {UNFINISHED_BYTES}", deadline_ms=deadline_ms))
    sock.sendall(b"x" * (UNFINISHED_BYTES - 1))
    gevent.sleep(LATE_BODY_SECONDS)
    sock.sendall(b"x")


def trickle_body(sock: gevent.socket.socket) -> None:
    """Send all but the last kilobytes of a body at once, and these byte by byte."""
    sock.sendall(make_head(f"Content-Length: {UNFINISHED_BYTES}"))
    sock.sendall(b"x" * (UNFINISHED_BYTES - 4096))
    for _ in range(4095):
        sock.sendall(b"x")
        gevent.sleep(TRICKLE_INTERVAL_SECONDS)


def send_begin_of_frame(sock: gevent.socket.socket) -> None:
    """Announce a frame between daemons, and send little of it."""
    sock.sendall(FRAME_LENGTH.pack(FRAME_BYTES) + b"x" * 60)


def send_most_of_frame(sock: gevent.socket.socket) -> None:
    """Send a frame between daemons, and leave its last byte out."""
    sock.sendall(FRAME_LENGTH.pack(FRAME_BYTES) + b"x" * (FRAME_BYTES - 1))


ACTIONS_BY_NAME: dict[str, ClientAction] = {
    "send large chunks without end": send_large_chunks_without_end,
    "send small chunks without end": send_small_chunks_without_end,
    "send all but one byte of a body": send_all_but_one_byte,
    "announce a body far over the limit": announce_excessive_body,
    "send chunks far over the limit": send_excessive_chunks,
    "read long answers slowly": read_slowly,
    "send half a head": send_half_a_head,
    "end a body just before its deadline": end_body_at_deadline,
    "send the last bytes of a body one by one": trickle_body,
}
# What clients do that speak the protocol between daemons.
PEER_ACTIONS_BY_NAME: dict[str, ClientAction] = {
    "send the begin of a frame": send_begin_of_frame,
    "send most of a frame": send_most_of_frame,
}


@dataclass
class Crowd:
    """Hold clients that do the same, and their connections."""

    action: ClientAction
    clients: list[gevent.Greenlet] = field(default_factory=list)
    connections: list[gevent.socket.socket] = field(default_factory=list)

    def add_clients(self, host: str, count: int, port: int = OUTBOUND_PORT) -> None:
        """Let clients connect to a daemon."""
        self.clients += [gevent.spawn(self._run_client, host, port) for _ in range(count)]

    def wait(self, timeout_seconds: float) -> None:
        """Wait until each client has done what it does, but not for longer than a timeout."""
        gevent.joinall(self.clients, timeout=timeout_seconds)

    def leave(self) -> None:
        """Close all connections."""
        gevent.killall(self.clients)
        for connection in self.connections:
            connection.close()
        self.connections.clear()

    def _run_client(self, host: str, port: int) -> None:
        try:
            sock = gevent.socket.create_connection((host, port), timeout=CONNECT_TIMEOUT_SECONDS)
        except OSError:
            return
        self.connections.append(sock)
        sock.settimeout(SEND_TIMEOUT_SECONDS)
        try:
            self.action(sock)
        except OSError:
            # A daemon may refuse such a client, or close its connection.
            return
