"""Bodies that follow a message between daemons, so that no copy of them is part of it."""

import socket
from contextlib import suppress

import gevent.socket
from gevent.select import select

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.verdicts import Body
from comfreyhitch.wire.read_loops import ReadLoop, ReadSource, record_bytes

# Larger bodies follow their message.
MAX_INLINE_BYTES = 64 * 1024
MAX_FOLLOWING_BYTES = 64 * 1024 * 1024


def is_following(body: Body) -> bool:
    """Return whether a body follows its message in place of being part of it."""
    return len(body) > MAX_INLINE_BYTES


def send_until_answered(
    sock: gevent.socket.socket, data: Body, deadline: float, clock: Clock
) -> bool:
    """Send all bytes, or until the other end answers; return whether all were sent.

    Raise `TimeoutError` at the deadline, which is in monotonic seconds, and `OSError` if the
    connection fails.
    """
    loop = ReadLoop(ReadSource.SENT)
    unsent = memoryview(data)
    while True:
        with suppress(BlockingIOError):
            sent_bytes = sock._sock.send(unsent, socket.MSG_DONTWAIT)
            unsent = unsent[sent_bytes:]
            record_bytes(loop, sent_bytes)
        if not unsent:
            return True
        remaining_seconds = deadline - clock.monotonic()
        if remaining_seconds <= 0:
            raise TimeoutError
        readable, _, _ = select([sock], [sock], [], remaining_seconds)
        if readable:
            return False
