"""Test that invalid entries of any kind are left out, and the entries around them stay in force."""

import json
import logging

from behave import then
from gevent.pywsgi import WSGIServer
from hypothesis import example, given, seed, settings
from hypothesis import strategies as st

from comfreyhitch.core.clock import Clock
from comfreyhitch.documents.models import DocumentKind
from comfreyhitch.membership.registration import sync_registrations
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.platform.heartbeats import decode_heartbeat
from comfreyhitch.platform.models import Metadata, PlatformObject
from comfreyhitch.sections.reader import SectionReader, process_section_object
from comfreyhitch.testing.target import QuietHandler
from comfreyhitch.watching.follower import read_once
from features.steps.document_steps import make_follower, make_replica
from features.steps.heartbeat_input_steps import HEARTBEAT
from features.steps.platform_input_steps import CONFIGURATION
from features.steps.registration_steps import make_registration

EXAMPLES = 120
# Bytes that are no UTF-8 stand for this text in the body of the store.
UNREADABLE = "unreadable-bytes"
ORDER = {"Service": "s", "ToVersion": "v2", "Duration": "12s"}
TEXTS = st.one_of(
    st.text(max_size=6),
    st.sampled_from([UNREADABLE, "\ud800", "Metadata", "Name", "State", "ToVersion", "address"]),
)
SCALARS = st.one_of(
    st.none(), st.booleans(), st.integers(), st.integers(-(2**70), 2**70), st.floats(), TEXTS
)
VALUES = st.recursive(
    SCALARS,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXTS, inner, max_size=3),
    max_leaves=6,
)
# Contents of which a part is as the entries of the kind have it.
SPECS = st.one_of(
    VALUES,
    st.fixed_dictionaries({}, optional=dict.fromkeys(ORDER, VALUES)),
    st.fixed_dictionaries({"address": VALUES}),
    st.just(ORDER),
)
STATUSES = st.one_of(VALUES, st.fixed_dictionaries({"ToVersion": st.just("v2"), "State": VALUES}))
METADATA = st.one_of(
    st.just({"Name": "odd", "Rev": 5, "CreateRevision": 5}),
    st.fixed_dictionaries({"Name": TEXTS}, optional={"Rev": VALUES, "Deleting": VALUES}),
    VALUES,
)
ENTRIES = st.one_of(
    VALUES,
    st.fixed_dictionaries({"Metadata": METADATA}, optional={"Spec": SPECS, "Status": STATUSES}),
)
NAMED = {"Name": "odd", "Rev": 5, "CreateRevision": 5}
UNREADABLE_ADDRESS = {"Metadata": NAMED, "Spec": {"address": UNREADABLE}}
LIST_AS_STATE = {
    "Metadata": NAMED,
    "Spec": ORDER,
    "Status": {"ToVersion": "v2", "State": ["running"]},
}


def encode(content):
    """Return JSON in which bytes that are no UTF-8 stand where the text names them."""
    return json.dumps(content).encode().replace(UNREADABLE.encode(), b"\xff\xfe\xb1")


def make_entry(name, spec):
    """Return a valid entry."""
    return {"Metadata": {"Name": name, "Rev": 5, "CreateRevision": 5}, "Spec": spec}


def is_named(entry, name):
    """Return whether an entry of another writer has the name of a valid one."""
    metadata = entry.get("Metadata") if isinstance(entry, dict) else None
    return isinstance(metadata, dict) and metadata.get("Name") == name


class ListingStore:
    """Serve lists and watches of entries that a test sets."""

    def __init__(self, context):
        self.entries = []
        server = WSGIServer(
            ("127.0.0.1", 0), self.serve, handler_class=QuietHandler, log=None, error_log=None
        )
        server.start()
        context.add_cleanup(server.stop)
        self.client = PlatformClient.from_url(f"http://127.0.0.1:{server.server_port}")

    def serve(self, environ, start_response):
        """Answer a list or a watch with the entries, and any write with a conflict."""
        is_read = environ["REQUEST_METHOD"] == "GET"
        start_response("200 OK" if is_read else "409 Conflict", [])
        if not is_read:
            return [b"{}"]
        if "Watch=" in environ["QUERY_STRING"]:
            events = [{"Object": entry} for entry in self.entries]
            return [encode({"StoreRevision": 10, "events": events})]
        return [encode({"StoreRevision": 9, "items": self.entries})]


