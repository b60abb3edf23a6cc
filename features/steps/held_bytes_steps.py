"""Test the limit on the bytes of requests and responses that a daemon holds."""

import time
from types import SimpleNamespace

import gevent
from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import seed
from hypothesis import strategies as st

from comfreyhitch.core.held_bytes import MAX_SMALL_BYTES, HeldBytes, can_hold
from comfreyhitch.core.verdicts import Refusal, Verdict
from comfreyhitch.egress.memory import hold_declared_body
from comfreyhitch.ingress.response_limits import find_response_refusal
from comfreyhitch.ingress.response_sizes import ResponseSizes, record_size
from comfreyhitch.telemetry.metrics import Metrics
from comfreyhitch.testing.fleet import call_service, get_target_state
from comfreyhitch.testing.http_requests import request
from features.link_emulation import LINK_BYTES_PER_SECOND
from features.steps.fleet_steps import get_instance

ADMIN_PORT = 8082
LARGE_BODY = b"x" * 300_000
LARGE_COUNT = 8
MAX_SMALL_SECONDS = 0.5


@then(
    "requests that need bytes beyond the limit are refused, small ones are not, and all bytes are "
    "given back"
)
def check_limit(context):
    # Guards against memory that grows with the number of large responses.
    @seed(context.seed)
    @given_examples(
        st.lists(st.tuples(st.integers(0, 600_000), st.booleans()), max_size=60),
        st.floats(1.0, 20.0),
    )
    def check(arrivals, megabytes):
        held = HeldBytes.from_memory(megabytes)
        sizes = []
        small_bytes = 0
        for size, ends in arrivals:
            is_accepted = can_hold(held, size)
            assert is_accepted or size > MAX_SMALL_BYTES
            if is_accepted:
                small_bytes += size if size <= MAX_SMALL_BYTES else 0
                held.total += size
                sizes.append(size)
            # One request may exceed a limit that is smaller than itself.
            assert held.total <= max(held.limit, 600_000 + MAX_SMALL_BYTES) + small_bytes
            if ends and sizes:
                held.total -= sizes.pop()
        held.total -= sum(sizes)
        assert held.total == 0

    check()
    assert can_hold(HeldBytes.from_memory(None), 1e12)


@then("at the ingress a request beyond the limit is refused as not run")
def check_ingress_refusal(context):
    # Guards against a request that runs although its response can't be held.
    held = HeldBytes.from_memory(5.0)
    ingress = SimpleNamespace(
        link=None,
        response_sizes=ResponseSizes(),
        metrics=Metrics.create(),
        blackboard=SimpleNamespace(held_bytes=held),
    )
    record_size(ingress.response_sizes, "r", 300_000)
    call = SimpleNamespace(route="r", body=b"", is_nested=False, deadline=5.0)
    assert find_response_refusal(ingress, call, 0.0) is None
    held.total = held.limit - 200_000
    failure = find_response_refusal(ingress, call, 0.0)
    assert (failure.verdict, failure.refusal) == (Verdict.NOT_RUN, Refusal.OVERLOADED)
    assert "0.30 MB" in failure.detail and "of 1.0 MB" in failure.detail, failure.detail
    call.route = "unknown"
    assert find_response_refusal(ingress, call, 0.0) is None


@then("a body counts from its declared length on, before it is read")
def check_declared_body(context):
    # Guards against bodies that arrive at the same time and are all accepted, and against a body
    # above the limit for bodies that is refused with 503, which callers would send again.
    egress = SimpleNamespace(
        metrics=Metrics.create(),
        blackboard=SimpleNamespace(held_bytes=HeldBytes.from_memory(5.0)),
    )
    connections = [SimpleNamespace(held_bytes=0) for _ in range(3)]
    failures = [
        hold_declared_body(egress, connection, "600000", 2_000_000) for connection in connections
    ]
    assert failures[0] is None
    for failure in failures[1:]:
        assert (failure.verdict, failure.refusal) == (Verdict.NOT_RUN, Refusal.OVERLOADED)
    held_bytes = [connection.held_bytes for connection in connections]
    assert held_bytes == [600_000, 0, 0], held_bytes
    assert egress.blackboard.held_bytes.total == 600_000
    assert hold_declared_body(egress, connections[1], "9000000", 2_000_000) is None
    assert connections[1].held_bytes == 0


