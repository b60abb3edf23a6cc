"""Test how long watches of the store wait, and that a broken long watch is renewed."""

from dataclasses import replace

import gevent
from behave import then
from gevent.server import StreamServer
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.core.clock import Clock
from comfreyhitch.documents.models import DocumentKind
from comfreyhitch.documents.watching import is_watch_late
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.replication.facts import merge_facts
from comfreyhitch.testing.processes import wait_until
from comfreyhitch.watching.follower import follow, read_once, set_watch_timeout
from comfreyhitch.watching.waits import (
    BRIEF_WATCH_SECONDS,
    LONG_WATCH_SECONDS,
    MAX_UNANSWERED_PROBES,
    MIN_DAEMONS_FOR_LONG_WATCHES,
    NEW_READER_SECONDS,
    SETTLING_SECONDS,
    SHORT_WATCH_SECONDS,
    WatchConditions,
    WatchPlan,
    get_lead_watch_seconds,
    needs_linearizable_watch,
    plan_watch_seconds,
)
from features.steps.document_steps import (
    make_configuration,
    make_follower,
    make_replica,
    write_object,
)

RENEWAL_TIMEOUT_SECONDS = 5.0
# Waiting for this long would be far longer than any test.
BROKEN_WATCH_SECONDS = 20.0
CALM = WatchConditions(
    daemon_count=MIN_DAEMONS_FOR_LONG_WATCHES,
    is_first_reader=False,
    is_reader=False,
    has_store_failures=False,
    is_watch_late=False,
    unanswered_probes=0,
)


@then("only readers, small fleets and daemons with a disturbance renew their watches often")
def check_watch_plan(context):
    @seed(context.seed)
    @given(st.lists(st.tuples(st.floats(0.1, 20.0), make_conditions()), max_size=40))
    def check(steps):
        plan = WatchPlan(settled_since=0.0)
        now, disturbed_at, was_late = 0.0, 0.0, False
        for elapsed, conditions in steps:
            now += elapsed
            is_disturbed = (
                conditions.has_store_failures
                or conditions.unanswered_probes > MAX_UNANSWERED_PROBES
                or (conditions.is_watch_late and was_late)
            )
            was_late = conditions.is_watch_late
            disturbed_at = now if is_disturbed else disturbed_at
            may_wait = (
                not conditions.is_reader
                and conditions.daemon_count >= MIN_DAEMONS_FOR_LONG_WATCHES
                and now - disturbed_at >= SETTLING_SECONDS
            )
            expected = LONG_WATCH_SECONDS if may_wait else SHORT_WATCH_SECONDS
            planned = plan_watch_seconds(plan, conditions, now)
            assert planned == expected
            expected = BRIEF_WATCH_SECONDS if conditions.is_first_reader else expected
            assert get_lead_watch_seconds(planned, conditions) == expected

    check()
    for disturbance in (
        replace(CALM, has_store_failures=True),
        replace(CALM, unanswered_probes=MAX_UNANSWERED_PROBES + 1),
        replace(CALM, is_watch_late=True),
    ):
        plan = WatchPlan(settled_since=0.0)
        assert plan_watch_seconds(plan, CALM, 100.0) == LONG_WATCH_SECONDS
        plan_watch_seconds(plan, disturbance, 100.5)
        assert plan_watch_seconds(plan, disturbance, 101.0) == SHORT_WATCH_SECONDS
        assert plan_watch_seconds(plan, CALM, 101.0 + SETTLING_SECONDS) == LONG_WATCH_SECONDS


@then("only a daemon that has been a reader for some seconds has linearizable watches")
def check_linearizable_plan(context):
    @seed(context.seed)
    @given(st.lists(st.tuples(st.floats(0.1, 5.0), make_conditions()), max_size=40))
    def check(steps):
        plan = WatchPlan(settled_since=0.0)
        now, reader_since = 0.0, None
        for elapsed, conditions in steps:
            now += elapsed
            if not conditions.is_reader:
                reader_since = None
            elif reader_since is None:
                reader_since = now
            expected = reader_since is not None and now - reader_since >= NEW_READER_SECONDS
            assert needs_linearizable_watch(plan, conditions, now) == expected

    check()


def make_conditions():
    """Return a strategy for what a daemon may know."""
    return st.builds(
        WatchConditions,
        daemon_count=st.integers(1, 2 * MIN_DAEMONS_FOR_LONG_WATCHES),
        is_first_reader=st.booleans(),
        is_reader=st.booleans(),
        has_store_failures=st.booleans(),
        is_watch_late=st.booleans(),
        unanswered_probes=st.integers(0, 3),
    )


@then("a daemon whose long watch is broken learns of a change from its peers and renews the watch")
def check_broken_watch(context):
    clock = Clock.from_system()
    blackboard, store = make_replica(clock)
    peer_blackboard, peer_store = make_replica(clock)
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(3))
    follower = make_follower(context, DocumentKind.ROUTES, store)
    peer = make_follower(context, DocumentKind.ROUTES, peer_store)
    assert [read_once(item) for item in (follower, peer)] == [None, None]
    reachable_client = follower.client
    silent_server = StreamServer(("127.0.0.1", 0), hold_connection)
    silent_server.start()
    follower.client = PlatformClient("127.0.0.1", silent_server.server_port, print)
    follower.watch_timeout_seconds = BROKEN_WATCH_SECONDS
    following = gevent.spawn(follow, follower)
    gevent.sleep(0.1)
    follower.client = reachable_client
    followers_by_kind = {DocumentKind.ROUTES: follower}
    try:
        check_learns_from_peer(
            context, followers_by_kind, (blackboard, store), (peer, peer_blackboard, peer_store)
        )
    finally:
        following.kill()
        silent_server.stop()


def hold_connection(connection, address):
    """Read a request, and never answer it."""
    while connection.recv(65536):
        pass


def check_learns_from_peer(context, followers_by_kind, replica, peer_replica):
    """Check that the change of a peer is in force, and makes the follower renew its watch."""
    blackboard, store = replica
    peer, peer_blackboard, peer_store = peer_replica
    follower = followers_by_kind[DocumentKind.ROUTES]
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(8))
    assert read_once(peer) is None
    assert peer_blackboard.route_table.version == 8
    assert blackboard.route_table.version == 3
    assert not is_watch_late(followers_by_kind, blackboard.document_version_by_kind)
    merge_facts(store, list(peer_store.facts_by_id.values()), is_from_peer=True)
    assert blackboard.route_table.version == 8
    assert is_watch_late(followers_by_kind, blackboard.document_version_by_kind)

    # A watch that has not waited longer than it may is left alone.
    revision = follower.revision
    set_watch_timeout(follower, BROKEN_WATCH_SECONDS)
    gevent.sleep(0.2)
    assert follower.revision == revision
    follower.asked_at -= SHORT_WATCH_SECONDS + 2.0
    set_watch_timeout(follower, SHORT_WATCH_SECONDS)
    wait_until(
        lambda: follower.revision > revision, RENEWAL_TIMEOUT_SECONDS, "the watch is renewed"
    )
    assert not is_watch_late(followers_by_kind, blackboard.document_version_by_kind)
    assert follower.is_connected
