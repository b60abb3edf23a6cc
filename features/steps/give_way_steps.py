"""Test which requests and responses give way when a daemon holds too many bytes."""

from datetime import UTC, datetime

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.held_bytes import (
    MAX_SMALL_BYTES,
    PROGRESS_BYTES,
    STALL_SECONDS,
    HeldBytes,
    Holder,
    HoldingStage,
    able_to_give_way,
    can_hold,
    hold,
    make_room,
    record_progress,
    release,
)

MEMORY_MEGABYTES = 10.0
MAX_BYTES = 1_000_000


class SteppedClock:
    """Hold a monotonic time that a test sets."""

    def __init__(self):
        self.seconds = 0.0
        self.clock = Clock(monotonic=lambda: self.seconds, now=lambda: datetime.now(UTC))


def add_holder(held, size, gave_way):
    """Add a holder that can give way, and notes that it did; return it and its context."""
    holder = Holder()
    context = able_to_give_way(held, holder, HoldingStage.REQUEST, lambda: gave_way.append(holder))
    context.__enter__()
    hold(held, holder, size)
    return holder, context


@then("for any callers those give way whose bytes have waited longest, and none whose bytes move")
def check_order(context):
    arrival = st.tuples(
        st.integers(1, MAX_BYTES),
        st.floats(0.0, 1.5),
        st.lists(st.tuples(st.integers(0, 30), st.integers(1, 2 * PROGRESS_BYTES)), max_size=4),
    )

    @seed(context.seed)
    @given(st.lists(arrival, max_size=40))
    def check(arrivals):
        stepped = SteppedClock()
        held = HeldBytes.from_memory(MEMORY_MEGABYTES, stepped.clock)
        gave_way = []
        contexts = []
        holders = []
        for size, pause, moves in arrivals:
            stepped.seconds += pause
            for position, moved_bytes in moves:
                if position < len(holders):
                    record_progress(held, holders[position], moved_bytes)
            waits = {holder: holder.progress_at for holder in held.holders}
            gave_way.clear()
            is_accepted = make_room(held, size)
            check_waits(stepped.seconds, waits, gave_way)
            # None gives way beyond what is needed.
            if gave_way and is_accepted:
                needed = held.total + size
                assert needed + MAX_BYTES > held.limit or size <= MAX_SMALL_BYTES, needed
            if is_accepted:
                holder, entered = add_holder(held, size, gave_way)
                holders.append(holder)
                contexts.append(entered)
            assert held.total == sum(holder.held_bytes for holder in holders) >= 0
        for holder, entered in zip(holders, contexts, strict=True):
            entered.__exit__(None, None, None)
            release(held, holder)
        assert held.total == 0 and not held.holders

    check()


def check_waits(now, waits, gave_way):
    """Check that those gave way whose bytes had waited longest, in this order."""
    times = [waits[holder] for holder in gave_way]
    assert times == sorted(times)
    assert all(now - time >= STALL_SECONDS for time in times), (now, times)
    others = [time for holder, time in waits.items() if holder not in gave_way]
    assert not times or all(time >= times[-1] for time in others)


@then("a limit without stalled callers refuses those that come next, and small requests never")
def check_no_stalled(context):
    stepped = SteppedClock()
    held = HeldBytes.from_memory(MEMORY_MEGABYTES, stepped.clock)
    gave_way = []
    entered = []
    while can_hold(held, MAX_BYTES // 2):
        entered.append(add_holder(held, MAX_BYTES // 2, gave_way))
    holders = [holder for holder, _ in entered]
    assert len(holders) > 2
    # Bytes that trickle are no progress; one block within the time is.
    stepped.seconds += STALL_SECONDS / 2
    for holder in holders[1:]:
        record_progress(held, holder, PROGRESS_BYTES)
    for _ in range(10):
        record_progress(held, holders[0], 1)
    stepped.seconds += STALL_SECONDS * 0.4
    assert not make_room(held, MAX_BYTES // 2)
    assert make_room(held, MAX_SMALL_BYTES)
    assert gave_way == []
    stepped.seconds += STALL_SECONDS * 0.2
    assert make_room(held, MAX_BYTES // 2)
    assert gave_way == holders[:1]
    # A holder does not give way to itself.
    stepped.seconds += STALL_SECONDS
    gave_way.clear()
    hold(held, holders[1], MAX_BYTES // 2)
    make_room(held, MAX_BYTES // 2, holders[1])
    assert holders[1] not in gave_way
