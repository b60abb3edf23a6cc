"""Documents of operators: their replication, how followers read them, and how they take effect."""

from collections import Counter
from dataclasses import replace
from random import Random

import gevent
from behave import given, then
from gevent.pywsgi import WSGIServer
from hypothesis import given as given_values
from hypothesis import seed
from hypothesis import strategies as st

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.clock import Clock
from comfreyhitch.documents.applying import apply_document, validate_document_fact
from comfreyhitch.documents.models import DocumentKind, RawDocument, dump_document
from comfreyhitch.documents.versions import make_document_version
from comfreyhitch.documents.watching import is_store_unreachable, make_document_follower
from comfreyhitch.platform.client import (
    PlatformClient,
    create_object,
    delete_object,
    get_object,
    update_object,
    update_status,
)
from comfreyhitch.platform.documents import DOCUMENT_SOURCES
from comfreyhitch.platform.exceptions import PlatformFailure
from comfreyhitch.platform.models import Metadata, ObjectChange, PlatformObject, replace_status
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact, merge_facts
from comfreyhitch.testing.platform import make_application
from comfreyhitch.testing.platform_objects import StoreState, take_stale_snapshot
from comfreyhitch.testing.target import QuietHandler
from comfreyhitch.watching.follower import Follower, follow, read_once
from comfreyhitch.watching.outages import Outage, end_outage
from features.fakes import FakeClock, make_member
from features.steps.platform_input_steps import CONFIGURATION

DECODERS = {source.kind: source.decode for source in DOCUMENT_SOURCES}
SOURCES_BY_KIND = {source.kind: source for source in DOCUMENT_SOURCES}
WATCH_TIMEOUT_SECONDS = 0.05


def make_replica(clock):
    """Return a blackboard and a fact store whose documents are applied to the blackboard."""
    blackboard = Blackboard(clock=clock, own_member=make_member())
    store = FactStore.from_clock(clock)

    def observe(facts):
        for fact in facts:
            apply_document(blackboard, fact, DECODERS)

    store.observers.append(observe)
    return blackboard, store


def make_document_fact(kind, name, revision, spec=None, *, is_deleted=False):
    """Return the fact that replicates a document."""
    document = RawDocument(kind, name, spec, is_deleted=is_deleted)
    version = make_document_version(SOURCES_BY_KIND[kind], document, 0, revision)
    return StoredFact(FactKind.DOCUMENT, document.key, version, dump_document(document))


def make_configuration(version):
    """Return the content of a configuration with a version."""
    return {**CONFIGURATION, "Version": version}


@then("documents that arrive in any order, repeatedly or late, leave the newest in force")
def check_arrival_order(context):
    event = st.tuples(st.sampled_from(["routes", "out", "in", "bad"]), st.integers(1, 30))

    @seed(context.seed)
    @given_values(st.lists(event, min_size=1, max_size=20))
    def check(events):
        blackboard, store = make_replica(FakeClock().make_clock())
        highest = 0
        for name, revision in events:
            fact = make_event_fact(name, revision)
            if validate_document_fact(fact.key, fact.value, DECODERS).is_ok():
                merge_facts(store, [fact])
            if name == "routes":
                highest = max(highest, revision)
            version = 0 if blackboard.route_table is None else blackboard.route_table.version
            assert version == highest
        zone_events = [(revision, name) for name, revision in events if name in ("out", "in")]
        if zone_events:
            newest = max(revision for revision, _ in zone_events)
            # In a store, each change has its own revision, but the generated events may take za out
            # and bring it back at the same revision.
            names = {name for revision, name in zone_events if revision == newest}
            if len(names) == 1:
                assert ("za" in blackboard.zones_out) == (names == {"out"})

    check()


def make_event_fact(name, revision):
    """Return the fact for a generated event."""
    if name == "routes":
        return make_document_fact(
            DocumentKind.ROUTES, "main", revision, make_configuration(revision)
        )
    if name == "bad":
        return make_document_fact(DocumentKind.ROUTES, "main", revision + 50, {"Version": 99})
    return make_document_fact(DocumentKind.ZONE_OUT, "za", revision, {}, is_deleted=name == "in")


