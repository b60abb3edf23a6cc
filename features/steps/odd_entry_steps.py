"""Test that odd entries of another writer, in the store or a heartbeat, leave the rest alone."""

import json

from behave import then
from gevent.pywsgi import WSGIServer
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.core.clock import Clock
from comfreyhitch.documents.models import DocumentKind
from comfreyhitch.membership.registration import sync_registrations
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.platform.decoding import MAX_NESTING, decode_json, prune_nesting
from comfreyhitch.platform.heartbeats import decode_heartbeat
from comfreyhitch.testing.target import QuietHandler
from comfreyhitch.watching.follower import read_once
from comfreyhitch.wire.sockets import connect
from features.steps.document_steps import make_follower, make_replica
from features.steps.heartbeat_input_steps import HEARTBEAT
from features.steps.registration_steps import make_registration

DEEP = "[" * 100_000 + "]" * 100_000
LONG_NUMBER = "1" + "0" * 5000
GOOD_ENTRY = '{"Metadata":{"Name":"za","Rev":5,"CreateRevision":5},"Spec":{}}'
# Entries that are no objects, and objects whose content means nothing.
ODD_ENTRIES = (
    '{"Metadata":{"Name":"zb","Rev":"x"},"Spec":{}}',
    '{"Metadata":{"Name":"zb","Rev":-1},"Spec":{}}',
    f'{{"Metadata":{{"Name":"zb","Rev":{2**70}}},"Spec":{{}}}}',
    f'{{"Metadata":{{"Name":"zb","Rev":{LONG_NUMBER}}},"Spec":{{}}}}',
    f'{{"Metadata":{DEEP},"Spec":{{}}}}',
    '{"Metadata":{"Name":5},"Spec":{}}',
    '{"Spec":{}}',
    "null",
    "17",
    '"text"',
    "[]",
    DEEP,
)
ODD_SPECS = (DEEP, LONG_NUMBER, "null", "17", '"text"', "[1]", '{"address":5}')
ODD_ADDRESSES = ("10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:-5", "nowhere", "")


def start_store(context, entries):
    """Serve a store that lists some entries; return a client of it."""
    body = f'{{"StoreRevision":9,"items":[{",".join(entries)}]}}'.encode()

    def application(environ, start_response):
        is_read = environ["REQUEST_METHOD"] == "GET"
        status = "200 OK" if is_read else "409 Conflict"
        start_response(status, [("Content-Type", "application/json")])
        return [body if is_read else b"{}"]

    server = WSGIServer(
        ("127.0.0.1", 0), application, handler_class=QuietHandler, log=None, error_log=None
    )
    server.start()
    context.add_cleanup(server.stop)
    return PlatformClient.from_url(f"http://127.0.0.1:{server.server_port}")


@then("a follower has the good ones among them, and takes none back that it can't read")
def check_lists(context):
    for odd in ODD_ENTRIES:
        blackboard, store = make_replica(Clock.from_system())
        context.client = start_store(context, [GOOD_ENTRY, GOOD_ENTRY.replace("za", "zb")])
        follower = make_follower(context, DocumentKind.ZONE_OUT, store)
        assert read_once(follower) is None
        assert blackboard.zones_out == {"za", "zb"}
        follower.client = start_store(context, [GOOD_ENTRY, odd])
        follower.revision = None
        assert read_once(follower) is None, odd[:60]
        # An entry whose name can't be read takes the zone's old one back, as if it were deleted.
        has_name = '"zb"' in odd
        assert blackboard.zones_out == ({"za", "zb"} if has_name else {"za"}), odd[:60]


@then("a daemon registers and joins although registrations hold nonsense")
def check_registrations(context):
    specs = [*ODD_SPECS, *(json.dumps({"address": text}) for text in ODD_ADDRESSES)]
    entries = [
        f'{{"Metadata":{{"Name":"d{number}","Rev":3}},"Spec":{spec}}}'
        for number, spec in enumerate(specs)
    ]
    own = "127.0.0.1:7000"
    entries.append(f'{{"Metadata":{{"Name":"own","Rev":3}},"Spec":{{"address":"{own}"}}}}')
    context.client = start_store(context, entries)
    registration = make_registration(context, own, {})
    registration.client = context.client
    assert sync_registrations(registration)


@then("a heartbeat with nested, too large or out of range values is refused")
def check_heartbeats(context):
    assert decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode()).is_ok()
    assert decode_heartbeat("i-1", DEEP.encode()).is_err()
    text = json.dumps(HEARTBEAT)
    for old, new in (
        ('"Seq": 4', f'"Seq": {2**63}'),
        ('"Seq": 4', f'"Seq": {LONG_NUMBER}'),
        ('"Seq": 4', f'"Seq": {DEEP}'),
        ('"born": 1780000000000', f'"born": {2**63}'),
        (":8301", ":99999"),
        (":8301", ":0"),
    ):
        assert old in text
        assert decode_heartbeat("i-1", text.replace(old, new).encode()).is_err(), new[:40]


@then("a connection to a port out of range fails as any other that can't be made")
def check_ports(context):
    for port in (99_999, -1, 2**40):
        try:
            connect("127.0.0.1", port, 0.5)
        except OSError:
            continue
        raise AssertionError(port)


@then("what is nested too deeply is read as null, and any other content unchanged")
def check_pruning(context):
    content = st.recursive(
        st.none() | st.booleans() | st.integers(-(10**20), 10**20) | st.text(),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    )

    @seed(context.seed)
    @given(content)
    def check(value):
        body = json.dumps(value).encode()
        assert prune_nesting(body) == body
        assert decode_json(body).unwrap() == value

    check()
    kept = "[" * MAX_NESTING + "null" + "]" * MAX_NESTING
    assert prune_nesting(DEEP.encode()).decode() == kept
    assert decode_json(f'{{"a":{DEEP},"b":"]}}{{[","c":3}}'.encode()).unwrap()["c"] == 3
