"""Test counts, lease and reports of the usage duty in virtual time."""

import json
from collections import Counter

from behave import then
from hypothesis import example, given, seed, settings
from hypothesis import strategies as st

from comfreyhitch.usage.counts import (
    MAX_ACCOUNTS_PER_WINDOW,
    RETAINED_WINDOWS,
    SourceCounts,
    UsageTable,
    count_start,
    find_unsent,
    merge_counts,
    merge_source,
    remove_old_windows,
    sum_window,
)
from comfreyhitch.usage.lease import (
    Lease,
    begin_write,
    confirm_write,
    make_next_record,
    may_post,
    observe,
)
from comfreyhitch.usage.models import FoundRecord
from comfreyhitch.usage.true_time import TrueTime, get_window, get_window_end, take_reading
from features.usage_emulation import EPOCH, TERMS, make_world, pause

RUN_SECONDS = 60.0
SETTLED_SECONDS = 30.0
# Each example emulates a minute of three candidates.
EMULATED_EXAMPLES = 60
WINDOWS = st.integers(100, 105)
COUNTS = st.dictionaries(
    WINDOWS,
    st.dictionaries(
        st.sampled_from("abc"), st.tuples(st.integers(0, 50), st.integers(0, 9)), max_size=3
    ),
    max_size=3,
)


@then("counts that arrive in any order, in part, repeatedly or late give the same sums")
def check_merge(context):
    @seed(context.seed)
    @given(
        messages=st.lists(st.tuples(st.sampled_from("xyz"), COUNTS), max_size=8),
        data=st.data(),
    )
    def check(messages, data):
        shuffled = data.draw(st.permutations(messages))
        repeated = data.draw(st.lists(st.sampled_from(messages))) if messages else []
        first, second = (make_table(items) for items in (messages, [*shuffled, *repeated]))
        for window in range(100, 106):
            assert sum_window(first, window) == sum_window(second, window)

    check()


@then("a receiver that acknowledges differences ends with the counts of the sender")
def check_differences(context):
    @seed(context.seed)
    @given(rounds=st.lists(st.tuples(COUNTS, st.booleans()), max_size=6))
    def check(rounds):
        own, acknowledged, received = {}, {}, {}
        for changes, is_delivered in [*rounds, ({}, True)]:
            merge_windows(own, changes)
            unsent = find_unsent(own, acknowledged)
            if is_delivered:
                merge_windows(received, unsent)
                merge_windows(acknowledged, unsent)
        assert received == {window: counts for window, counts in own.items() if counts}

    check()


@then("counts of old windows, of windows far ahead and of too many accounts are not kept")
def check_bounds(context):
    table = make_table([("x", {90: {"a": (1, 0)}, 200: {"a": (1, 0)}, 104: {"a": (1, 0)}})])
    assert [list(item.counts_by_window) for item in table.sources_by_id.values()] == [[], [104]]
    for number in range(MAX_ACCOUNTS_PER_WINDOW + 5):
        count_start(table, 105, f"account {number}")
    assert (len(table.own.counts_by_window[105]), table.uncounted) == (MAX_ACCOUNTS_PER_WINDOW, 5)
    remove_old_windows(table, 105 + RETAINED_WINDOWS)
    assert list(table.sources_by_id) == [table.own_id] and not table.own.counts_by_window


@then(
    "the estimated time of day follows no jump of the wall clock that is shorter than half a minute"
)
def check_true_time(context):
    @seed(context.seed)
    @given(jump=st.floats(-600, 600), begin=st.integers(60, 80), length=st.integers(0, 29))
    def check(jump, begin, length):
        seconds, error = 0.0, 0.0
        true_time = TrueTime.from_clocks(lambda: seconds, lambda: EPOCH + seconds + error)
        for second in range(150):
            seconds = float(second)
            error = jump if begin <= second < begin + length else 0.0
            take_reading(true_time)
            assert abs(true_time.now() - EPOCH - seconds) < 1e-3

    check()


@then("every window is reported once and in time, by one holder, with one write for each window")
def check_calm(context):
    @seed(context.seed)
    @settings(max_examples=20)
    @given(number=st.integers(0, 2**32))
    def check(number):
        world, store, platform, _ = make_world(number)
        world.run(RUN_SECONDS)
        calls = platform.calls
        assert len({call.holder for call in calls}) == 1 and {call.token for call in calls} == {1}
        assert [call.window for call in calls] == sorted({call.window for call in calls})
        assert_reported_in_time(platform, first_end=SETTLED_SECONDS, until=RUN_SECONDS)
        # The first write takes the duty; it may hold reports already.
        assert store.writes <= len(calls) + 1

    check()


