"""Test that a change is in force in time although the store has cut all watches off silently."""

from random import Random

import gevent
from behave import then

from comfreyhitch.core.clock import Clock
from comfreyhitch.documents.models import DocumentKind
from comfreyhitch.testing.platform_objects import drop_history
from comfreyhitch.testing.processes import wait_until
from comfreyhitch.watching.follower import follow, read_once, renew_together
from comfreyhitch.watching.waits import (
    WatchConditions,
    WatchPlan,
    get_lead_watch_seconds,
    plan_watch_seconds,
)
from features.steps.document_steps import (
    make_configuration,
    make_follower,
    make_replica,
    write_object,
)

# A configuration has to be in force within 2 s; half a second is left for telling the peers.
IN_FORCE_SECONDS = 1.5
SILENCE_SECONDS = 1.0
SETTLED_SECONDS = 100.0


@then(
    "the first reader of a zone has a change of that time within 1.5 seconds after the silence, "
    "and a later one too"
)
def check_cut_watches(context):
    state = context.store_state
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(3))
    blackboard, store = make_replica(Clock.from_system())
    start_following(context, store)
    # The silence begins at any moment of a watch.
    gevent.sleep(Random(context.seed).uniform(0.2, 1.2))
    state.faults.are_watches_silent = True
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(7))
    write_object(context, DocumentKind.ZONE_OUT, "za", {})
    gevent.sleep(SILENCE_SECONDS)
    assert (blackboard.route_table.version, blackboard.zones_out) == (3, frozenset())
    state.faults.are_watches_silent = False
    drop_history(state)
    wait_until(lambda: is_in_force(blackboard, 7, {"za"}), IN_FORCE_SECONDS, "the change")
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(9))
    wait_until(lambda: is_in_force(blackboard, 9, {"za"}), IN_FORCE_SECONDS, "a later change")


def start_following(context, store):
    """Follow two kinds of documents as the first reader of a zone does in a calm time."""
    lead, other = (
        make_follower(context, kind, store) for kind in (DocumentKind.ROUTES, DocumentKind.ZONE_OUT)
    )
    conditions = WatchConditions(
        daemon_count=100,
        is_first_reader=True,
        is_reader=True,
        has_store_failures=False,
        is_watch_late=False,
        unanswered_probes=0,
    )
    seconds = plan_watch_seconds(WatchPlan(settled_since=0.0), conditions, SETTLED_SECONDS)
    for follower, watch_seconds in (
        (lead, get_lead_watch_seconds(seconds, conditions)),
        (other, seconds),
    ):
        assert read_once(follower) is None
        follower.watch_timeout_seconds = watch_seconds
    renew_together([lead, other])
    for follower in (lead, other):
        context.add_cleanup(gevent.spawn(follow, follower).kill)


def is_in_force(blackboard, version, zones_out):
    """Return whether a configuration and an evacuation are in force."""
    return blackboard.route_table.version == version and blackboard.zones_out == zones_out


@then("a store whose answers are late is still heard")
def check_slow_store(context):
    state = context.store_state
    state.faults.delay_seconds = 0.0
    blackboard, store = make_replica(Clock.from_system())
    start_following(context, store)
    version = blackboard.route_table.version + 2
    state.faults.delay_seconds = 0.8
    # A watch that is late is sent again with more time each time.
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(version))
    wait_until(lambda: blackboard.route_table.version == version, 15.0, "the change")
