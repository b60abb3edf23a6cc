"""Pace large frames, so that small ones do not wait behind them in the queue of the link."""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import gevent.socket
from gevent.event import Event
from thrift.transport.TSocket import TSocket

from comfreyhitch.core.clock import Clock
from comfreyhitch.utils.token_bucket import TokenBucket, refill

logger = logging.getLogger(__name__)

# Frames up to this size are sent at once.
MAX_SMALL_FRAME_BYTES = 16 * 1024
# Takes 7.7 ms on a link of 8.5 Mbit/s, which bounds the delay that a piece adds to small frames.
PIECE_BYTES = 8 * 1024
# Bytes of a large frame that are sent at once. They show the receiver that the answer is arriving,
# so that it sends neither a hedge nor a fence query.
FIRST_PIECE_BYTES = 256
# The rest of the bandwidth is left for the headers of packets, gossip and requests, which are not
# paced.
BANDWIDTH_SHARE = 0.9
# Fraction of the rate that large frames get even if small frames alone fill the link. Otherwise
# large frames would never be sent, and their receivers would give up on them.
MIN_LARGE_SHARE = 0.125
# Limit of the bytes that small frames may have sent beyond the rate, in seconds of the rate.
MAX_DEBT_SECONDS = 0.25
# Bytes that a link may send at once after a pause, in seconds of its rate. Greenlets on a busy
# machine run some milliseconds late, and without these bytes the link would be idle meanwhile.
BURST_SECONDS = 0.01
# A receiver that does not accept a piece within this time is disconnected.
STALL_TIMEOUT_SECONDS = 5.0
BITS_PER_BYTE = 8

SendFrame = Callable[[gevent.socket.socket, bytes], None]


@dataclass(slots=True, eq=False)
class Turn:
    """Hold the wait of a large frame for its next piece; sizes are in bytes."""

    piece_bytes: int
    remaining_bytes: int
    # Called when this turn becomes the first of those that wait.
    on_first: Callable[[], None] = lambda: None


@dataclass(slots=True)
class LinkPacer:
    """Hold the tokens of a link in bytes, and the large frames that wait for their next piece.

    Handles downloads that fill the link of a target while its other answers are small.
    """

    bucket: TokenBucket
    turns: deque[Turn] = field(default_factory=deque)
    # Bytes of large frames that wait for the link. Bytes that wait only for their receiver to
    # read are not included.
    backlog_bytes: int = 0
    # Large frames that are not sent completely.
    frames_in_progress: int = 0
    # Monotonic seconds since which the first turn has waited.
    waiting_since: float = 0.0

    @classmethod
    def from_bandwidth(cls, megabits_per_second: float, now: float) -> "LinkPacer":
        """Return a pacer for an idle link."""
        rate = BANDWIDTH_SHARE * megabits_per_second * 1e6 / BITS_PER_BYTE
        capacity = max(2.0 * PIECE_BYTES, BURST_SECONDS * rate)
        return cls(TokenBucket.from_rate(rate, capacity, now))


def charge_bytes(pacer: LinkPacer, now: float, size: int) -> None:
    """Count bytes that are sent without a turn; later pieces wait until the link has sent them."""
    refill(pacer.bucket, now)
    max_debt = MAX_DEBT_SECONDS * pacer.bucket.rate
    pacer.bucket.tokens = max(-max_debt, pacer.bucket.tokens - size)


def add_turn(pacer: LinkPacer, turn: Turn, now: float) -> None:
    """Add a turn after all others."""
    if not pacer.turns:
        pacer.waiting_since = now
    pacer.turns.append(turn)
    pacer.backlog_bytes += turn.remaining_bytes


