"""Test the lifecycle of a target, and the limit on requests to a cold one."""

from contextlib import contextmanager
from datetime import timedelta

from behave import then
from gevent.pywsgi import WSGIServer
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.admission.warm_up import BURST_REQUESTS, WarmUpLimiter, admit_during_warm_up
from comfreyhitch.conf.models import Settings
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.clock import Clock
from comfreyhitch.ingress.execution import admit_within_cold_rate
from comfreyhitch.ingress.health import probe_target
from comfreyhitch.ingress.lifecycle import (
    Heartbeat,
    HeartbeatResult,
    TargetLifecycle,
    TargetState,
    apply_health_response,
    apply_heartbeat,
    is_cold,
    mark_suspected,
    record_departure,
)
from comfreyhitch.ingress.state import Ingress, apply_service_profile, attach_target
from comfreyhitch.platform.names import PLATFORM_TARGET_HEADERS
from comfreyhitch.rollouts.evidence import EvidenceLog
from comfreyhitch.routing.models import CallerLimits, RouteTable, ServiceProfile
from comfreyhitch.telemetry.metrics import Metrics
from features.fakes import FakeClock, make_member

COLD_RATE = 8.0
LEAVING_STATES = (TargetState.DRAINING, TargetState.GONE)


def make_heartbeat(number=1, sequence=1, **changes):
    """Return a heartbeat of an incarnation; one with a higher number started later."""
    values = {
        "instance_id": f"i-{number}",
        "service": "s1",
        "version": f"v{number}",
        "slots": 9,
        "is_draining": False,
        "sequence": sequence,
        "start_time_ms": 1000 * number,
    }
    return Heartbeat(**{**values, **changes})


@then("heartbeats in any order leave the newest incarnation with its highest sequence number")
def check_heartbeat_order(context):
    numbered_heartbeat = st.tuples(st.integers(1, 4), st.integers(1, 6))

    @seed(context.seed)
    @given(st.lists(numbered_heartbeat, min_size=1, max_size=20))
    def check(heartbeats):
        lifecycle = TargetLifecycle()
        for number, sequence in heartbeats:
            apply_heartbeat(lifecycle, make_heartbeat(number, sequence), 0.0)
        newest = max(number for number, _ in heartbeats)
        assert lifecycle.instance_id == f"i-{newest}"
        assert lifecycle.sequence == max(
            sequence for number, sequence in heartbeats if number == newest
        )

    # A target may keep its instance id over a restart. Its start time then tells the incarnations
    # apart.
    @seed(context.seed)
    @given(st.lists(numbered_heartbeat, min_size=1, max_size=20))
    def check_reused_id(heartbeats):
        lifecycle = TargetLifecycle()
        for number, sequence in heartbeats:
            apply_heartbeat(lifecycle, make_heartbeat(number, sequence, instance_id="i-0"), 0.0)
        newest = max(number for number, _ in heartbeats)
        assert (lifecycle.start_time_ms, lifecycle.version) == (1000 * newest, f"v{newest}")

    check()
    check_reused_id()


@then("a target that has announced its departure is not ready again in that incarnation")
def check_leaving(context):
    event = st.sampled_from(["ready", "draining", "delete", "health", "restart"])

    @seed(context.seed)
    @given(st.lists(event, min_size=1, max_size=12))
    def check(events):
        lifecycle = TargetLifecycle()
        sequence = 0
        number = 1
        is_leaving = False
        for name in events:
            sequence += 1
            if name == "restart":
                number += 1
                is_leaving = False
                apply_heartbeat(lifecycle, make_heartbeat(number, sequence), float(sequence))
                continue
            if name == "health":
                apply_health_response(lifecycle, f"i-{number}", True, timedelta(0), float(sequence))
            elif name == "delete":
                is_leaving |= record_departure(lifecycle, f"i-{number}", float(sequence))
            else:
                is_draining = name == "draining"
                heartbeat = make_heartbeat(number, sequence, is_draining=is_draining)
                result = apply_heartbeat(lifecycle, heartbeat, float(sequence))
                is_leaving |= is_draining and result is not HeartbeatResult.STALE
            assert not is_leaving or lifecycle.state in LEAVING_STATES, (events, lifecycle)

    check()


@then(
    "a target whose departure was told again is not taken for a new one, however late its heartbeat"
)
def check_repeated_departure(context):
    @seed(context.seed)
    @given(st.booleans(), st.integers(1, 3), st.floats(0.0, 100.0))
    def check(has_start_time, repeats, delay_seconds):
        times = {} if has_start_time else {"start_time_ms": None}
        lifecycle = TargetLifecycle()
        apply_heartbeat(lifecycle, make_heartbeat(1, **times), 0.0)
        assert record_departure(lifecycle, "i-1", 1.0)
        apply_heartbeat(lifecycle, make_heartbeat(2, **times), 2.0)
        for _ in range(repeats):
            assert not record_departure(lifecycle, "i-1", 3.0)
        late = make_heartbeat(1, sequence=9, **times)
        assert apply_heartbeat(lifecycle, late, 3.0 + delay_seconds) is HeartbeatResult.STALE
        assert (lifecycle.instance_id, lifecycle.state) == ("i-2", TargetState.READY)

    check()


