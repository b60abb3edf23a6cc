"""Test how settings, documents, heartbeats and headers of the platform are decoded."""

import tempfile
from copy import deepcopy
from datetime import timedelta
from pathlib import Path

from behave import then
from hypothesis import assume, example, given, seed
from hypothesis import strategies as st

from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.documents.models import DocumentKind, RawDocument, RolloutState
from comfreyhitch.platform.documents import (
    decode_configuration,
    decode_rollout,
    encode_rollout_status,
)
from comfreyhitch.platform.durations import parse_duration
from comfreyhitch.platform.settings import get_addresses, make_settings, read_file
from comfreyhitch.routing.matching import find_route

SETTINGS = {
    "Node": "sidecar-za-1",
    "Zone": "za",
    "Region": "r",
    "Listen.Outbound": "10.1.0.8:8304",
    "Listen.ReadinessAddr": "10.1.0.8:8302",
    "Listen.Control": "10.1.0.8:8306",
    "PortRange": "7620,7635",
    "AppAddr": "10.1.0.8:8301",
    "Service": "huvo11a",
    "Platform.Address": "10.200.1.7:8309",
    "Bounds.Grace": "6s",
    "Bounds.BudgetRatio": "0.2",
    "Bounds.BudgetExtra": "60",
    "Bounds.BudgetWindow": "10s",
    "Bounds.ProbesPerS": "60",
    "A.NewField": "whatever",
}
REQUIRED_SETTINGS = sorted(SETTINGS.keys() - {"Node", "A.NewField"})
CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-1",
            "Host": "Shop.example",
            "Prefix": "/a/",
            "Kind": "idempotent",
            "Timeout": "1000ms",
            "Slo": "0.5s",
            "Priority": 2,
            "Split": [{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}],
            "Attempts": 2,
        },
        {
            "Name": "r-2",
            "Host": "shop.example",
            "Prefix": "/a/b/",
            "Kind": "non_idempotent",
            "Timeout": "1200ms",
            "Slo": "600ms",
            "Priority": 1,
            "Service": "s2",
            "Attempts": 1,
        },
    ],
    "Services": [
        {"Name": "s1", "HealthPath": "/h", "MaxConns": 9, "ColdStart": "3s", "ColdPerS": 8.4}
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 100,
        "HeaderTimeout": "3s",
        "IdleTimeout": "15s",
    },
}
REQUIRED_FIELDS = [
    ("Version",),
    ("Routes",),
    ("Services",),
    ("Limits",),
    ("Routes", 0, "Host"),
    ("Routes", 0, "Prefix"),
    ("Routes", 0, "Kind"),
    ("Routes", 0, "Timeout"),
    ("Routes", 1, "Service"),
    ("Services", 0, "ColdPerS"),
    ("Limits", "IdleTimeout"),
]
# Values that are invalid for nearly all fields; each check names the fields that accept one.
INVALID_VALUES = [None, True, [], {}, "", "?", -1, 1.5]


def corrupt_field(content, path, value):
    """Return a copy of the content with one field set to a value, or removed for `KeyError`."""
    changed = deepcopy(content)
    parent = changed
    for part in path[:-1]:
        parent = parent[part]
    if value is KeyError:
        del parent[path[-1]]
    else:
        parent[path[-1]] = value
    return changed


def corruptions():
    """Return a strategy for the values that `corrupt_field` takes."""
    return st.sampled_from([KeyError, *INVALID_VALUES])


@then(
    "a duration is parsed back from its text, and any text that is accepted holds more than a unit "
    "and gives no negative duration"
)
def check_durations(context):
    @seed(context.seed)
    @given(st.integers(0, 10**9))
    def check_round_trip(milliseconds):
        assert parse_duration(f"{milliseconds}ms") == timedelta(milliseconds=milliseconds)

    @seed(context.seed)
    @given(st.one_of(st.text(max_size=8), st.integers(), st.none(), st.floats()))
    def check_refusal(value):
        try:
            duration = parse_duration(value)
        except ValueError:
            return
        # An accepted text holds more than a unit.
        assert value.rstrip("ms") and duration >= timedelta(0)

    check_round_trip()
    check_refusal()


