"""Count the bytes of requests and responses that a daemon holds, and limit them."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

# Part of the memory of a daemon for the bytes of requests and responses. A daemon uses about 50 MB
# without them, and a response exists up to three times while it is decoded and encoded.
MEMORY_SHARE = 0.2
BYTES_PER_MEGABYTE = 1_000_000
# Requests that need no more than this are not refused for their bytes: their number is limited by
# slots and connections.
MAX_SMALL_BYTES = 16 * 1024


@dataclass(slots=True)
class HeldBytes:
    """Hold the number of bytes held, and the limit; a limit of None allows any number."""

    limit: float | None = None
    total: int = 0

    @classmethod
    def from_memory(cls, megabytes: float | None) -> "HeldBytes":
        """Return a count with the limit for a daemon with this memory."""
        if megabytes is None:
            return cls()
        return cls(limit=MEMORY_SHARE * megabytes * BYTES_PER_MEGABYTE)


@contextmanager
def holding(held: HeldBytes, size: int) -> Iterator[None]:
    """Count bytes for as long as the context lasts."""
    held.total += size
    try:
        yield
    finally:
        held.total -= size


def can_hold(held: HeldBytes, needed_bytes: int, own_bytes: int = 0) -> bool:
    """Return whether a request that needs more bytes may be accepted.

    Its `own_bytes` are counted already. Handles responses that are produced faster than links or
    callers take them. If nearly nothing is held, any request is accepted, so that one whose
    response was once larger than the limit is not refused forever.
    """
    if held.limit is None or needed_bytes + own_bytes <= MAX_SMALL_BYTES:
        return True
    if held.total - own_bytes <= MAX_SMALL_BYTES:
        return True
    return held.total + needed_bytes <= held.limit


def describe_held_bytes(held: HeldBytes, needed_bytes: int) -> str:
    """Return why a request that needs more bytes is refused."""
    numbers = (needed_bytes, held.total, held.limit or 0.0)
    needed, total, limit = (number / BYTES_PER_MEGABYTE for number in numbers)
    return f"needs {needed:.2f} MB; requests and responses hold {total:.1f} MB of {limit:.1f} MB"