@given("the stand-in store")
def start_store(context):
    context.store_state = StoreState()
    server = WSGIServer(
        ("127.0.0.1", 0),
        make_application(context.store_state),
        handler_class=QuietHandler,
        log=None,
        error_log=None,
    )
    server.start()
    context.add_cleanup(server.stop)
    context.client = PlatformClient.from_url(f"http://127.0.0.1:{server.server_port}")


def make_follower(context, kind, store):
    """Return a follower of one kind of document with a short watch timeout."""
    clock = Clock.from_system()
    source = SOURCES_BY_KIND[kind]
    random = Random(context.seed)
    follower = make_document_follower(source, store, context.client, clock, random, Outage())
    follower.watch_timeout_seconds = WATCH_TIMEOUT_SECONDS
    return follower


def write_object(context, kind, name, spec):
    """Create or replace an object as an operator does."""
    store_kind = SOURCES_BY_KIND[kind].store_kind
    item = PlatformObject(metadata=Metadata(name=name), spec=spec)
    if create_object(context.client, store_kind, item).is_err():
        update_object(context.client, store_kind, item).unwrap()


@then("what is in force follows the store through lost history, outages and deletions")
def check_documents_in_force(context):
    clock = Clock.from_system()
    blackboard, store = make_replica(clock)
    routes = make_follower(context, DocumentKind.ROUTES, store)
    zones = make_follower(context, DocumentKind.ZONE_OUT, store)
    followers = [routes, zones]

    def read_all():
        return [read_once(follower) for follower in followers]

    write_object(context, DocumentKind.ROUTES, "main", make_configuration(3))
    assert read_all() == [None, None]
    assert blackboard.route_table.version == 3
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(8))
    write_object(context, DocumentKind.ZONE_OUT, "za", {})
    assert read_all() == [None, None]
    assert (blackboard.route_table.version, blackboard.zones_out) == (8, {"za"})
    assert not is_store_unreachable(followers, clock.monotonic())

    context.store_state.faults.is_down = True
    assert None not in read_all()
    assert is_store_unreachable(followers, clock.monotonic())
    assert (blackboard.route_table.version, blackboard.zones_out) == (8, {"za"})

    context.store_state.faults.is_down = False
    delete_object(context.client, "evacuations", "za").unwrap()
    write_object(context, DocumentKind.ROUTES, "main", make_configuration(9))
    # Without the history, the first read finds its revision expired, and the second lists again.
    context.store_state.events.clear()
    context.store_state.oldest_revision = context.store_state.revision
    read_all()
    read_all()
    assert (blackboard.route_table.version, blackboard.zones_out) == (9, frozenset())
    write_object(context, DocumentKind.ZONE_OUT, "za", {})
    read_all()
    assert blackboard.zones_out == {"za"}
    delete_object(context.client, "evacuations", "za").unwrap()
    read_all()
    assert not blackboard.zones_out


@then("a follower gets the changes since its list, whether the store still has its history or not")
def check_stale_initial_list(context):
    # Guards against a stale initial list that stays in force: in the snapshot za is still out,
    # and zb is not yet. With its history, the store returns both changes to the watch. Without
    # it, the revision of the list has expired, and the follower lists again.
    write_object(context, DocumentKind.ZONE_OUT, "za", {})
    take_stale_snapshot(context.store_state)
    delete_object(context.client, "evacuations", "za").unwrap()
    write_object(context, DocumentKind.ZONE_OUT, "zb", {})
    for has_history in (True, False):
        blackboard, store = make_replica(Clock.from_system())
        follower = make_follower(context, DocumentKind.ZONE_OUT, store)
        assert read_once(follower) is None
        assert blackboard.zones_out == {"za"}
        if not has_history:
            context.store_state.events.clear()
            context.store_state.oldest_revision = context.store_state.revision
        read_once(follower)
        read_once(follower)
        assert blackboard.zones_out == {"zb"}, has_history