@then(
    "the platform's settings are decoded, and an error names a missing or invalid value, or the "
    "line of the file"
)
def check_settings(context):
    settings = make_settings(SETTINGS, {})
    assert (settings.http_port, settings.peer_port) == (8304, 7620)
    assert settings.platform_url == "http://10.200.1.7:8309"
    assert get_addresses(SETTINGS)["Listen.Control"] == ("10.1.0.8", 8306)
    assert make_settings(SETTINGS, {"COMFREYHITCH_ZONE": "zx"}).zone == "zx"
    # Without this selection, the limit of a target that saturates below its slots is never learned.
    expected_by_contracts = {
        "pool": ("throughput", "cost"),
        "pool,rollout": ("slots", "class"),
        "": ("slots", "class"),
    }
    for contracts, expected in expected_by_contracts.items():
        settings = make_settings({**SETTINGS, "Contracts": contracts}, {})
        assert (settings.limit_rule, settings.overload_control) == expected, contracts
    check_error_names(SETTINGS, "no_such", {"COMFREYHITCH_NO_SUCH": "1"})
    for name in REQUIRED_SETTINGS:
        check_error_names({key: value for key, value in SETTINGS.items() if key != name}, name)
    for name in ("Listen.Outbound", "AppAddr", "Bounds.Grace"):
        check_error_names({**SETTINGS, name: "nonsense"}, "nonsense")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.conf"
        path.write_text("Node=a\nno separator here\n")
        try:
            read_file(path)
        except SettingsError as error:
            assert ":2:" in str(error), error
        else:
            raise AssertionError("a line without '=' was accepted")


def check_error_names(values, expected, environment=None):
    """Check that invalid settings are refused by an error that names the expected text."""
    try:
        settings = make_settings(values, environment or {})
        get_addresses(values)
    except SettingsError as error:
        assert expected in str(error), (expected, str(error))
    except KeyError as error:
        assert error.args[0] == expected
    else:
        raise AssertionError((expected, settings))


@then(
    "a configuration is decoded to a route table, and the error for an invalid one names the field "
    "or its route"
)
def check_configurations(context):
    table = decode_configuration(RawDocument(DocumentKind.ROUTES, "main", CONFIGURATION)).unwrap()
    assert find_route(table, "SHOP.example:80", "/a/b/c").name == "r-2"
    assert find_route(table, "shop.example", "/a/c?x=/a/b/").name == "r-1"
    assert find_route(table, "shop.example", "/b/") is None
    assert find_route(table, "other.example", "/a/") is None
    assert not table.routes_by_host["shop.example"][0].is_idempotent

    @seed(context.seed)
    @given(st.sampled_from(REQUIRED_FIELDS), corruptions())
    def check_refusal(path, value):
        spec = corrupt_field(CONFIGURATION, path, value)
        assume(not (path == ("Routes",) and value == []))
        assume(not (path == ("Services",) and value == []))
        decoded = decode_configuration(RawDocument(DocumentKind.ROUTES, "main", spec))
        if decoded.is_ok():
            # Any text is a valid host or service name, and any positive number a valid rate.
            is_text = path[-1] in ("Host", "Kind", "Service") and value == "?"
            is_rate = path[-1] == "ColdPerS" and value == 1.5
            assert is_text or is_rate, (path, value)
            return
        # The error for a missing service names the route, not the field.
        assert str(path[-1]) in decoded.err_value or "r-2" in decoded.err_value

    check_refusal()