@then("the reports contain all requests that the candidates counted")
def check_counts(context):
    world, _, platform, nodes = make_world(context.seed)
    world.run(RUN_SECONDS)
    by_window = {call.window: json.loads(call.body)["Counts"] for call in platform.calls}
    last = max(by_window)
    for window in range(last - RETAINED_WINDOWS + 2, last + 1):
        counted = Counter()
        for node in nodes.values():
            own = node.duty.table.own.counts_by_window.get(window, {})
            counted.update({account: started for account, (started, _) in own.items()})
        assert by_window[window] == dict(counted), window


FAULTS = (
    "pause",
    "kill",
    "store cut",
    "peer cut",
    "platform cut",
    "store down",
    "store slow",
    "store answers lost",
    "platform down",
    "platform slow",
    "platform answers lost",
    "clock step",
    "copy",
    "restore",
)
FAULT = st.tuples(st.sampled_from(FAULTS), st.floats(0, 50), st.integers(0, 2), st.floats(0.05, 12))


@then("no window has two counts, no token two holders, no token falls and no holder alternates")
def check_forbidden(context):
    @seed(context.seed)
    @settings(max_examples=EMULATED_EXAMPLES)
    @given(number=st.integers(0, 2**32), faults=st.lists(FAULT, max_size=8))
    def check(number, faults):
        world, store, platform, nodes = make_world(number)
        platform.has_late_withdrawals = True
        for fault in faults:
            schedule_fault(world, store, platform, nodes, fault)
        world.run(RUN_SECONDS)
        assert_nothing_forbidden(platform.calls)

    check()


@then("a report is sent only within the lease, which counts from before the write was sent")
def check_lease(context):
    @seed(context.seed)
    @given(answered=st.floats(0, 4), at=st.floats(0, 5), is_seen_first=st.booleans())
    def check(answered, at, is_seen_first):
        lease = Lease("node", "process")
        observe(lease, FoundRecord(None, 5, 1, exists=False, is_fresh=True), TERMS, 90.0, 0.0)
        record = make_next_record(lease, 7, (), is_takeover=True)
        begin_write(lease, record, 100.0)
        assert not may_post(lease, record.token, 100.0)
        if is_seen_first:
            found = FoundRecord(record, 6, 1, exists=True, is_fresh=True)
            observe(lease, found, TERMS, 100.0 + answered, 0.0)
        else:
            assert confirm_write(lease, record, 6, 1, TERMS, 100.0 + answered)
        assert may_post(lease, record.token, 100.0 + at) == (at < TERMS.lease_seconds)

    check()


@then("another one takes over, and nothing forbidden is sent when it is back")
def check_lost_holder(context):
    kinds = st.sampled_from(("isolated", "pause", "store cut", "peer cut", "store slow"))

    @seed(context.seed)
    @settings(max_examples=EMULATED_EXAMPLES)
    @given(number=st.integers(0, 2**32), at=st.floats(20, 25), kind=kinds, seconds=st.floats(2, 14))
    def check(number, at, kind, seconds):
        world, store, platform, nodes = make_world(number)
        platform.has_late_withdrawals = True
        world.run(at)
        holder = next(node for node in nodes.values() if node.duty.lease.is_holder)
        faults = ("store cut", "peer cut", "platform cut") if kind == "isolated" else (kind,)
        for fault in faults:
            schedule_fault(
                world, store, platform, nodes, (fault, 0.0, int(holder.name[-1]), seconds)
            )
        world.run(RUN_SECONDS)
        assert_nothing_forbidden(platform.calls)
        assert_reported_in_time(platform, first_end=45.0, until=RUN_SECONDS)

    check()


@then("tokens still rise, and no window has two counts")
def check_restored(context):
    restarts = st.lists(st.tuples(st.integers(0, 2), st.floats(-2, 15)), max_size=4)

    @seed(context.seed)
    @settings(max_examples=EMULATED_EXAMPLES)
    @given(
        number=st.integers(0, 2**32),
        copied_at=st.floats(10, 20),
        lost_seconds=st.floats(1, 15),
        restarts=restarts,
        has_takeover=st.booleans(),
        is_forgotten=st.booleans(),
    )
    # A holder that was paused during a takeover that the store has lost.
    @example(
        number=142,
        copied_at=15.825884393831776,
        lost_seconds=10.522661901690716,
        restarts=[(1, -1.342629815), (1, 0.810861486), (1, 3.870602855)],
        has_takeover=True,
        is_forgotten=False,
    )
    @example(
        number=233,
        copied_at=16.824769139473528,
        lost_seconds=9.796482953733722,
        restarts=[(1, 1.923712912), (2, 1.97640489), (0, 7.363283810), (1, 12.16169137)],
        has_takeover=True,
        is_forgotten=False,
    )
    def check(number, copied_at, lost_seconds, restarts, has_takeover, is_forgotten):
        world, store, platform, nodes = make_world(number)
        platform.has_late_withdrawals = True
        restored_at = copied_at + lost_seconds
        faults = [("copy", copied_at, 0, 0.0), ("restore", restored_at, 0, 0.0)]
        faults += [("kill", restored_at + at, index, 0.0) for index, at in restarts]
        if is_forgotten:
            faults += [("kill", restored_at + 0.01, index, 0.0) for index in range(3)]
        if has_takeover:
            # The first of the candidates usually holds the duty.
            faults.append(("pause", copied_at + 0.1, 0, 12.0))
        for fault in faults:
            schedule_fault(world, store, platform, nodes, fault)
        world.run(RUN_SECONDS)
        assert_nothing_forbidden(platform.calls)

    check()


