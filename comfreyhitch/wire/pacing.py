"""Pace large frames, so that small ones do not wait behind them in the queue of the link."""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
import gevent.socket
from gevent.event import Event

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.held_bytes import HeldBytes, holding
from comfreyhitch.core.verdicts import Body
from comfreyhitch.utils.token_bucket import TokenBucket, refill
from comfreyhitch.wire.sockets import send_while_read
from comfreyhitch.wire.transports import PeerTransport

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
# Large frames take turns for this long; after that, they are sent in the order of their arrival.
# With turns alone, all frames become late together when there are more than the link can send.
MAX_TURNS_SECONDS = 0.5
# A frame that has waited for a piece for this long goes first. Receivers give up on an answer after
# 5 s without a further part.
MAX_GAP_SECONDS = 2.0
# Bytes that a link may send at once after a pause, in seconds of its rate. Greenlets on a busy
# machine run some milliseconds late, and without these bytes the link would be idle meanwhile.
BURST_SECONDS = 0.01
# A receiver that takes no bytes for this long is disconnected.
STALL_TIMEOUT_SECONDS = 5.0
BITS_PER_BYTE = 8
# Peer methods whose answers contain responses of targets. Answers of other methods, such as those
# with configuration or claims, are due sooner than a backlog of responses ends.
RESPONSE_METHODS = frozenset({"call", "fence"})

SendFrame = Callable[[gevent.socket.socket, Body], None]


@dataclass(slots=True, eq=False)
class LargeFrame:
    """Hold a large frame that is being sent; `started_at` is in monotonic seconds."""

    unsent_bytes: int
    started_at: float
    # Whether the frame waits for the link, and not for its receiver.
    is_waiting: bool = False
    # Monotonic seconds since which the frame has waited for its next piece.
    waiting_since: float = 0.0
    # Called when the next piece may be sent.
    on_grant: Callable[[], None] = lambda: None

    @property
    def piece_bytes(self) -> int:
        """Return the size of the next piece."""
        return min(PIECE_BYTES, self.unsent_bytes)


@dataclass(slots=True)
class LinkPacer:
    """Hold the tokens of a link in bytes, and the large frames that are sent over it.

    Handles downloads that fill the link of a target while its other answers are small.
    """

    bucket: TokenBucket
    # In the order of their arrival.
    frames: dict[LargeFrame, None] = field(default_factory=dict)
    # Frames that wait for their next piece, in the order of their turns.
    turns: deque[LargeFrame] = field(default_factory=deque)
    # Bytes of large frames that wait for the link. Bytes that wait only for their receiver to
    # read are not included.
    backlog_bytes: int = 0
    # Monotonic seconds since which a frame has waited for the next piece.
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


def start_frame(pacer: LinkPacer, size: int, now: float) -> LargeFrame:
    """Return a large frame whose first piece is sent at once."""
    charge_bytes(pacer, now, FIRST_PIECE_BYTES)
    frame = LargeFrame(size - FIRST_PIECE_BYTES, now)
    pacer.frames[frame] = None
    return frame


def end_frame(pacer: LinkPacer, frame: LargeFrame) -> None:
    """Remove a frame that is sent completely, or whose receiver is gone."""
    if frame.is_waiting:
        pacer.turns.remove(frame)
        _stop_waiting(pacer, frame)
    del pacer.frames[frame]


def add_turn(pacer: LinkPacer, frame: LargeFrame, now: float) -> None:
    """Let a frame wait for its next piece after all others."""
    if not pacer.turns:
        pacer.waiting_since = now
    frame.is_waiting = True
    frame.waiting_since = now
    pacer.turns.append(frame)
    pacer.backlog_bytes += frame.unsent_bytes


def get_wait_seconds(pacer: LinkPacer, now: float) -> float:
    """Return the seconds until the next piece may be sent; some frame must wait for it."""
    piece_bytes = _get_next(pacer, now).piece_bytes
    refill(pacer.bucket, now)
    by_tokens = (piece_bytes - pacer.bucket.tokens) / pacer.bucket.rate
    max_delay = piece_bytes / (MIN_LARGE_SHARE * pacer.bucket.rate)
    by_delay = pacer.waiting_since + max_delay - now
    return max(0.0, min(by_tokens, by_delay))


