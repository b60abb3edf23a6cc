"""Test decoding of client accounts and how requests are authenticated, without a network."""

import logging
from copy import deepcopy
from random import Random

from behave import then
from hypothesis import example, given, seed
from hypothesis import strategies as st

from comfreyhitch.accounts.models import NO_ACCOUNT, is_account_name
from comfreyhitch.conf.models import Settings
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.verdicts import Refusal, Verdict
from comfreyhitch.documents.applying import apply_document
from comfreyhitch.documents.models import DocumentKind, RawDocument, dump_document
from comfreyhitch.documents.versions import make_numbered_version
from comfreyhitch.egress.interface import CallerRequest
from comfreyhitch.egress.state import Egress
from comfreyhitch.platform.callers import make_platform_interface
from comfreyhitch.platform.documents import DOCUMENT_SOURCES, decode_configuration
from comfreyhitch.platform.names import HEADER_ACCOUNT, HEADER_REQUEST_ID
from comfreyhitch.replication.facts import FactKind, StoredFact
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.telemetry.logs import JsonFormatter
from comfreyhitch.telemetry.metrics import Metrics, observe_request, render_metrics
from comfreyhitch.testing.operator_documents import make_configuration
from comfreyhitch.testing.platform_models import HOST_NAME
from comfreyhitch.wire.connections import PeerPool
from features.fakes import FakeClock, make_member

SECRET = "hunter2-of-a-client"
# Accounts of the furniture shop, a few of which send most requests.
SHOP_ACCOUNTS = 76
LARGE_ACCOUNTS = 4
LARGE_SHARE = 0.7
REQUESTS = 4000
REQUESTS_PER_VERSION = 100


def make_keyed_configuration(version, tenants):
    """Return a configuration with accounts, and with a private and a public route."""
    content = make_configuration(version, ["catalogue", "payments"])
    for route in content["Routes"]:
        route["Public"] = route["Service"] == "payments"
    return {**content, "Tenants": tenants}


def decode(content):
    """Return the result of decoding a configuration."""
    return decode_configuration(RawDocument(DocumentKind.ROUTES, "main", content))


def make_egress():
    """Return an egress that knows no configuration."""
    clock = FakeClock().make_clock()
    blackboard = Blackboard(clock=clock, own_member=make_member())
    pool = PeerPool.from_address("127.0.0.1:8081", "127.0.0.1", clock)
    return Egress.from_settings(Settings(), blackboard, pool, Metrics.create())


def send(egress, headers, path="/catalogue/x"):
    """Classify a request as the platform's interface does."""
    interface = make_platform_interface(egress)
    headers = [("Host", HOST_NAME), (HEADER_REQUEST_ID, "id"), *headers]
    return interface.classify(CallerRequest("GET", path, headers, b"", 0.0))


def make_key_header(key):
    """Return the header of a request with a key."""
    return ("Authorization", f"Bearer {key}")


def list_values(call, name):
    """Return the values of a header that the target of a call gets."""
    return [value for field, value in call.headers if field.lower() == name.lower()]


def check_unauthenticated(result):
    """Check that a request was refused for its key, as not run and without naming the key."""
    failure = result.err_value
    assert (failure.refusal, failure.status) == (Refusal.UNAUTHENTICATED, 401), failure
    assert failure.verdict is Verdict.NOT_RUN
    assert SECRET not in failure.detail


