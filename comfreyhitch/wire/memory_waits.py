"""Wait for memory that others hold, and end exchanges whose memory others need."""

from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from gevent.hub import get_hub

from comfreyhitch.core.held_bytes import (
    GiveWayError,
    HeldBytes,
    Holder,
    HoldingStage,
    able_to_give_way,
    make_room,
)

ROOM_POLL_SECONDS = 0.02


def wait_for_room(
    held: HeldBytes, holder: Holder, needed_bytes: int, deadline: float, share: float = 1.0
) -> bool:
    """Wait until more bytes may be held, and return whether that is so before the deadline.

    The deadline is in monotonic seconds. The limit is multiplied by `share`.
    """
    while not make_room(held, needed_bytes, holder, share):
        if held.clock.monotonic() >= deadline:
            return False
        gevent.sleep(ROOM_POLL_SECONDS)
    return True


@contextmanager
def giving_way(held: HeldBytes, holder: Holder, stage: HoldingStage) -> Iterator[None]:
    """Let others that need memory raise `GiveWayError` in the current greenlet."""
    greenlet = gevent.getcurrent()
    is_active = True

    def raise_in_greenlet() -> None:
        if is_active:
            greenlet.throw(GiveWayError)

    def give_way() -> None:
        # Only the hub may switch into another greenlet and return here afterwards.
        get_hub().loop.run_callback(raise_in_greenlet)

    try:
        with able_to_give_way(held, holder, stage, give_way):
            yield
    finally:
        is_active = False
