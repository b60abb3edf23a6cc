"""Thrift transport over a gevent socket: bounds how long a frame may take to arrive."""

import gevent.socket
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TTransportException

from comfreyhitch.core.clock import Clock
from comfreyhitch.wire.read_loops import ReadLoop, ReadSource, record_read
from comfreyhitch.wire.sockets import describe_peer

# A frame takes two reads or more, and handling one takes up to some milliseconds.
MAX_READS_BETWEEN_PAUSES = 40


class PeerTransport(TSocket):
    """Read frames of a peer, and let other greenlets run while they keep arriving."""

    def __init__(self, sock: gevent.socket.socket, clock: Clock) -> None:
        super().__init__()
        self.setHandle(sock)
        self._clock = clock
        self._deadline: float | None = None
        self._part_seconds: float | None = None
        self._loop = ReadLoop(
            ReadSource.PEER, describe_peer(sock), max_reads=MAX_READS_BETWEEN_PAUSES
        )

    def limit_reads(self, part_seconds: float, deadline: float | None = None) -> None:
        """Have reads fail if nothing arrives for `part_seconds`, or at a monotonic deadline."""
        self._part_seconds = part_seconds
        self._deadline = deadline
        self.handle.settimeout(part_seconds)

    def read(self, size: int) -> bytes:
        """Return up to `size` bytes; raise `TTransportException` if none arrive in time."""
        if self._deadline is not None:
            remaining_seconds = self._deadline - self._clock.monotonic()
            if remaining_seconds <= 0:
                raise TTransportException(TTransportException.TIMED_OUT, "frame is incomplete")
            self.handle.settimeout(min(self._part_seconds, remaining_seconds))
        data = super().read(size)
        record_read(self._loop, len(data))
        return data

    def readAll(self, size: int) -> bytes:  # noqa: N802
        """Return exactly `size` bytes; the Thrift library defines this name."""
        parts = []
        while size > 0:
            part = self.read(size)
            parts.append(part)
            size -= len(part)
        return b"".join(parts)