def remove_turn(pacer: LinkPacer, turn: Turn) -> None:
    """Remove a turn, and notify the one that is first now."""
    if not pacer.turns:
        return
    was_first = pacer.turns[0] is turn
    if was_first:
        pacer.turns.popleft()
    elif turn in pacer.turns:
        pacer.turns.remove(turn)
    else:
        return
    pacer.backlog_bytes -= turn.remaining_bytes
    if was_first and pacer.turns:
        pacer.turns[0].on_first()


def get_wait_seconds(pacer: LinkPacer, turn: Turn, now: float) -> float | None:
    """Return the seconds until a piece may be sent, or None if other turns are before it."""
    if not pacer.turns or pacer.turns[0] is not turn:
        return None
    refill(pacer.bucket, now)
    missing_bytes = turn.piece_bytes - pacer.bucket.tokens
    by_tokens = missing_bytes / pacer.bucket.rate
    max_delay = turn.piece_bytes / (MIN_LARGE_SHARE * pacer.bucket.rate)
    by_delay = pacer.waiting_since + max_delay - now
    return max(0.0, min(by_tokens, by_delay))


def grant_turn(pacer: LinkPacer, turn: Turn, now: float) -> None:
    """Take the tokens of a piece that is sent now, and end its turn."""
    charge_bytes(pacer, now, turn.piece_bytes)
    pacer.waiting_since = now
    remove_turn(pacer, turn)


def get_backlog_seconds(pacer: LinkPacer, added_bytes: float = 0.0) -> float:
    """Return the seconds that the link takes to send the backlog and some more bytes."""
    return (pacer.backlog_bytes + added_bytes) / pacer.bucket.rate


def make_paced_send(pacer: LinkPacer, clock: Clock) -> SendFrame:
    """Return a function that sends small frames at once, and large ones in turns."""

    def send(sock: gevent.socket.socket, frame: bytes) -> None:
        if len(frame) <= MAX_SMALL_FRAME_BYTES:
            charge_bytes(pacer, clock.monotonic(), len(frame))
            sock.sendall(frame)
            return
        previous_timeout = sock.gettimeout()
        sock.settimeout(STALL_TIMEOUT_SECONDS)
        pacer.frames_in_progress += 1
        try:
            _send_in_pieces(pacer, clock, sock, memoryview(frame))
        except TimeoutError:
            logger.warning("peer does not read a response", extra={"response_bytes": len(frame)})
            raise
        finally:
            pacer.frames_in_progress -= 1
        sock.settimeout(previous_timeout)

    return send


def _send_in_pieces(
    pacer: LinkPacer, clock: Clock, sock: gevent.socket.socket, frame: memoryview
) -> None:
    charge_bytes(pacer, clock.monotonic(), FIRST_PIECE_BYTES)
    sock.sendall(frame[:FIRST_PIECE_BYTES])
    unsent = frame[FIRST_PIECE_BYTES:]
    while unsent:
        piece = unsent[:PIECE_BYTES]
        _await_turn(pacer, clock, len(piece), len(unsent))
        sock.sendall(piece)
        unsent = unsent[PIECE_BYTES:]


def _await_turn(pacer: LinkPacer, clock: Clock, piece_bytes: int, remaining_bytes: int) -> None:
    is_first = Event()
    turn = Turn(piece_bytes, remaining_bytes, is_first.set)
    add_turn(pacer, turn, clock.monotonic())
    try:
        while True:
            wait_seconds = get_wait_seconds(pacer, turn, clock.monotonic())
            if wait_seconds is None:
                is_first.wait()
            elif wait_seconds > 0.0:
                gevent.sleep(wait_seconds)
            else:
                grant_turn(pacer, turn, clock.monotonic())
                return
    except BaseException:
        remove_turn(pacer, turn)
        raise


class PacedTransport(TSocket):
    """Write each frame with a function that paces it."""

    def __init__(self, send: SendFrame) -> None:
        super().__init__()
        self._send = send

    def write(self, buff: bytes) -> None:
        """Send one frame; raise `OSError` if it can't be sent completely."""
        self._send(self.handle, buff)