def read_entries(context, store_server, kind, entries, *, is_watch):
    """Return the blackboard of a daemon that lists or watches the entries."""
    blackboard, store = make_replica(Clock.from_system())
    context.client = store_server.client
    follower = make_follower(context, kind, store)
    if is_watch:
        store_server.entries = []
        assert read_once(follower) is None
    store_server.entries = entries
    assert read_once(follower) is None, entries
    return blackboard


@then("documents of each kind take effect beside any entries of another writer")
def check_documents(context):
    store_server = ListingStore(context)
    orders = [make_entry(name, {**ORDER, "Service": name}) for name in ("s1", "s3")]
    zones = [make_entry(name, {}) for name in ("za", "zc")]
    configuration = make_entry("main", CONFIGURATION)
    previous_level = logging.root.manager.disable
    logging.disable(logging.CRITICAL)

    @seed(context.seed)
    @settings(max_examples=EXAMPLES)
    @given(st.lists(ENTRIES, min_size=1, max_size=3), st.booleans())
    @example([LIST_AS_STATE], False)
    @example([LIST_AS_STATE], True)
    @example([UNREADABLE_ADDRESS], False)
    @example([UNREADABLE_ADDRESS], True)
    def check(odd, is_watch):
        odd = [
            entry
            for entry in odd
            if not any(is_named(entry, name) for name in ("s1", "s3", "za", "zc", "main"))
        ]
        kind = DocumentKind.ROLLOUT
        around = [orders[0], *odd, orders[1]]
        found = read_entries(context, store_server, kind, around, is_watch=is_watch)
        assert found.rollout_orders_by_service.keys() >= {"s1", "s3"}, odd
        kind = DocumentKind.ZONE_OUT
        around = [zones[0], *odd, zones[1]]
        found = read_entries(context, store_server, kind, around, is_watch=is_watch)
        assert found.zones_out >= {"za", "zc"}, odd
        kind = DocumentKind.ROUTES
        around = [*odd, configuration, *odd]
        found = read_entries(context, store_server, kind, around, is_watch=is_watch)
        assert found.route_table is not None, odd

    try:
        check()
    finally:
        logging.disable(previous_level)


@then("a daemon joins through the registrations beside them")
def check_registrations(context):
    store_server = ListingStore(context)
    own = "127.0.0.1:7000"
    context.client = store_server.client
    registration = make_registration(context, own, {})
    registration.client = store_server.client

    @seed(context.seed)
    @settings(max_examples=EXAMPLES)
    @given(st.lists(ENTRIES, max_size=3))
    @example([UNREADABLE_ADDRESS])
    def check(odd):
        store_server.entries = [*odd, make_entry("own", {"address": own}), *odd]
        assert sync_registrations(registration), odd

    check()


@then("sections and heartbeats of any content are refused or read, without another effect")
def check_other_kinds(context):
    blackboard, store = make_replica(Clock.from_system())
    client = ListingStore(context).client
    reader = SectionReader(blackboard, store, client, None)

    @seed(context.seed)
    @settings(max_examples=EXAMPLES)
    @given(SPECS, STATUSES, st.sampled_from(sorted(HEARTBEAT)), VALUES)
    def check(spec, status, field, value):
        process_section_object(reader, PlatformObject(Metadata(name="odd"), spec, status))
        decode_heartbeat("i-1", encode(value))
        decode_heartbeat("i-1", encode({**HEARTBEAT, field: value}))

    check()


@then("the log names each entry that is left out")
def check_log(context):
    records = []
    handler = logging.Handler()
    handler.emit = records.append
    logging.getLogger("comfreyhitch").addHandler(handler)
    try:
        store_server = ListingStore(context)
        for odd in (LIST_AS_STATE, UNREADABLE_ADDRESS):
            kind = DocumentKind.ROLLOUT
            read_entries(context, store_server, kind, [odd], is_watch=False)
            texts = [json.dumps(record.__dict__, default=str) for record in records]
            assert any(
                "odd" in text and record.levelno >= logging.WARNING
                for text, record in zip(texts, records, strict=True)
            ), texts
            records.clear()
    finally:
        logging.getLogger("comfreyhitch").removeHandler(handler)
