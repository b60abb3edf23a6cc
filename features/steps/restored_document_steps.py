"""Test what a follower makes of the lists and events of a store that came back from a copy."""

from types import SimpleNamespace
from unittest.mock import patch

from behave import then
from result import Ok

from comfreyhitch.core.clock import Clock
from comfreyhitch.documents import watching
from comfreyhitch.documents.models import DocumentKind
from comfreyhitch.platform.exceptions import PlatformFailure
from comfreyhitch.platform.models import (
    ChangeBatch,
    Metadata,
    ObjectChange,
    ObjectList,
    PlatformObject,
)
from comfreyhitch.replication.facts import merge_facts
from comfreyhitch.watching import follower as following
from comfreyhitch.watching.follower import read_once
from features.steps.document_steps import make_follower, make_replica

SERVICE = "c"


def start_daemon(context, kind=DocumentKind.ROLLOUT):
    """Return the parts of one daemon that follow documents, with the holds that it schedules."""
    blackboard, store = make_replica(Clock.from_system())
    # The lists and events of these tests come without a store.
    context.client = None
    follower = make_follower(context, kind, store)
    return SimpleNamespace(blackboard=blackboard, store=store, follower=follower, holds=[])


def read_list(daemon, era, revision, *items):
    """Let a daemon read a list of the store in an era."""
    daemon.follower.era = era
    daemon.follower.revision = revision

    def schedule(seconds, action, *arguments):
        daemon.holds.append(lambda: action(*arguments))

    with patch.object(watching.gevent, "spawn_later", schedule):
        daemon.follower.on_list(ObjectList(revision, list(items), era=era))


def read_change(daemon, item, *, is_deleted=False):
    """Let a daemon read one event of a watch."""
    daemon.follower.on_change(ObjectChange(item, is_deleted))


def end_hold(daemon):
    """Let the time pass for which lost documents are held."""
    holds, daemon.holds = daemon.holds, []

    def schedule(seconds, action, *arguments):
        daemon.holds.append(lambda: action(*arguments))

    with patch.object(watching.gevent, "spawn_later", schedule):
        for hold in holds:
            hold()


def make_order(revision, created, version, state=None):
    """Return the object of a rollout order."""
    spec = {"Service": SERVICE, "ToVersion": version, "Duration": "20s"}
    status = None if state is None else {"State": state, "ToVersion": version}
    return PlatformObject(Metadata(SERVICE, revision, created), spec, status)


def make_evacuation(revision, name="za"):
    """Return the object of an evacuation."""
    return PlatformObject(Metadata(name, revision, revision), {})


def get_rollout_id(daemon):
    """Return the id of the order that is in force."""
    return daemon.blackboard.rollout_orders_by_service[SERVICE].rollout_id


@then("an older order in the copy does not replace the lost one while operators may write it again")
def check_older_order(context):
    daemon = start_daemon(context)
    read_list(daemon, 1, 12, make_order(12, 5, "v2", "succeeded"))
    read_change(daemon, make_order(20, 5, "v3", "rolled_back"))
    read_list(daemon, 2, 14, make_order(12, 5, "v2", "succeeded"))
    assert daemon.blackboard.rollout_orders_by_service[SERVICE].to_version == "v3"
    end_hold(daemon)
    assert daemon.follower.revision is None
    read_list(daemon, 2, 14, make_order(12, 5, "v2", "succeeded"))
    assert daemon.blackboard.rollout_orders_by_service[SERVICE].to_version == "v2"