@then(
    "a healthy response or a heartbeat makes the target ready, and a healthy response ends "
    "suspicion unless another incarnation sent it"
)
def check_start(context):
    lifecycle = TargetLifecycle()
    apply_health_response(lifecycle, "i-1", False, None, 1.0)
    assert lifecycle.state is TargetState.STARTING and is_cold(lifecycle, 1.0)
    apply_health_response(lifecycle, "i-1", True, timedelta(0), 2.0)
    assert lifecycle.state is TargetState.READY and not is_cold(lifecycle, 2.0)
    heartbeat_lifecycle = TargetLifecycle()
    apply_heartbeat(heartbeat_lifecycle, make_heartbeat(cold_duration=timedelta(seconds=3)), 1.0)
    assert heartbeat_lifecycle.state is TargetState.READY and is_cold(heartbeat_lifecycle, 1.0)
    apply_health_response(heartbeat_lifecycle, "i-1", True, None, 2.0)
    assert is_cold(heartbeat_lifecycle, 2.0), "the heartbeat said cold until 4.0"
    assert not is_cold(heartbeat_lifecycle, 4.1)
    mark_suspected(heartbeat_lifecycle)
    assert is_cold(heartbeat_lifecycle, 9.0)
    assert apply_health_response(heartbeat_lifecycle, "i-2", True, timedelta(0), 9.0), (
        "another incarnation has responded"
    )
    assert is_cold(heartbeat_lifecycle, 9.0)


@then("a cold target gets no more requests in any second than its rate and a burst of two")
def check_cold_rate(context):
    gaps = st.lists(st.floats(0.0, 0.5), min_size=1, max_size=200)

    @seed(context.seed)
    @given(st.floats(0.5, 50.0), gaps)
    def check(rate, pauses):
        now = 100.0
        limiter = WarmUpLimiter.from_rate(rate, now)
        assert not admit_during_warm_up(limiter, now), (
            "a daemon that has just started may have used up its rate before"
        )
        admitted = []
        for pause in pauses:
            now += pause
            if admit_during_warm_up(limiter, now):
                admitted.append(now)
        for start in admitted:
            admitted_in_second = sum(start <= moment <= start + 1.0 for moment in admitted)
            assert admitted_in_second <= rate + max(BURST_REQUESTS, 1.0) + 1e-6, (
                rate,
                admitted_in_second,
            )

    check()


@then(
    "a health response without an instance id, or with a cold time that can't be read, does not "
    "give a target its usual rate"
)
def check_lacking_health_fields(context):
    instance = ("X-Comfreyhitch-Instance-Id", "i-1")
    cold_headers = [("X-Comfreyhitch-Cold-Ms", text) for text in ("x", "-1", "9" * 30, "600001")]
    for headers in (
        [],
        [("X-Comfreyhitch-Cold-Ms", "0")],
        *([instance, item] for item in cold_headers),
    ):
        with serve_health(headers) as (ingress, clock):
            probe_target(ingress)
            assert is_cold(ingress.lifecycle, clock.monotonic()), headers
    for headers in ([instance], [instance, ("X-Comfreyhitch-Cold-Ms", "0")]):
        with serve_health(headers) as (ingress, clock):
            probe_target(ingress)
            assert not is_cold(ingress.lifecycle, clock.monotonic()), headers


@contextmanager
def serve_health(headers):
    """Serve a health path with some headers; yield the ingress of a suspected target, its clock."""

    def application(environ, start_response):
        start_response("200 OK", headers)
        return [b""]

    server = WSGIServer(("127.0.0.1", 0), application, log=None, error_log=None)
    server.start()
    try:
        clock = Clock.from_system()
        ingress = make_ingress(clock)
        attach_target(ingress, "127.0.0.1", server.server_port, 9)
        apply_heartbeat(ingress.lifecycle, make_heartbeat(), clock.monotonic())
        yield ingress, clock
    finally:
        server.stop()


@then(
    "a cold target is limited to its rate whether its service or the configuration is known first"
)
def check_rate_known(context):
    # The ingress learns its service from the target and the rate from the configuration. A limiter
    # made only when the configuration arrives would be missing if the service comes last.
    for is_service_first in (True, False):
        clock = FakeClock()
        ingress = make_cold_ingress(clock, is_service_first)
        admitted = 0
        for _ in range(100):
            clock.seconds += 0.01
            admitted += admit_within_cold_rate(ingress, clock.seconds)
        assert admitted <= COLD_RATE + BURST_REQUESTS, (is_service_first, admitted)


def make_cold_ingress(clock, is_service_first):
    """Return an ingress that has learned its service and the configuration, in either order."""
    ingress = make_ingress(clock.make_clock())
    blackboard = ingress.blackboard
    if not is_service_first:
        apply_route_table(ingress)
    blackboard.own_member = make_member(service="payments")
    if is_service_first:
        apply_route_table(ingress)
    return ingress


def make_ingress(clock):
    """Return an ingress that knows neither its service nor a configuration."""
    return Ingress.from_settings(
        Settings(),
        Blackboard(clock=clock, own_member=make_member(service="")),
        None,
        EvidenceLog.from_clock(clock),
        Metrics.create(),
        lambda fingerprint: None,
        PLATFORM_TARGET_HEADERS,
    )


def apply_route_table(ingress):
    """Apply a configuration that sets the rate of requests to a cold target."""
    profile = ServiceProfile("payments", "/health", 100, timedelta(seconds=3), COLD_RATE)
    limits = CallerLimits(1, 1, timedelta(seconds=1), timedelta(seconds=1))
    ingress.blackboard.route_table = RouteTable.from_routes(1, limits, [], [profile])
    apply_service_profile(ingress)