def grant_next(pacer: LinkPacer, now: float) -> LargeFrame:
    """Take the tokens of the next piece, which is sent now, and return its frame."""
    frame = _get_next(pacer, now)
    # Usually the frame is first, so that this takes the same time for any number of frames.
    pacer.turns.remove(frame)
    _stop_waiting(pacer, frame)
    charge_bytes(pacer, now, frame.piece_bytes)
    frame.unsent_bytes -= frame.piece_bytes
    pacer.waiting_since = now
    return frame


def get_backlog_seconds(pacer: LinkPacer, added_bytes: float = 0.0) -> float:
    """Return the seconds that the link takes to send the backlog and some more bytes."""
    return (pacer.backlog_bytes + added_bytes) / pacer.bucket.rate


def _get_next(pacer: LinkPacer, now: float) -> LargeFrame:
    if now - pacer.turns[0].waiting_since >= MAX_GAP_SECONDS:
        return pacer.turns[0]
    for frame in pacer.frames:
        if now - frame.started_at < MAX_TURNS_SECONDS:
            break
        if frame.is_waiting:
            return frame
    return pacer.turns[0]


def _stop_waiting(pacer: LinkPacer, frame: LargeFrame) -> None:
    frame.is_waiting = False
    pacer.backlog_bytes -= frame.unsent_bytes


def make_paced_send(pacer: LinkPacer, clock: Clock) -> SendFrame:
    """Return a function that sends small frames at once, and large ones in turns."""
    granting: gevent.Greenlet | None = None

    def send(sock: gevent.socket.socket, data: Body) -> None:
        if len(data) <= MAX_SMALL_FRAME_BYTES:
            charge_bytes(pacer, clock.monotonic(), len(data))
            sock.sendall(data)
            return
        frame = start_frame(pacer, len(data), clock.monotonic())
        try:
            send_in_pieces(sock, frame, memoryview(data))
        except TimeoutError:
            logger.warning("peer does not read a response", extra={"response_bytes": len(data)})
            raise
        finally:
            end_frame(pacer, frame)

    def send_in_pieces(sock: gevent.socket.socket, frame: LargeFrame, data: memoryview) -> None:
        nonlocal granting
        is_granted = Event()
        frame.on_grant = is_granted.set
        sent_bytes = 0
        while sent_bytes < len(data):
            end = len(data) - frame.unsent_bytes
            send_while_read(sock, data[sent_bytes:end], STALL_TIMEOUT_SECONDS)
            sent_bytes = end
            if frame.unsent_bytes == 0:
                return
            is_granted.clear()
            add_turn(pacer, frame, clock.monotonic())
            if not granting:
                granting = gevent.spawn(_grant_while_frames_wait, pacer, clock)
            is_granted.wait()

    return send


def _grant_while_frames_wait(pacer: LinkPacer, clock: Clock) -> None:
    while pacer.turns:
        wait_seconds = get_wait_seconds(pacer, clock.monotonic())
        if wait_seconds > 0.0:
            gevent.sleep(wait_seconds)
        else:
            grant_next(pacer, clock.monotonic()).on_grant()
            # Lets the greenlet send its piece, and wait for the next one behind the others.
            gevent.sleep(0)


def send_at_once(sock: gevent.socket.socket, data: Body) -> None:
    """Send a frame without pacing; raise `TimeoutError` if the receiver takes no bytes."""
    if len(data) <= MAX_SMALL_FRAME_BYTES:
        sock.sendall(data)
    else:
        send_while_read(sock, data, STALL_TIMEOUT_SECONDS)


def make_counted_send(held: HeldBytes, send: SendFrame) -> SendFrame:
    """Return a function that counts the bytes of each frame until it is sent."""

    def send_counted(sock: gevent.socket.socket, data: Body) -> None:
        with holding(held, len(data)):
            send(sock, data)

    return send_counted


class PacedTransport(PeerTransport):
    """Write each frame that may contain a response with a function that paces or counts it."""

    def __init__(
        self,
        sock: gevent.socket.socket,
        clock: Clock,
        send: SendFrame,
        held: HeldBytes | None = None,
    ) -> None:
        super().__init__(sock, clock, held)
        self._send_response = send
        self._has_response = False

    def begin_message(self, method: str, *_: object) -> None:
        """Note the method whose answer is the next frame."""
        self._has_response = method in RESPONSE_METHODS

    def _send(self, data: Body) -> None:
        """Send a frame or a body; raise `OSError` if it can't be sent completely."""
        send = self._send_response if self._has_response else send_at_once
        send(self.handle, data)