@then("a late deletion event does not remove a document that was created since")
def check_late_deletion(context):
    # The late event deletes revision 45, but the document was created again at revision 50.
    blackboard, store = make_replica(Clock.from_system())
    follower = make_follower(context, DocumentKind.ZONE_OUT, store)
    merge_facts(store, [make_document_fact(DocumentKind.ZONE_OUT, "za", 50, {})])
    late = PlatformObject(metadata=Metadata(name="za", revision=45), spec={})
    follower.on_change(ObjectChange(object=late, is_deleted=True))
    assert blackboard.zones_out == {"za"}
    # A deletion event may carry the revision of the last change before the deletion.
    current = PlatformObject(metadata=Metadata(name="za", revision=50), spec={})
    follower.on_change(ObjectChange(object=current, is_deleted=True))
    assert not blackboard.zones_out


@then("a deletion that is told twice does not hide a document that is created next")
def check_repeated_deletion(context):
    # Guards against an evacuation that is not in force at a daemon that heard of the deletion of
    # the one before from a peer and from its own watch.
    blackboard, store = make_replica(Clock.from_system())
    follower = make_follower(context, DocumentKind.ZONE_OUT, store)
    for revision, is_deleted in ((5, False), (6, True), (6, True), (7, False)):
        item = PlatformObject(metadata=Metadata(name="za", revision=revision), spec={})
        follower.on_change(ObjectChange(object=item, is_deleted=is_deleted))
    assert blackboard.zones_out == {"za"}


@then(
    "a conditional write fails if the stored revision is newer, and takes effect if only its "
    "response is lost"
)
def check_conditional_writes(context):
    write_object(context, DocumentKind.ROLLOUT, "s1", {"Service": "s1"})
    item = get_object(context.client, "rollouts", "s1").unwrap()
    first = replace_status(item, {"State": "running"})
    second = replace_status(item, {"State": "succeeded"})
    assert update_status(context.client, "rollouts", first).is_ok()
    refused = update_status(context.client, "rollouts", second)
    assert refused.err_value.failure is PlatformFailure.CONFLICT
    item = get_object(context.client, "rollouts", "s1").unwrap()
    assert item.status == {"State": "running"}
    # The store applies the next update, but the response to it is lost.
    context.store_state.faults.lost_answers = 1
    unconfirmed = update_status(
        context.client, "rollouts", replace_status(item, {"State": "rolled_back"})
    )
    assert unconfirmed.err_value.failure is PlatformFailure.UNAVAILABLE
    gevent.sleep(0.0)
    stored = get_object(context.client, "rollouts", "s1").unwrap()
    assert stored.status == {"State": "rolled_back"}


@then("one follower keeps retrying, and the others resume when the store is reachable again")
def check_single_retrying_follower(context):
    # Guards against an outage in which every follower of a daemon retries: one of them does so for
    # all, and the others wait until its calls succeed.
    calls_by_kind = Counter()
    # Nothing listens on this port, so each call fails immediately.
    client = PlatformClient("127.0.0.1", 1, lambda verb: None)
    outage = Outage()
    followers = [
        make_failing_follower(client, kind, outage, calls_by_kind) for kind in ("a", "b", "c")
    ]
    greenlets = [gevent.spawn(follow, follower) for follower in followers]
    gevent.sleep(1.2)
    assert sorted(calls_by_kind.values())[:2] == [1, 1], calls_by_kind
    assert max(calls_by_kind.values()) >= 3, calls_by_kind
    before = dict(calls_by_kind)
    end_outage(outage)
    gevent.sleep(0.1)
    gevent.killall(greenlets)
    resumed = [kind for kind in calls_by_kind if calls_by_kind[kind] > before[kind]]
    assert len(resumed) >= 2, (before, calls_by_kind)


def make_failing_follower(client, kind, outage, calls_by_kind):
    """Return a follower whose calls fail, and are counted under its kind."""
    counting_client = replace(client, count_call=lambda verb: calls_by_kind.update([kind]))
    clock = Clock.from_system()
    return Follower(counting_client, kind, clock, Random(kind), print, print, outage=outage)
