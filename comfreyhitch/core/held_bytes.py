"""Count the bytes of requests and responses that a daemon holds, and limit them."""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import StrEnum

from comfreyhitch.core.clock import Clock

# Part of the memory of a daemon for the bytes of requests and responses. The rest is for the daemon
# itself, its connections, and what the kernel has received for them.
MEMORY_SHARE = 0.2
# Memory that is left for all that when a single request or response is larger than that part.
RESERVED_MEGABYTES = 75.0
BYTES_PER_MEGABYTE = 1_000_000
# Requests that need no more than this are not refused for their bytes: their number is limited by
# slots and connections.
MAX_SMALL_BYTES = 16 * 1024
# Multiples of the limit for responses that arrive from the target, and for answers that arrive from
# other daemons. Each stage may use more than those before it, so that it can always be completed.
RESPONSE_SHARE = 1.25
ANSWER_SHARE = 1.5
# Requests above this part of the limit may use the memory for single large ones.
LARGE_SHARE = 0.5
# A holder whose bytes have moved by less than this for so long may have to give way to others.
PROGRESS_BYTES = 16 * 1024
STALL_SECONDS = 1.0


class HoldingStage(StrEnum):
    """Name what the exchange of a holder waits for."""

    REQUEST = "rest of a request"
    RESPONSE = "caller that reads its response"
    FRAME = "rest of a message of a peer"


class GiveWayError(Exception):
    """Signal that an exchange has to end, since others need the memory that it holds."""


@dataclass(slots=True, eq=False, kw_only=True)
class Holder:
    """Hold how many bytes one exchange holds, and when they last made progress.

    `progress_at` is in monotonic seconds. `give_way` ends the exchange; it is None while the
    exchange can't be ended for the sake of others.
    """

    # Address of the other end.
    peer: str = ""
    held_bytes: int = 0
    progress_at: float = 0.0
    moved_bytes: int = 0
    stage: HoldingStage | None = None
    give_way: Callable[[], None] | None = None


@dataclass(slots=True)
class HeldBytes:
    """Hold the number of bytes held, and the limit; a limit of None allows any number."""

    limit: float | None = None
    # The limit while requests or responses are held that are large by themselves.
    large_limit: float | None = None
    total: int = 0
    clock: Clock = field(default_factory=Clock.from_system)
    # Holders that can give way, in no order.
    holders: dict[Holder, None] = field(default_factory=dict)
    # Called with each holder that has to give way.
    on_give_way: Callable[[Holder], None] = lambda holder: None

    @classmethod
    def from_memory(cls, megabytes: float | None, clock: Clock | None = None) -> "HeldBytes":
        """Return a count with the limits for a daemon with this memory."""
        clock = clock or Clock.from_system()
        if megabytes is None:
            return cls(clock=clock)
        limit = MEMORY_SHARE * megabytes * BYTES_PER_MEGABYTE
        unreserved = (megabytes - RESERVED_MEGABYTES) * BYTES_PER_MEGABYTE
        return cls(limit=limit, large_limit=max(limit, unreserved), clock=clock)


@contextmanager
def holding(held: HeldBytes, size: int) -> Iterator[None]:
    """Count bytes for as long as the context lasts."""
    held.total += size
    try:
        yield
    finally:
        held.total -= size


def hold(held: HeldBytes, holder: Holder, size: int) -> None:
    """Count bytes that a holder holds from now on; a negative size gives bytes back."""
    held.total += size
    holder.held_bytes += size


def release(held: HeldBytes, holder: Holder) -> None:
    """Give back all bytes of a holder."""
    hold(held, holder, -holder.held_bytes)


def can_hold(held: HeldBytes, needed_bytes: int, own_bytes: int = 0, share: float = 1.0) -> bool:
    """Return whether a request that needs more bytes may be accepted.

    Its `own_bytes` are counted already. Handles responses that are produced faster than links or
    callers take them. If nearly nothing is held, any request is accepted, so that one whose
    response was once larger than the limit is not refused forever. A request that is large by
    itself may use the memory that is reserved for such requests. The limit is multiplied by
    `share`.
    """
    if held.limit is None or needed_bytes + own_bytes <= MAX_SMALL_BYTES:
        return True
    if held.total + needed_bytes <= share * held.limit or held.total - own_bytes <= MAX_SMALL_BYTES:
        return True
    is_large = needed_bytes + own_bytes > LARGE_SHARE * held.limit
    return is_large and held.total + needed_bytes <= get_large_limit(held)


def get_large_limit(held: HeldBytes) -> int:
    """Return how many bytes one request or response may have on this instance."""
    return sys.maxsize if held.large_limit is None else int(held.large_limit)


def make_room(
    held: HeldBytes, needed_bytes: int, own: Holder | None = None, share: float = 1.0
) -> bool:
    """Return whether a request that needs more bytes may be accepted.

    Other holders give way first, if their bytes have made no progress for some time: those whose
    bytes have waited longest. The request's own bytes are counted already.
    """
    own_bytes = 0 if own is None else own.held_bytes
    if can_hold(held, needed_bytes, own_bytes, share):
        return True
    for holder in _list_stalled(held):
        if holder is own:
            continue
        _make_give_way(held, holder)
        if can_hold(held, needed_bytes, own_bytes, share):
            return True
    return False


def record_progress(held: HeldBytes, holder: Holder, size: int) -> None:
    """Record that bytes of a holder were received or sent."""
    holder.moved_bytes += size
    if holder.moved_bytes >= PROGRESS_BYTES:
        holder.moved_bytes = 0
        holder.progress_at = held.clock.monotonic()


@contextmanager
def able_to_give_way(
    held: HeldBytes, holder: Holder, stage: HoldingStage, give_way: Callable[[], None]
) -> Iterator[None]:
    """Let a holder give way to others for as long as the context lasts."""
    holder.stage = stage
    holder.moved_bytes = 0
    holder.progress_at = held.clock.monotonic()
    holder.give_way = give_way
    held.holders[holder] = None
    try:
        yield
    finally:
        holder.give_way = None
        held.holders.pop(holder, None)


def describe_held_bytes(held: HeldBytes, needed_bytes: int) -> str:
    """Return why a request that needs more bytes is refused."""
    numbers = (needed_bytes, held.total, held.limit or 0.0)
    needed, total, limit = (number / BYTES_PER_MEGABYTE for number in numbers)
    return f"needs {needed:.2f} MB; requests and responses hold {total:.1f} MB of {limit:.1f} MB"


def _list_stalled(held: HeldBytes) -> list[Holder]:
    """Return the holders whose bytes make no progress, beginning with the longest wait."""
    stalled_since = held.clock.monotonic() - STALL_SECONDS
    stalled = [holder for holder in held.holders if holder.progress_at <= stalled_since]
    return sorted(stalled, key=lambda holder: holder.progress_at)


def _make_give_way(held: HeldBytes, holder: Holder) -> None:
    held.on_give_way(holder)
    give_way = holder.give_way
    held.holders.pop(holder, None)
    release(held, holder)
    if give_way is not None:
        give_way()