@given("daemons that schedule by cost, with a link of 8.5 Mbit/s and {megabytes} MB of memory")
def set_limits(context, megabytes):
    context.fleet_settings = {
        "overload_control": "cost",
        # A learned limit starts at 1, and some of the requests would be refused for the queue.
        "limit_rule": "slots",
        "link_bandwidth": "8.5",
        "memory_limit": megabytes,
    }


def read_metric(context, service, name):
    """Return the value of a metric of a daemon, 0 if it has none yet."""
    text = request(get_instance(context, service).host, "/metrics", port=ADMIN_PORT).body.decode()
    lines = [line for line in text.splitlines() if line.startswith(f"comfreyhitch_{name}")]
    return sum(float(line.rpartition(" ")[2]) for line in lines)


@when("8 requests with responses of 300 KB are sent through shop")
def send_large(context):
    shop = get_instance(context, "shop")
    started_at = time.monotonic()
    context.runs_before = get_target_state(get_instance(context, "payments"))["requests"]
    large = [
        gevent.spawn(call_service, shop, "payments", method="POST", body=LARGE_BODY)
        for _ in range(LARGE_COUNT)
    ]
    gevent.sleep(0.5)
    context.backlog_seconds = read_metric(context, "payments", "link_backlog_seconds")
    context.small_seconds = []
    context.small_responses = []
    for _ in range(5):
        small_at = time.monotonic()
        context.small_responses.append(call_service(shop, "payments", "/small"))
        context.small_seconds.append(time.monotonic() - small_at)
    context.responses = [greenlet.get(timeout=20) for greenlet in large]
    context.large_seconds = time.monotonic() - started_at


@then(
    "each gets its whole response, in no less time than the link takes, and small ones in between "
    "are fast"
)
def check_paced_fleet(context):
    # Guards against a setting that is not in force in a daemon, and against cut responses.
    for response in context.responses:
        assert response.status == 200, (response.status, response.body[:200])
        assert response.json["body"].encode() == LARGE_BODY
    link_seconds = LARGE_COUNT * len(LARGE_BODY) / LINK_BYTES_PER_SECOND
    assert context.large_seconds > 0.9 * link_seconds, context.large_seconds
    assert all(response.status == 200 for response in context.small_responses)
    assert max(context.small_seconds) < MAX_SMALL_SECONDS, context.small_seconds


@then("the daemon of payments showed a backlog, and no bytes are held afterwards")
def check_backlog_metric(context):
    assert context.backlog_seconds > 0.5, context.backlog_seconds
    check_nothing_held(context)


@then(
    "some get their whole response, the others are refused as not run, and none ran that was "
    "refused"
)
def check_little_memory(context):
    # Guards against a refusal of a request that runs.
    served = [response for response in context.responses if response.status == 200]
    assert 0 < len(served) < LARGE_COUNT, [response.status for response in context.responses]
    assert all(response.json["body"].encode() == LARGE_BODY for response in served)
    # Small requests of the same route are expected to have large responses too.
    responses = [*context.responses, *context.small_responses]
    for response in responses:
        if response.status != 200:
            assert (response.status, response.verdict) == (503, "not-run"), response
    runs = get_target_state(get_instance(context, "payments"))["requests"] - context.runs_before
    assert runs == sum(response.status == 200 for response in responses), runs


@then("no bytes are held afterwards")
def check_nothing_held(context):
    # Guards against a count that grows until every large request is refused.
    gevent.sleep(0.2)
    for service in ("shop", "payments"):
        assert read_metric(context, service, "bytes_held") == 0
