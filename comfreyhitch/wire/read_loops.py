"""Let other greenlets run while a loop reads bytes that keep arriving, or sends many.

Receiving bytes that have arrived already does not switch greenlets, and neither does sending bytes
to an end that reads as fast. A loop over such bytes would keep the process from doing anything
else.
"""

from dataclasses import dataclass
from enum import StrEnum

import gevent
from gevent.lock import Semaphore

# A pause of 0 lets neither timers nor sockets run if the greenlet is busy between its pauses; this
# one does, and takes about 1 ms.
SHORTEST_PAUSE_SECONDS = 0.00001
MAX_BUSY_SECONDS = 0.005
MAX_BYTES_BETWEEN_PAUSES = 256 * 1024
MAX_READS_BETWEEN_PAUSES = 2000


class ReadSource(StrEnum):
    """Name what a loop reads, or that it sends."""

    CALLER = "request of a caller"
    CONTROL = "request to a control server"
    PEER = "message of a peer"
    STORE = "response of the store"
    TARGET = "response of the target"
    SENT = "bytes that are sent"


@dataclass(frozen=True, slots=True)
class ReadTurn:
    """Describe what a loop did between two of its pauses."""

    source: ReadSource
    peer: str
    read_bytes: int
    busy_seconds: float


@dataclass(slots=True)
class ReadLoop:
    """Hold what a loop has done since other greenlets ran; `peer` is the other end's address."""

    source: ReadSource
    peer: str = ""
    max_reads: int = MAX_READS_BETWEEN_PAUSES
    read_bytes: int = 0
    reads: int = 0
    busy_seconds: float = 0.0


@dataclass(slots=True)
class _Rounds:
    """Hold what the loops of the process share."""

    # Loops pause one after the other, so that one of them at most goes on in each round of the
    # event loop, however many there are.
    pausing: Semaphore
    longest_turn: ReadTurn | None = None


_rounds = _Rounds(Semaphore(1))


def record_bytes(loop: ReadLoop, size: int, busy_seconds: float = 0.0) -> None:
    """Count bytes that were read, and the seconds that handling them took; pause if due."""
    loop.read_bytes += size
    loop.reads += 1
    loop.busy_seconds += busy_seconds
    if (
        loop.busy_seconds >= MAX_BUSY_SECONDS
        or loop.read_bytes >= MAX_BYTES_BETWEEN_PAUSES
        or loop.reads >= loop.max_reads
    ):
        pause(loop)


def pause(loop: ReadLoop) -> None:
    """Let other greenlets run before a loop goes on."""
    longest = _rounds.longest_turn
    if longest is None or loop.busy_seconds > longest.busy_seconds:
        _rounds.longest_turn = ReadTurn(loop.source, loop.peer, loop.read_bytes, loop.busy_seconds)
    loop.read_bytes = loop.reads = 0
    loop.busy_seconds = 0.0
    with _rounds.pausing:
        gevent.sleep(SHORTEST_PAUSE_SECONDS)


def take_longest_turn() -> ReadTurn | None:
    """Return the longest turn since the last call, or None if no loop has paused."""
    turn = _rounds.longest_turn
    _rounds.longest_turn = None
    return turn
