"""Test the rate limit that a target names, and a target that says in responses that it leaves."""

from collections import Counter

import gevent
from behave import then, when
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.admission.rate_limit import (
    NamedRateLimit,
    has_free_request,
    parse_rate_limit,
    set_rate_limit,
    take_request,
)
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.testing.platform_faults import set_target_faults
from comfreyhitch.testing.platform_fleet import read_run_log, send, start_daemon
from comfreyhitch.testing.processes import kill, wait_until
from features.platform_helpers import list_instances, repeat_in_background

WINDOW_SECONDS = 4.0
# In any window a target may get this multiple of its limit, and a few requests more.
MAX_LIMIT_FACTOR = 1.5
MAX_EXTRA_REQUESTS = 5
LIMIT_PER_SECOND = 4.0
# The limit binds from then on after it was first named.
BINDS_AFTER_SECONDS = 3.0
LEAVING_BINDS_AFTER_SECONDS = 2.0


@then("no sequence of requests gets more than a limit allows in any 4 s, however often it is named")
def check_any_sequence(context):
    request = st.tuples(
        st.floats(0.0, 0.7), st.sampled_from(list(TrafficClass)), st.sampled_from(["", "drop"])
    )

    @seed(context.seed)
    @given(st.floats(0.1, 200.0), st.lists(request, max_size=120))
    def check(per_second, requests):
        limit = NamedRateLimit()
        now = 0.0
        admitted = []
        set_rate_limit(limit, per_second, now)
        for pause, traffic_class, change in requests:
            now += pause
            if change:
                # Two responses that overtake each other: one named no limit yet.
                set_rate_limit(limit, None, now)
                set_rate_limit(limit, per_second, now)
            if take_request(limit, traffic_class, now):
                admitted.append(now)
        check_windows(admitted, per_second)

    check()


def check_windows(times, per_second):
    """Check that no window holds more requests than the limit allows."""
    allowed = MAX_LIMIT_FACTOR * per_second * WINDOW_SECONDS + MAX_EXTRA_REQUESTS
    for position, begin in enumerate(times):
        count = sum(at < begin + WINDOW_SECONDS for at in times[position:])
        assert count <= allowed, (per_second, begin, count, allowed)


@then(
    "the last request of a limit is kept for the highest class, and the limit ends when not named"
)
def check_classes(context):
    limit = NamedRateLimit()
    set_rate_limit(limit, 1.0, 0.0)
    assert not has_free_request(limit, TrafficClass.CRITICAL, 0.5)
    assert has_free_request(limit, TrafficClass.CRITICAL, 1.5)
    assert not has_free_request(limit, TrafficClass.NORMAL, 1.5)
    assert has_free_request(limit, TrafficClass.NORMAL, 2.5)
    set_rate_limit(limit, 0.0, 2.5)
    assert not take_request(limit, TrafficClass.NORMAL, 100.0) or limit.bucket.tokens < 2.0
    set_rate_limit(limit, None, 3.0)
    assert all(take_request(limit, TrafficClass.BACKGROUND, 3.0) for _ in range(100))


@then("a limit that is no decimal number is not taken for one")
def check_odd_limits(context):
    for text, value in (("4.3", 4.3), ("0", 0.0), ("12", 12.0), ("0.25", 0.25)):
        assert parse_rate_limit(text) == value
    odd = ("", "-1", "nan", "inf", "1e9", "1_0", "4,3", "4.3.1", " 4", "9" * 400, "four", "\u0664")
    assert [text for text in odd if parse_rate_limit(text) is not None] == []


@when("one of two targets names a limit of 4 requests a second, and far more come")
def name_limit(context):
    context.limited, context.other = list_instances(context, "catalogue")
    context.statuses = Counter()
    set_target_faults(context.limited, rate_limit=f"{LIMIT_PER_SECOND:g}")

    def call(instance):
        context.statuses[send(instance, "/catalogue/x")[1].status] += 1

    for instance in context.platform_fleet.instances_by_name.values():
        for _ in range(2):
            repeat_in_background(context, lambda instance=instance: call(instance))
    gevent.sleep(BINDS_AFTER_SECONDS + 2 * WINDOW_SECONDS)


@then("it gets no more than it takes, the other gets the rest, and no request is refused")
def check_limited(context):
    times = list_run_times(context, context.limited)
    binding = [at for at in times if at >= times[0] + BINDS_AFTER_SECONDS]
    assert len(binding) >= LIMIT_PER_SECOND * WINDOW_SECONDS, len(binding)
    check_windows(binding, LIMIT_PER_SECOND)
    assert len(list_run_times(context, context.other)) > 5 * len(times)
    assert context.statuses.keys() == {200}, context.statuses


def list_run_times(context, instance):
    """Return when requests began to run at the targets of an instance."""
    prefix = f"i-{instance.name}-"
    entries = read_run_log(context.platform_fleet)
    return [entry.logged_at for entry in entries if entry.instance_id.startswith(prefix)]


@when("its daemon is killed and started again while the limit holds")
def restart_limited_daemon(context):
    kill(context.limited.daemon)
    start_daemon(context.platform_fleet, context.limited)
    gevent.sleep(2 * WINDOW_SECONDS)


@then("it still gets no more than it takes")
def check_still_limited(context):
    times = list_run_times(context, context.limited)
    check_windows([at for at in times if at >= times[0] + BINDS_AFTER_SECONDS], LIMIT_PER_SECOND)


@when("it names no limit any more")
def drop_limit(context):
    set_target_faults(context.limited, rate_limit="")


@then("it gets its share again within 3 seconds")
def check_share_again(context):
    def gets_share():
        before = len(list_run_times(context, context.limited))
        gevent.sleep(0.5)
        return len(list_run_times(context, context.limited)) - before > 2 * LIMIT_PER_SECOND

    wait_until(gets_share, 3.0, "requests beyond the old limit")


@when("it says in its responses that it leaves, while its heartbeats say that it is ready")
def leave_by_header(context):
    set_target_faults(context.limited, is_leaving=True)
    gevent.sleep(LEAVING_BINDS_AFTER_SECONDS)
    context.left_at_count = len(list_run_times(context, context.limited))


@then("it gets no request from then on, also when its daemon is killed and started again")
def check_left(context):
    gevent.sleep(2.0)
    assert len(list_run_times(context, context.limited)) == context.left_at_count
    kill(context.limited.daemon)
    start_daemon(context.platform_fleet, context.limited)
    gevent.sleep(4.0)
    assert len(list_run_times(context, context.limited)) == context.left_at_count
    assert context.statuses.keys() <= {200}, context.statuses
