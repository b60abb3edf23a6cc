"""Thrift transport over a gevent socket: bounds how long, and in how much memory, data arrives."""

import gevent.socket
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TTransportException

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.held_bytes import (
    MAX_SMALL_BYTES,
    HeldBytes,
    Holder,
    HoldingStage,
    hold,
    record_progress,
    release,
)
from comfreyhitch.core.verdicts import Body
from comfreyhitch.wire.exceptions import NoRoomError
from comfreyhitch.wire.following_bodies import MAX_FOLLOWING_BYTES
from comfreyhitch.wire.memory_waits import giving_way, wait_for_room
from comfreyhitch.wire.read_loops import ReadLoop, ReadSource, record_bytes
from comfreyhitch.wire.sockets import describe_peer

# A frame takes two reads or more, and handling one takes up to some milliseconds.
MAX_READS_BETWEEN_PAUSES = 40
READ_BLOCK_BYTES = 64 * 1024
# How long a large frame waits for memory before its connection is given up.
FRAME_ROOM_SECONDS = 5.0


class PeerTransport(TSocket):
    """Read frames of a peer, and let other greenlets run while they keep arriving."""

    def __init__(
        self, sock: gevent.socket.socket, clock: Clock, held: HeldBytes | None = None
    ) -> None:
        super().__init__()
        self.setHandle(sock)
        self._clock = clock
        self._held = held or HeldBytes(clock=clock)
        self._holder = Holder(peer=describe_peer(sock))
        self._deadline: float | None = None
        self._part_seconds: float | None = None
        self._loop = ReadLoop(
            ReadSource.PEER, self._holder.peer, max_reads=MAX_READS_BETWEEN_PAUSES
        )
        self._following_body: Body = b""
        # Whether the connection can't be used any more after the message that is sent next.
        self.is_ending = False

    def limit_reads(self, part_seconds: float | None, deadline: float | None = None) -> None:
        """Have reads fail if nothing arrives for `part_seconds`, or at a monotonic deadline.

        Without these, reads wait for any time.
        """
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
        record_bytes(self._loop, len(data))
        return data

    def readAll(self, size: int) -> Body:  # noqa: N802
        """Return exactly `size` bytes; the Thrift library defines this name.

        Bytes of large frames are counted as they arrive. Raise `GiveWayError` if others need the
        memory of a frame that makes no progress, and `NoRoomError` if there is none for it.
        """
        if size > MAX_SMALL_BYTES:
            return self._read_counted(size)
        parts = []
        while size > 0:
            part = self.read(size)
            parts.append(part)
            size -= len(part)
        return b"".join(parts)

    def read_body(
        self, size: int, deadline: float, expected_bytes: int = 0, share: float = 1.0
    ) -> Body:
        """Return a body of `size` bytes that follows a message.

        The bytes beyond those that are expected, and so counted already, are counted while the body
        arrives, up to the limit multiplied by `share`. Raise `NoRoomError` if there is no memory
        for them until the deadline in monotonic seconds, and `GiveWayError` as for large frames.
        """
        if not 0 <= size <= MAX_FOLLOWING_BYTES:
            raise TTransportException(
                TTransportException.SIZE_LIMIT, f"body has a length of {size}"
            )
        needed_bytes = max(0, size - expected_bytes)
        if not wait_for_room(self._held, self._holder, needed_bytes, deadline, share):
            raise NoRoomError(f"no memory for a body of {size} bytes")
        hold(self._held, self._holder, needed_bytes)
        try:
            with giving_way(self._held, self._holder, HoldingStage.FRAME):
                return self._read_blocks(size)
        finally:
            release(self._held, self._holder)

    def send_body_next(self, body: Body) -> None:
        """Have a body follow the message that is sent next."""
        self._following_body = body

    def write(self, buff: bytes) -> None:
        """Send one frame, and the body that follows it."""
        body, self._following_body = self._following_body, b""
        self._send(buff)
        if body:
            self._send(body)

    def _send(self, data: Body) -> None:
        self.handle.sendall(data)

    def _read_counted(self, size: int) -> Body:
        deadline = self._clock.monotonic() + FRAME_ROOM_SECONDS
        try:
            with giving_way(self._held, self._holder, HoldingStage.FRAME):
                return self._read_blocks(size, room_deadline=deadline)
        finally:
            release(self._held, self._holder)

    def _read_blocks(self, size: int, room_deadline: float | None = None) -> Body:
        """Return `size` bytes; with a deadline, wait for the memory of each block until then."""
        data = bytearray()
        while len(data) < size:
            block = self.read(min(READ_BLOCK_BYTES, size - len(data)))
            record_progress(self._held, self._holder, len(block))
            if room_deadline is not None:
                if not wait_for_room(self._held, self._holder, len(block), room_deadline):
                    raise NoRoomError(f"no memory for a frame of {size} bytes")
                hold(self._held, self._holder, len(block))
            data += block
        return data