@then("accounts are decoded, and an error names the place of an invalid entry but never a key")
def check_entries(context):
    tenants = [
        {"Name": "pulo780", "ApiKeys": ["k1", "k2", "k1"], "Priority": 0},
        {"Name": "kabo51", "ApiKeys": []},
    ]
    accounts = decode(make_keyed_configuration(1, tenants)).unwrap().accounts
    assert [account.priority for account in accounts.by_name.values()] == [0, None]
    assert len(accounts.digests) == 2
    assert "k1" not in repr(accounts)
    good = [{"Name": "a", "ApiKeys": [SECRET]}, {"Name": "b", "ApiKeys": ["other"]}]
    for place, value in [
        ("Tenants[1].Name", ""),
        ("Tenants[1].Name", "n" * 257),
        ("Tenants[1].Name", "a"),
        ("Tenants[1].Name", None),
        ("Tenants[1].Name", "a\r\nX-Other: 1"),
        ("Tenants[1].Name", "b "),
        ("Tenants[1].Name", "\ud800"),
        ("Tenants[1].ApiKeys", SECRET),
        ("Tenants[1].ApiKeys", {SECRET: 1}),
        ("Tenants[1].ApiKeys[1]", ["other", ""]),
        ("Tenants[1].ApiKeys[1]", ["other", SECRET]),
        ("Tenants[1].ApiKeys[0]", [[SECRET]]),
        ("Tenants[1].Priority", -1),
        ("Tenants[1].Priority", True),
        ("Tenants[1].Priority", 2**31),
        ("Tenants[1].Priority", 10**40),
    ]:
        changed = deepcopy(good)
        changed[1][place.split(".")[1].partition("[")[0]] = value
        reason = decode(make_keyed_configuration(1, changed)).err_value
        assert place in reason and SECRET not in reason, (place, reason)
    for field in ("Name", "ApiKeys"):
        changed = deepcopy(good)
        del changed[1][field]
        reason = decode(make_keyed_configuration(1, changed)).err_value
        assert field in reason and "Tenants[1]" in reason and SECRET not in reason

    @seed(context.seed)
    @given(st.lists(st.lists(st.text(max_size=3), max_size=3), max_size=4))
    def check_any_keys(keys_by_account):
        entries = [
            {"Name": f"a{index}", "ApiKeys": keys} for index, keys in enumerate(keys_by_account)
        ]
        owners = [(key, index) for index, keys in enumerate(keys_by_account) for key in keys]
        is_valid = all(key for key, _ in owners) and len(dict(owners)) == len(set(owners))
        assert decode(make_keyed_configuration(1, entries)).is_ok() == is_valid

    check_any_keys()


@then("an empty list of accounts is in force, and a list that is null is refused")
def check_empty_lists(context):
    egress = make_egress()
    egress.blackboard.route_table = decode(make_keyed_configuration(1, [])).unwrap()
    check_unauthenticated(send(egress, [make_key_header(SECRET)]))
    assert "Tenants" in decode(make_keyed_configuration(1, None)).err_value


@then(
    "each of 4,000 requests is served as the account that holds its key in the version in force, "
    "and any other one gets 401"
)
def check_load(context):
    random = Random(context.seed)
    egress = make_egress()
    names = [f"account-{number}" for number in range(SHOP_ACCOUNTS)]
    names_by_key = {f"key-{number}": name for number, name in enumerate(names)}
    removed_keys = []
    served = dict.fromkeys(names, 0)
    for number in range(REQUESTS):
        if number % REQUESTS_PER_VERSION == 0:
            version = 1 + number // REQUESTS_PER_VERSION
            if version > 1:
                rotate_key(random, names_by_key, removed_keys, f"key-of-version-{version}")
            tenants = [
                {
                    "Name": name,
                    "ApiKeys": [key for key in names_by_key if names_by_key[key] == name],
                }
                for name in names
            ]
            table = decode(make_keyed_configuration(version, tenants)).unwrap()
            egress.blackboard.route_table = table
        key = choose_key(random, names_by_key, removed_keys)
        headers = [(HEADER_ACCOUNT, random.choice(names))]
        if key is not None:
            headers.append(make_key_header(key))
        result = send(egress, headers)
        if key not in names_by_key:
            check_unauthenticated(result)
            continue
        call = result.ok_value
        assert call.tenant == names_by_key[key]
        assert call.table_version == egress.blackboard.route_table.version
        assert list_values(call, HEADER_ACCOUNT) == [names_by_key[key]]
        assert list_values(call, "Authorization") == []
        served[call.tenant] += 1
    assert all(served.values()), "each account sent requests"


def rotate_key(random, names_by_key, removed_keys, new_key):
    """Take one key away from its account, and give the account a new one."""
    removed = random.choice(sorted(names_by_key))
    names_by_key[new_key] = names_by_key.pop(removed)
    removed_keys.append(removed)


def choose_key(random, names_by_key, removed_keys):
    """Return the key of a request, most often of a large account; None for no key."""
    draw = random.random()
    if draw < 0.05:
        return None
    if draw < 0.15:
        return random.choice([*removed_keys, "never-known"])
    keys = list(names_by_key)
    large = [key for key in keys if int(names_by_key[key].partition("-")[2]) < LARGE_ACCOUNTS]
    return random.choice(large if random.random() < LARGE_SHARE else keys)