@then("each window from before and after is reported in time with the same counts")
def check_killed_holder(context):
    @seed(context.seed)
    @settings(max_examples=EMULATED_EXAMPLES)
    @given(number=st.integers(0, 2**32), at=st.floats(25, 30))
    def check(number, at):
        world, _, platform, nodes = make_world(number)
        platform.has_late_withdrawals = True
        world.run(at)
        holder = next(node for node in nodes.values() if node.duty.lease.is_holder)
        holder.life += 1
        del nodes[holder.name]
        world.run(RUN_SECONDS)
        assert_nothing_forbidden(platform.calls)
        assert_reported_in_time(platform, first_end=15.0, until=RUN_SECONDS)
        assert len({call.token for call in platform.calls}) == 2

    check()


def make_table(messages):
    """Return a table with counts of named sources, in window 105."""
    table = UsageTable.from_window(("own", "1"), 100)
    for name, counts in messages:
        merge_source(table, (name, "1"), SourceCounts(counts), 105)
    return table


def merge_windows(target, counts_by_window):
    """Merge counts by window into others in place."""
    for window, counts in counts_by_window.items():
        merge_counts(target.setdefault(window, {}), counts)


def schedule_fault(world, store, platform, nodes, fault):
    """Begin a fault at its time, and end it after its duration."""
    kind, at, number, seconds = fault
    node = nodes[f"node-{number}"]

    def switch(holder, name, value, normal):
        def run():
            setattr(holder, name, value)
            world.sleep(seconds)
            setattr(holder, name, normal)

        return run

    def take_copy():
        store.copy = (store.record, store.revision)

    actions = {
        "pause": lambda: pause(node, seconds),
        "kill": node.start,
        "store cut": switch(node, "is_cut_from_store", True, False),
        "platform cut": switch(node, "is_cut_from_platform", True, False),
        "peer cut": switch(node, "is_cut_from_peers", True, False),
        "store down": switch(store, "is_down", True, False),
        "store slow": switch(store, "delay_seconds", seconds, 0.01),
        "store answers lost": lambda: setattr(store, "lost_answers", 2),
        "platform down": switch(platform, "is_down", True, False),
        "platform slow": switch(platform, "delay_seconds", seconds, 0.02),
        "platform answers lost": lambda: setattr(platform, "lost_answers", 3),
        "clock step": switch(node, "clock_error", seconds - 6, 0.0),
        "copy": take_copy,
        "restore": store.restore,
    }
    world.spawn(actions[kind], at)


def assert_nothing_forbidden(calls, terms=TERMS):
    """Check the calls that the platform received for the four forbidden cases."""
    counted = [call for call in calls if not call.is_excused]
    body_by_window, holder_by_token, highest = {}, {}, 0
    for call in calls:
        assert body_by_window.setdefault(call.window, call.body) == call.body, call
        assert holder_by_token.setdefault(call.token, call.holder) == call.holder, call
    for call in counted:
        assert call.token >= highest, call
        highest = call.token
    last_at_by_holder, previous = {}, None
    for call in counted:
        if previous is not None and previous != call.holder:
            since = call.at - last_at_by_holder.get(call.holder, -100.0)
            assert since >= terms.lease_seconds, call
        last_at_by_holder[call.holder] = call.at
        previous = call.holder


def assert_reported_in_time(platform, first_end, until):
    """Check that each window that ended in a span of time was reported by its limit."""
    first_at_by_window = {}
    for call in platform.calls:
        first_at_by_window.setdefault(call.window, call.at)
    window = get_window(EPOCH + first_end, TERMS.window_seconds)
    while get_window_end(window, TERMS.window_seconds) + TERMS.late_seconds < EPOCH + until:
        ended_at = get_window_end(window, TERMS.window_seconds) - EPOCH
        at = first_at_by_window.get(window)
        assert at is not None, f"window {window} that ended at {ended_at} is missing"
        assert ended_at <= at <= ended_at + TERMS.late_seconds, (window, ended_at, at)
        window += 1