@then(
    "downloads may be repeated, and a route of an unknown kind is served at most once beside the "
    "others"
)
def check_kinds(context):
    @seed(context.seed)
    @given(st.text(min_size=1, max_size=256))
    def check(kind):
        spec = corrupt_field(CONFIGURATION, ("Routes", 1, "Kind"), kind)
        table = decode_configuration(RawDocument(DocumentKind.ROUTES, "main", spec)).unwrap()
        known = {"idempotent": True, "download": True, "non_idempotent": False}
        changed = find_route(table, "shop.example", "/a/b/c")
        assert changed.is_idempotent == known.get(kind, False)
        unknown = [route.unknown_kind for route in table.list_routes_of_unknown_kind()]
        assert unknown == ([] if kind in known else [kind])
        assert find_route(table, "shop.example", "/a/c").is_idempotent

    for kind in ("idempotent", "download", "non_idempotent"):
        check = example(kind)(check)
    check()


@then("an order keeps its state only for the version that it names")
def check_orders(context):
    # Operators may reuse an order for another version. The state in its status then belongs to
    # the earlier version, and the order counts as new.
    spec = {"Service": "s1", "ToVersion": "v2", "Duration": "12s"}
    document = RawDocument(DocumentKind.ROLLOUT, "s1", spec, created_revision=5)
    order = decode_rollout(document).unwrap()
    assert order.state is RolloutState.NEW and order.duration == timedelta(seconds=12)
    for state in (RolloutState.RUNNING, RolloutState.SUCCEEDED, RolloutState.ROLLED_BACK):
        status = encode_rollout_status(order, state)
        reported_document = RawDocument(
            DocumentKind.ROLLOUT, "s1", spec, status, created_revision=5
        )
        assert decode_rollout(reported_document).unwrap().state is state
        changed_spec = {**spec, "ToVersion": "v3"}
        reused_document = RawDocument(
            DocumentKind.ROLLOUT, "s1", changed_spec, status, created_revision=5
        )
        assert decode_rollout(reused_document).unwrap().state is RolloutState.NEW


@then(
    "with any grace period from 1 to 60 s, requests that may outlast a stop are served for less "
    "than 3 s, and the stop ends within the grace period"
)
def check_stop_times(context):
    for grace_seconds in range(1, 61):
        settings = make_settings({**SETTINGS, "Bounds.Grace": f"{grace_seconds}s"}, {})
        linger_seconds = settings.stop_linger.total_seconds()
        assert 0.0 < linger_seconds < 3.0, (grace_seconds, linger_seconds)
        stop_seconds = linger_seconds + settings.drain_timeout.total_seconds()
        assert linger_seconds < stop_seconds < grace_seconds, (grace_seconds, stop_seconds)
        send_seconds = settings.send_timeout.total_seconds()
        # Some of the grace period is left for the end of the process.
        assert send_seconds > 0.0, (grace_seconds, send_seconds)
        assert stop_seconds + send_seconds < 0.98 * grace_seconds, (grace_seconds, send_seconds)


@then(
    "the bandwidth of the platform is used only where requests are scheduled by cost, and its "
    "memory everywhere"
)
def check_link_bandwidth(context):
    # Guards against a deployment without overload control whose responses are paced, and against
    # one whose machines run out of memory.
    with_link = {**SETTINGS, "Limits.LinkMbps": "8.5"}
    shared = {"Contracts": "pool, tenants"}
    assert make_settings(with_link, {}).link_bandwidth is None
    assert make_settings({**with_link, **shared}, {}).link_bandwidth == 8.5
    assert make_settings({**SETTINGS, **shared}, {}).link_bandwidth is None
    excluded = {"Contracts": "pool,rollout"}
    assert make_settings({**with_link, **excluded}, {}).link_bandwidth is None
    with_memory = {**SETTINGS, "Limits.MemoryMb": "200"}
    for contracts in ({}, shared, excluded):
        assert make_settings({**with_memory, **contracts}, {}).memory_limit == 200
    check_error_names({**with_link, **shared, "Limits.LinkMbps": "0"}, "link_bandwidth")
    check_error_names({**with_link, **shared, "Limits.LinkMbps": "fast"}, "link_bandwidth")