@then("the account's priority goes before that of its route, for the traffic class and the rank")
def check_priority(context):
    egress = make_egress()
    classes = [TrafficClass.CRITICAL, TrafficClass.NORMAL, TrafficClass.BACKGROUND]
    for route_priority in (0, 1, 2):
        for priority in (None, 0, 1, 2):
            tenants = [{"Name": "a", "ApiKeys": ["k"]}]
            if priority is not None:
                tenants[0]["Priority"] = priority
            content = make_keyed_configuration(1, tenants)
            for route in content["Routes"]:
                route["Priority"] = route_priority
            egress.blackboard.route_table = decode(content).unwrap()
            call = send(egress, [make_key_header("k")]).ok_value
            expected = route_priority if priority is None else priority
            assert (call.rank, call.traffic_class) == (expected, classes[expected])
            public = send(egress, [make_key_header("k")], "/payments/x").ok_value
            assert public.rank == route_priority


@then(
    "only one well-formed key in Authorization is accepted, and no spelling of the two headers "
    "reaches a target"
)
def check_header_forms(context):
    egress = make_egress()
    tenants = [{"Name": "a", "ApiKeys": [SECRET]}]
    egress.blackboard.route_table = decode(make_keyed_configuration(1, tenants)).unwrap()
    for name in ("Authorization", "authorization", "AUTHORIZATION"):
        for value in (f"Bearer {SECRET}", f"bearer  {SECRET}", f" BEARER {SECRET} "):
            assert send(egress, [(name, value)]).ok_value.tenant == "a"
    good = make_key_header(SECRET)
    for headers in (
        [],
        [("Authorization", SECRET)],
        [("Authorization", "")],
        [("Authorization", "Bearer")],
        [("Authorization", "Bearer ")],
        [("Authorization", f"Basic {SECRET}")],
        [("Authorization", f"Bearer{SECRET}")],
        [("Authorization", f"Bearer {SECRET}x")],
        [("Authorization", f"Bearer {SECRET} {SECRET}")],
        [("Authorization", f"Bearer {SECRET.upper()}")],
        [("X-Api-Key", SECRET)],
        [("Proxy-Authorization", f"Bearer {SECRET}")],
        [good, good],
        [good, ("Authorization", "Bearer other")],
        [good, ("authorization", "Basic x")],
        [(HEADER_ACCOUNT, "a")],
    ):
        check_unauthenticated(send(egress, headers))

    spelling = st.sampled_from(["Authorization", HEADER_ACCOUNT]).flatmap(
        lambda name: st.tuples(
            *(st.sampled_from([c.lower(), c.upper(), *("_.!~" if c == "-" else "")]) for c in name)
        ).map("".join)
    )

    @seed(context.seed)
    @given(st.lists(spelling, max_size=3))
    def check_spellings(names):
        headers = [(name, SECRET) for name in names]
        public = send(egress, headers, "/payments/x").ok_value
        assert SECRET not in str(public.headers)
        accounted = [item for item in headers if item[0].lower() != "authorization"]
        private = send(egress, [good, *accounted]).ok_value
        assert SECRET not in str(private.headers)
        assert list_values(private, HEADER_ACCOUNT) == ["a"]

    check_spellings()


@then("any name of an account is its own in the target's header, and quoted in the metrics")
def check_names(context):
    characters = st.characters(exclude_categories=("Cc", "Cs"))
    names = st.text(characters, min_size=1, max_size=20).filter(
        lambda name: name == name.strip(" ")
    )

    @seed(context.seed)
    @given(names)
    @example('a"b\\c')
    def check(name):
        egress = make_egress()
        tenants = [{"Name": name, "ApiKeys": ["k"]}]
        egress.blackboard.route_table = decode(make_keyed_configuration(1, tenants)).unwrap()
        call = send(egress, [make_key_header("k")]).ok_value
        (value,) = list_values(call, HEADER_ACCOUNT)
        assert value.encode("latin-1").decode() == name == call.tenant
        observe_request(egress.metrics, "s", name, Verdict.RAN, 0.1)
        text = render_metrics(egress.metrics)[0].decode()
        quoted = name.replace("\\", "\\\\").replace('"', '\\"')
        assert f'request_seconds_count{{service="s",tenant="{quoted}",' in text

    check()