@then(
    "an order that is written again keeps its identity, also if the copy held an older one, and "
    "one that an operator has deleted loses it"
)
def check_identity(context):
    for copied in ([], [make_order(12, 5, "v2")]):
        daemon = start_daemon(context)
        read_list(daemon, 1, 12, make_order(12, 5, "v2"))
        read_change(daemon, make_order(13, 5, "v2"), is_deleted=True)
        read_change(daemon, make_order(20, 20, "v3"))
        assert get_rollout_id(daemon) == "c:v3:20"
        read_list(daemon, 2, 12, *copied)
        read_change(daemon, make_order(15, 15, "v3"))
        assert get_rollout_id(daemon) == "c:v3:20", copied
        # A status that daemons write does not change it.
        read_change(daemon, make_order(16, 15, "v3", "running"))
        assert get_rollout_id(daemon) == "c:v3:20", copied
        read_change(daemon, make_order(16, 15, "v3"), is_deleted=True)
        read_change(daemon, make_order(18, 18, "v3"))
        assert get_rollout_id(daemon) == "c:v3:18", copied


@then(
    "a daemon that starts after the return takes nothing from the copy for newer than what its "
    "peers know"
)
def check_starting_daemon(context):
    peer = start_daemon(context)
    read_list(peer, 1, 12, make_order(12, 5, "v2"))
    read_change(peer, make_order(20, 5, "v3"))
    read_list(peer, 2, 12, make_order(12, 5, "v2"))
    starting = start_daemon(context)
    read_list(starting, 2, 12, make_order(12, 5, "v2"))
    merge_facts(peer.store, list(starting.store.facts_by_id.values()), is_from_peer=True)
    merge_facts(starting.store, list(peer.store.facts_by_id.values()), is_from_peer=True)
    for daemon in (peer, starting):
        assert daemon.blackboard.rollout_orders_by_service[SERVICE].to_version == "v3"
    # The identity of an order written again is the one that any daemon remembers.
    rewritten = make_order(14, 14, "v3")
    late = start_daemon(context)
    read_list(late, 2, 14, rewritten)
    merge_facts(peer.store, list(late.store.facts_by_id.values()), is_from_peer=True)
    read_change(peer, rewritten)
    merge_facts(late.store, list(peer.store.facts_by_id.values()), is_from_peer=True)
    assert get_rollout_id(peer) == get_rollout_id(late) == "c:v3:5"


@then("lost documents are held only while the store can be written to, and then removed")
def check_hold(context):
    daemon = start_daemon(context, DocumentKind.ZONE_OUT)
    read_list(daemon, 1, 10)
    read_change(daemon, make_evacuation(20))
    read_list(daemon, 2, 12)
    assert daemon.blackboard.zones_out == {"za"}
    daemon.follower.failures = 1
    end_hold(daemon)
    assert daemon.blackboard.zones_out == {"za"}
    daemon.follower.failures = 0
    end_hold(daemon)
    read_list(daemon, 2, 13)
    assert not daemon.blackboard.zones_out
    # In a later era an evacuation that was written again is not lost.
    read_change(daemon, make_evacuation(14))
    assert daemon.blackboard.zones_out == {"za"}
    read_change(daemon, make_evacuation(14), is_deleted=True)
    assert not daemon.blackboard.zones_out


@then("an answer of an earlier era is an error, not a reason to list at once")
def check_stale_answer(context):
    daemon = start_daemon(context)
    read_list(daemon, 2, 12, make_order(12, 5, "v2"))
    stale = Ok(ChangeBatch(revision=30, events=[ObjectChange(make_order(30, 5, "v9"))], era=1))
    with patch.object(following, "wait_for_changes", lambda *arguments: stale):
        error = read_once(daemon.follower)
    assert error.failure is PlatformFailure.UNAVAILABLE
    assert daemon.follower.revision == 12
    assert daemon.blackboard.rollout_orders_by_service[SERVICE].to_version == "v2"
    newer = Ok(ChangeBatch(revision=13, events=[ObjectChange(make_order(13, 5, "v9"))], era=3))
    with patch.object(following, "wait_for_changes", lambda *arguments: newer):
        assert read_once(daemon.follower) is None
    assert daemon.follower.revision is None
    assert daemon.blackboard.rollout_orders_by_service[SERVICE].to_version == "v2"
