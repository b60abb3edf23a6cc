"""Test how the egress recognizes nested calls, with a simulated target."""

import heapq
from random import Random

from behave import then

from comfreyhitch.core.target_activity import TargetActivity, record_running
from comfreyhitch.egress.nested_calls import WARM_UP_SECONDS, NestedCallDetector, observe_arrival

# A target that gets 8 requests a second of 100 ms each is idle for 45 in 100 of the time.
REQUESTS_PER_SECOND = 8.0
WORK_SECONDS = 0.1
CALLS_PER_REQUEST = 2
EXTERNAL_PER_SECOND = 4.0
# A route needs 5 expected arrivals in idle time: 12 of its requests at this load.
LEARNING_SECONDS = 10.0
SERVICE = "second"


class SimulatedTraffic:
    """Generate requests to the own target, the calls it makes, and requests of other callers."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.activity = TargetActivity()
        self.detector = NestedCallDetector(self.activity, started_at=0.0)
        self.now = 0.0
        self.running = 0
        self.answers = {"nested": [], "external": []}

    def run(
        self,
        until,
        external_route="external",
        requests_per_second=REQUESTS_PER_SECOND,
        external_per_second=EXTERNAL_PER_SECOND,
    ):
        """Generate traffic up to a time; nested calls are made while their request runs."""
        events = []
        at = self.now
        while (at := at + self.random.expovariate(requests_per_second)) < until:
            duration = WORK_SECONDS * self.random.uniform(0.8, 1.2)
            heapq.heappush(events, (at, "start"))
            heapq.heappush(events, (at + duration, "end"))
            for _ in range(CALLS_PER_REQUEST):
                heapq.heappush(events, (at + duration * self.random.uniform(0.05, 0.95), "nested"))
        at = self.now
        while (at := at + self.random.expovariate(external_per_second)) < until:
            heapq.heappush(events, (at, external_route))
        while events:
            self.now, kind = heapq.heappop(events)
            if kind in ("start", "end"):
                self.running += 1 if kind == "start" else -1
                record_running(self.activity, self.running, self.now)
            else:
                is_nested = observe_arrival(self.detector, SERVICE, kind, self.now)
                self.answers.setdefault(kind, []).append((self.now, is_nested))


@then("routes that a target calls while it runs requests are recognized, and no others")
def check_detection(context):
    # Guards against nested calls that are refused as others are, and against requests of other
    # callers that displace urgent ones.
    for number in range(20):
        traffic = SimulatedTraffic(context.seed * 1000 + number)
        traffic.run(60.0)
        learned_at = WARM_UP_SECONDS + LEARNING_SECONDS
        nested = [answer for at, answer in traffic.answers["nested"] if at > learned_at]
        external = [answer for _, answer in traffic.answers["external"]]
        assert all(nested), number
        # By chance, none of the first 5 expected arrivals may have come in idle time.
        assert sum(external) <= 0.05 * len(external), (number, sum(external))


@then("no route looks nested after a sudden rise of the load")
def check_sudden_load(context):
    # Guards against an idle share that lags behind the load. Daemons that had been idle took all
    # requests for nested calls when a burst began, and nothing was refused in time.
    for number in range(20):
        traffic = SimulatedTraffic(context.seed * 1000 + number)
        traffic.run(20.0, external_route="other", requests_per_second=1e-9)
        traffic.run(30.0, external_per_second=50.0, requests_per_second=60.0)
        external = [answer for _, answer in traffic.answers["external"]]
        assert not any(external), number


@then("evidence of the first seconds does not count, and a changed route is learned again")
def check_changed_route(context):
    # Guards against a route that counts as nested for ever, and against evidence of a daemon that
    # does not know yet what its target runs.
    traffic = SimulatedTraffic(context.seed)
    traffic.run(120.0, external_route="changing", requests_per_second=1e-9)
    assert not any(answer for _, answer in traffic.answers["changing"])
    traffic = SimulatedTraffic(context.seed)
    traffic.run(60.0)
    early = [answer for at, answer in traffic.answers["nested"] if at < WARM_UP_SECONDS]
    assert early
    assert not any(early)
    # Calls of requests that an earlier process of the daemon started: the target looks idle.
    detector = NestedCallDetector(TargetActivity(), started_at=0.0)
    for number in range(20):
        observe_arrival(detector, SERVICE, "nested", number * WARM_UP_SECONDS / 20)
    assert not detector.evidence_by_route
    # From now on, other callers use the route of the nested calls.
    traffic.answers.clear()
    traffic.run(120.0, external_route="nested", requests_per_second=1e-9)
    assert not any(answer for at, answer in traffic.answers["nested"] if at > 75.0)
    # The route is nested again.
    traffic.answers.clear()
    traffic.run(420.0, external_route="other")
    assert all(answer for at, answer in traffic.answers["nested"] if at > 360.0)
