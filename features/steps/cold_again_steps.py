"""Test that a target in service that becomes cold gets few requests from that moment on."""

import time
from types import SimpleNamespace

import gevent
from behave import then
from gevent.pywsgi import WSGIServer

from comfreyhitch.core.clock import Clock
from comfreyhitch.ingress.execution import send_to_target
from comfreyhitch.ingress.health import probe_target_if_due
from comfreyhitch.ingress.lifecycle import apply_heartbeat
from comfreyhitch.ingress.models import IncomingCall
from comfreyhitch.ingress.state import attach_target
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.testing.target import QuietHandler
from comfreyhitch.utils.token_bucket import TokenBucket
from features.fakes import make_member
from features.steps.target_life_steps import (
    COLD_RATE,
    apply_route_table,
    make_heartbeat,
    make_ingress,
)

# The platform's ColdFactor and ColdSlack.
BOUND = 1.5 * COLD_RATE + 5
WARM_SECONDS = 1.3
COLD_SECONDS = 3.0
# The platform's ProbesPerS.
MAX_PROBES_PER_SECOND = 60
WORK_SECONDS = 0.02
PROBE_INTERVAL_SECONDS = 0.1


def start_target(context):
    """Start a target that names its cold time in health responses, and no pace in any."""
    target = SimpleNamespace(cold_until=0.0, arrivals=[], probes=[])

    def serve(environ, start_response):
        now = time.monotonic()
        if environ["PATH_INFO"] == "/health":
            target.probes.append(now)
            cold_ms = max(0, int((target.cold_until - now) * 1000))
            headers = [
                ("X-Comfreyhitch-Instance-Id", "i-1"),
                ("X-Comfreyhitch-Cold-Ms", str(cold_ms)),
            ]
            start_response("200 OK", headers)
            return [b""]
        request_id = environ["HTTP_X_COMFREYHITCH_REQUEST_ID"]
        target.arrivals.append(now)
        gevent.sleep(WORK_SECONDS)
        headers = [
            ("X-Comfreyhitch-Request-Id", request_id),
            ("X-Comfreyhitch-Server-Stamp", f"i-1.{request_id}"),
        ]
        start_response("200 OK", headers)
        return [b"ok"]

    server = WSGIServer(
        ("127.0.0.1", 0), serve, handler_class=QuietHandler, log=None, error_log=None
    )
    server.start()
    context.add_cleanup(server.stop)
    target.port = server.server_port
    return target


def start_ingress(context, target):
    """Return the ingress beside a target in service, whose health path is read as in a daemon."""
    clock = Clock.from_system()
    ingress = make_ingress(clock)
    # As the platform's settings make it from its bound on probes.
    ingress.target_probe_budget = TokenBucket.from_rate(
        MAX_PROBES_PER_SECOND / 2, MAX_PROBES_PER_SECOND / 4, clock.monotonic()
    )
    ingress.blackboard.own_member = make_member(service="payments")
    apply_route_table(ingress)
    attach_target(ingress, "127.0.0.1", target.port, 9)
    apply_heartbeat(ingress.lifecycle, make_heartbeat(service="payments"), clock.monotonic())

    def read_health():
        while True:
            probe_target_if_due(ingress)
            gevent.sleep(PROBE_INTERVAL_SECONDS)

    reading = gevent.spawn(read_health)
    context.add_cleanup(reading.kill)
    return ingress


def make_call(number):
    """Return a request of which the caller has sent an id."""
    now = time.monotonic()
    return IncomingCall(
        request_id=f"c-{number}",
        service="payments",
        method="GET",
        path=f"/x/{number}",
        headers=[("X-Comfreyhitch-Request-Id", f"r-{number}")],
        body=b"",
        arrived_at=now,
        deadline=now + 2.0,
        tenant="default",
        traffic_class=TrafficClass.NORMAL,
        is_idempotent=True,
        idempotency_key="",
        fingerprint="",
        route="r",
        attempt_number=1,
    )


def play(context, requests_per_second):
    """Send requests at a rate, and return the target after it became cold in between."""
    target = start_target(context)
    ingress = start_ingress(context, target)
    started_at = time.monotonic()
    became_cold_at = started_at + WARM_SECONDS
    number = 0
    sending = []
    while (now := time.monotonic()) < became_cold_at + 1.0:
        if now >= became_cold_at and not target.cold_until:
            target.cold_until = now + COLD_SECONDS
        sending.append(gevent.spawn(send_to_target, ingress, make_call(number), None))
        number += 1
        due_at = started_at + number / requests_per_second
        gevent.sleep(max(0.0, due_at - time.monotonic()))
    gevent.joinall(sending, timeout=2.0)
    target.became_cold_at = target.cold_until - COLD_SECONDS
    return target


@then("a target that becomes cold under {rates} requests a second gets no more than it tolerates")
def check_cold_again(context, rates):
    for rate in rates.split(", "):
        target = play(context, float(rate))
        arrivals = [at for at in target.arrivals if at >= target.became_cold_at]
        warm = [at for at in target.arrivals if at < target.became_cold_at]
        assert len(warm) >= 0.5 * float(rate), (rate, len(warm))
        most = max(sum(at <= item < at + 1.0 for item in arrivals) for at in arrivals)
        assert most <= BOUND, (rate, most, BOUND)
        probes = max(sum(at <= item < at + 1.0 for item in target.probes) for at in target.probes)
        assert probes <= MAX_PROBES_PER_SECOND, (rate, probes)
