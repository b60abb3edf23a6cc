"""Test that changes are in force in time although the store's replicas lag."""

import gevent
from behave import then

from comfreyhitch.core.clock import Clock
from comfreyhitch.documents.models import DocumentKind
from comfreyhitch.platform.models import FRESH, STALE
from comfreyhitch.testing.platform_objects import drop_history, take_stale_snapshot
from comfreyhitch.testing.processes import wait_until
from comfreyhitch.watching.follower import DOUBT_SECONDS, follow, get_watch_mode, read_once
from comfreyhitch.watching.waits import LONG_WATCH_SECONDS, SHORT_WATCH_SECONDS
from features.steps.document_steps import (
    make_configuration,
    make_follower,
    make_replica,
    write_object,
)

LAG_SECONDS = 8.0
# A configuration has to be in force within 2 s; half of it is left for what tests can't see.
IN_FORCE_SECONDS = 1.0
SETTLE_SECONDS = 0.2


@then("a change that was made before the watches were cut is in force within a second")
def check_cut_watches(context):
    for watch_seconds in (SHORT_WATCH_SECONDS, LONG_WATCH_SECONDS):
        write_object(context, DocumentKind.ROUTES, "main", make_configuration(3))
        blackboard, _, following = start_following(context, watch_seconds)
        assert blackboard.route_table.version == 3
        context.store_state.faults.lag_seconds = LAG_SECONDS
        write_object(context, DocumentKind.ROUTES, "main", make_configuration(7))
        write_object(context, DocumentKind.ZONE_OUT, "za", {})
        gevent.sleep(SETTLE_SECONDS)
        assert (blackboard.route_table.version, blackboard.zones_out) == (3, frozenset())
        drop_history(context.store_state)
        wait_until(
            lambda blackboard=blackboard: is_in_force(blackboard, 7, {"za"}),
            IN_FORCE_SECONDS,
            f"the change, with watches of {watch_seconds} s",
        )
        # So is the next one, while the replicas still lag.
        write_object(context, DocumentKind.ROUTES, "main", make_configuration(9))
        wait_until(
            lambda blackboard=blackboard: is_in_force(blackboard, 9, {"za"}),
            IN_FORCE_SECONDS,
            f"the next change, with watches of {watch_seconds} s",
        )
        gevent.killall(following)
        context.store_state.faults.lag_seconds = 0.0
        for kind in ("config", "evacuations"):
            context.store_state.objects_by_kind.pop(kind)


def start_following(context, watch_seconds):
    """Return a replica, its followers, and the greenlets in which these wait for changes."""
    blackboard, store = make_replica(Clock.from_system())
    followers = [
        make_follower(context, kind, store) for kind in (DocumentKind.ROUTES, DocumentKind.ZONE_OUT)
    ]
    for follower in followers:
        assert read_once(follower) is None
        follower.watch_timeout_seconds = watch_seconds
        # As after a calm time.
        follower.doubtful_until = 0.0
    following = [gevent.spawn(follow, follower) for follower in followers]
    for greenlet in following:
        context.add_cleanup(greenlet.kill)
    gevent.sleep(SETTLE_SECONDS)
    return blackboard, followers, following


def is_in_force(blackboard, version, zones_out):
    """Return whether a configuration and an evacuation are in force."""
    return blackboard.route_table.version == version and blackboard.zones_out == zones_out


@then("a daemon that starts has what is current within a second, though its first lists are old")
def check_start(context):
    state = context.store_state
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(3))
    take_stale_snapshot(state)
    state.faults.lag_seconds = LAG_SECONDS
    write_object(context, DocumentKind.ZONE_OUT, "zb", {})
    blackboard, store = make_replica(Clock.from_system())
    follower = make_follower(context, DocumentKind.ZONE_OUT, store)
    follower.watch_timeout_seconds = SHORT_WATCH_SECONDS
    greenlet = gevent.spawn(follow, follower)
    context.add_cleanup(greenlet.kill)
    wait_until(lambda: blackboard.zones_out == {"zb"}, IN_FORCE_SECONDS, "the evacuation")


@then("a watch that waits its time and hears nothing costs the store little again after a while")
def check_calm_watches(context):
    context.store_state.faults.lag_seconds = 0.0
    _, store = make_replica(Clock.from_system())
    follower = make_follower(context, DocumentKind.ROUTES, store)
    assert read_once(follower) is None
    for _ in range(3):
        assert read_once(follower) is None
        assert get_watch_mode(follower, follower.asked_at) is STALE
    context.store_state.faults.is_down = True
    assert read_once(follower) is not None
    context.store_state.faults.is_down = False
    assert read_once(follower) is None
    now = follower.clock.monotonic()
    assert get_watch_mode(follower, now) is FRESH
    assert get_watch_mode(follower, now + DOUBT_SECONDS) is STALE