@then(
    "without accounts headers are forwarded as the caller sent them, and the tenant is the "
    "default one"
)
def check_without_accounts(context):
    egress = make_egress()
    content = make_keyed_configuration(1, [])
    del content["Tenants"]
    egress.blackboard.route_table = decode(content).unwrap()
    sent = [("Authorization", "Basic x"), (HEADER_ACCOUNT, "b"), ("X_Comfreyhitch_Tenant_Id", "c")]
    for path in ("/catalogue/x", "/payments/x"):
        call = send(egress, sent, path).ok_value
        assert [item for item in call.headers if item in sent] == sent
        assert call.tenant == "default"
        assert not is_account_name(None, call.tenant)


@then(
    "before a configuration is known a request gets 503, and one without a route 404, with and "
    "without a key"
)
def check_earlier_refusals(context):
    egress = make_egress()
    headers = [[], [make_key_header("k")], [make_key_header("unknown")]]
    for item in headers:
        assert send(egress, item).err_value.status == 503
    tenants = [{"Name": "a", "ApiKeys": ["k"]}]
    egress.blackboard.route_table = decode(make_keyed_configuration(1, tenants)).unwrap()
    for item in headers:
        assert send(egress, item, "/nowhere/").err_value.status == 404


@then("a call on a public route is told apart from those of all accounts, whatever their names")
def check_public_calls(context):
    egress = make_egress()
    for name in ("default", "other", "a"):
        tenants = [{"Name": name, "ApiKeys": ["k"]}]
        table = decode(make_keyed_configuration(1, tenants)).unwrap()
        egress.blackboard.route_table = table
        call = send(egress, [make_key_header("k")]).ok_value
        assert call.tenant == name and is_account_name(table.accounts, call.tenant)
        public = send(
            egress, [make_key_header("k"), (HEADER_ACCOUNT, name)], "/payments/x"
        ).ok_value
        assert public.tenant == NO_ACCOUNT
        assert not is_account_name(table.accounts, public.tenant)
        assert list_values(public, HEADER_ACCOUNT) == []
        assert list_values(public, "Authorization") == []


@then(
    "a key that a version removes stays refused when an older version arrives, and no log line "
    "contains a key"
)
def check_versions(context):
    lines = capture_log(context)
    egress = make_egress()
    decoders = {source.kind: source.decode for source in DOCUMENT_SOURCES}
    with_key = [{"Name": "a", "ApiKeys": [SECRET, "k"]}]
    without_key = [{"Name": "a", "ApiKeys": ["k"]}]
    invalid = [{"Name": "a", "ApiKeys": [SECRET]}, {"Name": "b", "ApiKeys": [SECRET]}]
    refused_since = None
    for version, tenants in [
        (2, with_key),
        (3, without_key),
        (2, with_key),
        (4, invalid),
        (1, with_key),
        (3, with_key),
        (5, None),
    ]:
        content = make_keyed_configuration(version, tenants)
        document = RawDocument(DocumentKind.ROUTES, "main", content)
        fact = StoredFact(
            FactKind.DOCUMENT,
            document.key,
            make_numbered_version(version),
            dump_document(document),
        )
        apply_document(egress.blackboard, fact, decoders)
        refused_since = refused_since or (version if version == 3 else None)
        result = send(egress, [make_key_header(SECRET)])
        if refused_since is None:
            assert result.is_ok()
        else:
            check_unauthenticated(result)
        assert send(egress, [make_key_header("k")]).is_ok()
    assert sum("document refused" in line for line in lines) == 2
    assert any('"keys_removed": 1' in line for line in lines)
    assert not any(SECRET in line for line in lines)


def capture_log(context):
    """Return a list to which the lines of all loggers are added until the scenario ends."""
    lines = []
    handler = logging.Handler()
    handler.setFormatter(JsonFormatter("test"))
    handler.emit = lambda record: lines.append(handler.format(record))
    root = logging.getLogger()
    level = root.level
    root.setLevel(logging.DEBUG)
    root.addHandler(handler)
    context.add_cleanup(root.setLevel, level)
    context.add_cleanup(root.removeHandler, handler)
    return lines
