"""Frame Thrift messages, and keep no message after it is decoded."""

from io import BytesIO
from struct import Struct

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import (
    CReadableTransport,
    TTransportBase,
    TTransportException,
)

from comfreyhitch.wire.codec import CONTAINER_LIMIT_ENTRIES, STRING_LIMIT_BYTES

MAX_FRAME_BYTES = 16 * 1024 * 1024
FRAME_LENGTH = Struct("!i")


class FrameTransport(TTransportBase, CReadableTransport):
    """Read and write messages that are preceded by their length; the library defines the names."""

    def __init__(self, transport: TTransportBase) -> None:
        self._transport = transport
        self._unread = BytesIO()
        self._unsent: list[bytes] = []

    def isOpen(self) -> bool:  # noqa: N802
        """Return whether the transport below is open."""
        return self._transport.isOpen()

    def open(self) -> None:
        """Open the transport below."""
        self._transport.open()

    def close(self) -> None:
        """Close the transport below."""
        self._transport.close()

    def read(self, size: int) -> bytes:
        """Return up to `size` bytes of the current frame, or of the next one at its end."""
        data = self._unread.read(size)
        if data:
            return data
        self._unread = BytesIO(self._read_frame())
        return self._unread.read(size)

    def write(self, buf: bytes) -> None:
        """Add bytes to the frame that `flush` sends."""
        self._unsent.append(buf)

    def flush(self) -> None:
        """Send one frame."""
        size = sum(len(part) for part in self._unsent)
        frame = b"".join([FRAME_LENGTH.pack(size), *self._unsent])
        self._unsent.clear()
        self._transport.write(frame)
        self._transport.flush()

    def drop_message(self) -> None:
        """Drop the frame whose message is decoded, since the connection may be kept for long."""
        self._unread = BytesIO()

    @property
    def cstringio_buf(self) -> BytesIO:
        """Return the buffer from which the library decodes."""
        return self._unread

    def cstringio_refill(self, prefix: bytes, reqlen: int) -> BytesIO:
        """Return a buffer with what was read and at least `reqlen` bytes in all."""
        while len(prefix) < reqlen:
            prefix += self._read_frame()
        self._unread = BytesIO(prefix)
        return self._unread

    def _read_frame(self) -> bytes:
        (size,) = FRAME_LENGTH.unpack(self._transport.readAll(FRAME_LENGTH.size))
        if not 0 <= size <= MAX_FRAME_BYTES:
            raise TTransportException(
                TTransportException.SIZE_LIMIT, f"frame has a length of {size}"
            )
        return self._transport.readAll(size)


class FrameProtocol(TBinaryProtocolAccelerated):
    """Drop each message as soon as it is decoded."""

    def readMessageEnd(self) -> None:  # noqa: N802
        """Drop the message; the library defines this name."""
        self.trans.drop_message()


def make_frame_protocol(transport: TTransportBase) -> FrameProtocol:
    """Return a protocol that limits the sizes of frames, strings and containers it reads."""
    return FrameProtocol(
        FrameTransport(transport),
        string_length_limit=STRING_LIMIT_BYTES,
        container_length_limit=CONTAINER_LIMIT_ENTRIES,
        fallback=False,
    )
