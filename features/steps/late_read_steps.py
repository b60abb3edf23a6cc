"""Steps for a store whose reads that may be stale are seconds old."""

import gevent
from behave import given, then, when

from comfreyhitch.core.clock import Clock
from comfreyhitch.daemon.controllers import WATCH_PLAN_INTERVAL
from comfreyhitch.documents.models import DocumentKind
from comfreyhitch.testing.fleet import set_platform_faults
from comfreyhitch.testing.platform_objects import drop_history, record_moment
from comfreyhitch.testing.processes import wait_until
from comfreyhitch.watching.follower import follow, read_once
from comfreyhitch.watching.linearizable import set_linearizable, watch_linearizably
from comfreyhitch.watching.waits import BRIEF_WATCH_SECONDS, NEW_READER_SECONDS
from features.steps.document_steps import (
    make_configuration,
    make_follower,
    make_replica,
    write_object,
)
from features.steps.platform_requests_steps import follows_new_configuration

# Reads that may be stale are older than a change may take to be in force.
STALE_READ_SECONDS = 3.0
IN_FORCE_SECONDS = 1.5
SILENCE_SECONDS = 1.0
LINEARIZABLE = "linearizable watch"


@given("each zone has had its readers for some seconds")
def wait_for_readers(context):
    gevent.sleep(NEW_READER_SECONDS + 2 * WATCH_PLAN_INTERVAL.total_seconds())


@when("reads that may be stale become {seconds:g} seconds old")
def make_reads_late(context, seconds):
    set_platform_faults(context.platform_fleet.fleet, stale_read_seconds=seconds)


@when("reads of its platform that may be stale become {seconds:g} seconds old")
def make_platform_reads_late(context, seconds):
    set_platform_faults(context.fleet, stale_read_seconds=seconds)


@then("all daemons apply it {seconds:g} seconds later")
def check_applied(context, seconds):
    gevent.sleep(seconds)
    instances = context.platform_fleet.instances_by_name.values()
    late = [item.name for item in instances if not follows_new_configuration(context, item)]
    assert not late, f"route by the configuration before: {late}"


@then(
    "a reader of a zone has a change within 1.5 seconds, also after its watches were cut off "
    "silently, and another daemon has it later and sends no linearizable watch"
)
def check_reader(context):
    state = context.store_state
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(3))
    record_moment(state)
    state.faults.stale_read_seconds = STALE_READ_SECONDS
    reader = start_following(context, is_reader=True)
    other = start_following(context, is_reader=False)
    change_and_wait(context, reader, 7)
    assert other.route_table.version == 3
    # One was sent at the start, and one after the change.
    assert state.calls_by_verb[LINEARIZABLE] <= 2, state.calls_by_verb
    cut_watches(context, 8)
    wait_until(lambda: reader.route_table.version == 8, IN_FORCE_SECONDS, "the cut change")
    change_and_wait(context, reader, 9)
    wait_until(lambda: other.route_table.version == 9, 10.0, "the other daemon")


@then("a reader whose store refuses linearizable calls still has changes by the others")
def check_refused_calls(context):
    state = context.store_state
    state.faults.stale_read_seconds = 0.0
    state.faults.refuses_linearizable_watches = True
    reader = start_following(context, is_reader=True)
    change_and_wait(context, reader, reader.route_table.version + 2)


def start_following(context, *, is_reader):
    """Follow the configuration with a brief watch; return the blackboard of the daemon."""
    blackboard, store = make_replica(Clock.from_system())
    follower = make_follower(context, DocumentKind.ROUTES, store)
    assert read_once(follower) is None
    follower.watch_timeout_seconds = BRIEF_WATCH_SECONDS
    set_linearizable(follower, is_reader)
    for run in (follow, watch_linearizably):
        context.add_cleanup(gevent.spawn(run, follower).kill)
    gevent.sleep(0.1)
    return blackboard


def change_and_wait(context, blackboard, version):
    """Change the configuration, and check that it is in force in time."""
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(version))
    wait_until(
        lambda: blackboard.route_table.version == version, IN_FORCE_SECONDS, f"version {version}"
    )


def cut_watches(context, version):
    """Change the configuration while no watch hears anything, and drop the history."""
    faults = context.store_state.faults
    faults.are_watches_silent = True
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(version))
    gevent.sleep(SILENCE_SECONDS)
    faults.are_watches_silent = False
    drop_history(context.store_state)
