"""Options and helpers for the TCP sockets to peers, targets and callers."""

import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from ipaddress import IPv4Address

import gevent.socket
from gevent import Timeout
from gevent.hub import get_hub
from gevent.socket import wait_read

from comfreyhitch.wire.read_loops import ReadLoop, ReadSource, record_bytes

# The kernel closes a connection when the other end leaves sent data unacknowledged for this
# long, even if no reset arrives.
USER_TIMEOUT = timedelta(seconds=5)
# The standard library of Python 3.11 has no constant for this Linux option.
_IP_BIND_ADDRESS_NO_PORT = 24
_READ_EVENT = 1
DISCARD_BYTES = 64 * 1024
# How often progress is checked within the time after which a connection counts as stalled.
STALL_CHECKS = 5


def configure_socket(sock: gevent.socket.socket) -> None:
    """Disable Nagle's algorithm, and limit how long sent data may stay unacknowledged."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    timeout_ms = int(USER_TIMEOUT.total_seconds() * 1000)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


def connect(
    host: str, port: int, timeout_seconds: float, source_host: str = ""
) -> gevent.socket.socket:
    """Open a configured connection; raise `OSError` if it can't be opened in time."""
    sock = gevent.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        if source_host:
            sock.setsockopt(socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
            sock.bind((source_host, 0))
        sock.settimeout(timeout_seconds)
        sock.connect((host, port))
        configure_socket(sock)
    except OverflowError as error:
        sock.close()
        raise OSError(f"{host}:{port} is no address: {error}") from error
    except BaseException:
        sock.close()
        raise
    return sock


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of a `host:port` address."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port."""
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)
    except ValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) < 65_536


def describe_peer(sock: gevent.socket.socket) -> str:
    """Return the address of the other end of a connection, or an empty string if it is gone."""
    try:
        host, port = sock.getpeername()[:2]
    except OSError:
        return ""
    return f"{host}:{port}"


def is_disconnected(sock: gevent.socket.socket) -> bool:
    """Return whether the other end has closed the connection."""
    try:
        return sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def is_open_and_empty(sock: gevent.socket.socket) -> bool:
    """Return whether a connection is open and holds no unread bytes."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def has_unread_bytes(sock: gevent.socket.socket) -> bool:
    """Return whether bytes have arrived that were not read; a closed connection holds none."""
    try:
        return sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except (OSError, AttributeError):
        return False


def send_while_read(
    sock: gevent.socket.socket,
    data: bytes,
    stall_seconds: float,
    on_sent: Callable[[int], None] | None = None,
) -> None:
    """Send all bytes; raise `TimeoutError` if the other end takes none for `stall_seconds`.

    Call `on_sent` with the number of bytes after each part that is sent.
    """
    previous_timeout = sock.gettimeout()
    sock.settimeout(stall_seconds / STALL_CHECKS)
    unsent = memoryview(data)
    loop = ReadLoop(ReadSource.SENT)
    checks_without_progress = 0
    queued_bytes = None
    while unsent:
        try:
            sent_bytes = sock.send(unsent)
        except TimeoutError as error:
            if error.errno is not None:
                # The kernel has closed the connection after its own timeout.
                raise
            # A socket accepts further bytes only after a third of its buffer is free, which may
            # take long although the other end reads.
            known_bytes, queued_bytes = queued_bytes, _count_unacknowledged_bytes(sock)
            has_progress = known_bytes is not None and queued_bytes < known_bytes
            checks_without_progress = 0 if has_progress else checks_without_progress + 1
            if checks_without_progress >= STALL_CHECKS:
                raise
        else:
            unsent = unsent[sent_bytes:]
            checks_without_progress = 0
            if on_sent is not None:
                on_sent(sent_bytes)
            record_bytes(loop, sent_bytes)
    sock.settimeout(previous_timeout)


def reset_on_close(sock: gevent.socket.socket) -> None:
    """Let the end of a connection reset it, so that no incomplete response looks complete."""
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def _count_unacknowledged_bytes(sock: gevent.socket.socket) -> int:
    buffer = bytearray(struct.calcsize("i"))
    fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, buffer)
    return struct.unpack("i", buffer)[0]


def end_stream(sock: gevent.socket.socket, timeout_seconds: float) -> None:
    """Send the end of the stream, then discard what arrives until the other end closes.

    Closing a connection with unread bytes resets it, and the other end may lose what was sent.
    """
    loop = ReadLoop(ReadSource.CALLER, describe_peer(sock))
    with suppress(OSError), Timeout(timeout_seconds, False):
        sock.shutdown(socket.SHUT_WR)
        while discarded := sock.recv(DISCARD_BYTES):
            record_bytes(loop, len(discarded))


def watch_disconnect(
    sock: gevent.socket.socket, on_disconnect: Callable[[], None]
) -> Callable[[], None]:
    """Call back once when the other end closes; return a function that stops the watch."""
    if sock.fileno() < 0:
        return _do_nothing
    watcher = get_hub().loop.io(sock.fileno(), _READ_EVENT)

    def on_readable() -> None:
        # The socket is also readable when a pipelined request arrives, which is no disconnect.
        watcher.stop()
        if is_disconnected(sock):
            on_disconnect()

    def stop() -> None:
        watcher.stop()
        watcher.close()

    watcher.start(on_readable)
    return stop


def _do_nothing() -> None:
    pass


def wait_readable(sock: gevent.socket.socket, timeout_seconds: float) -> bool:
    """Wait for data or the end of the stream, and return whether it arrived in time."""
    # A local name for the timeout would form a cycle with its traceback, which would keep the
    # locals of all callers, and the responses among them, until the next collection.
    with Timeout(timeout_seconds, False):
        wait_read(sock.fileno())
        return True
    return False
