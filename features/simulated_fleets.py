"""Simulate daemons that choose among targets which differ, without a network."""

import heapq
from dataclasses import dataclass, field
from random import Random

from comfreyhitch.egress.models import Candidate
from comfreyhitch.egress.views import (
    apply_load_report,
    get_or_create_view,
    record_ended,
    record_failure,
    record_flap,
    record_pause,
    record_sent,
    record_success,
)
from comfreyhitch.wire.generated.ttypes import LoadReport

TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
WORK_SECONDS = 0.1
MEAN_WORK_SECONDS = WORK_SECONDS * (1 + TAIL_SHARE * (TAIL_FACTOR - 1))
OBJECTIVE_SECONDS = 0.41
MAX_HOPS = 3
LATENCY_WEIGHT = 0.1
SLOTS = 5
COLD_PER_SECOND = 8.0


@dataclass
class SimulatedTarget:
    """Run up to `SLOTS` requests; work takes `speed_factor` times as long as usual."""

    address: str
    zone: str
    speed_factor: float = 1.0
    # Seconds of a period in which the target fails every request, and as long in which it does not.
    flap_seconds: float = 0.0
    cold_until: float = 0.0
    cold_tokens: float = 2.0
    cold_refilled_at: float = 0.0
    running: int = 0
    latency_seconds: float = 0.0
    queue: list = field(default_factory=list)
    started: int = 0

    def is_failing(self, now):
        """Return whether the target fails requests now."""
        return self.flap_seconds > 0 and int(now / self.flap_seconds) % 2 == 1

    def admit_while_cold(self, now):
        """Return whether a cold target takes one more request; refused ones have not run."""
        if now >= self.cold_until:
            return True
        passed = now - self.cold_refilled_at
        self.cold_tokens = min(2.0, self.cold_tokens + COLD_PER_SECOND * passed)
        self.cold_refilled_at = now
        if self.cold_tokens < 1.0:
            return False
        self.cold_tokens -= 1.0
        return True

    def can_answer_waiting(self):
        """Return whether one more waiting request can be expected to meet its objective."""
        work_seconds = MEAN_WORK_SECONDS * self.speed_factor
        wait_seconds = (len(self.queue) + 1) * work_seconds / SLOTS
        return wait_seconds + work_seconds <= OBJECTIVE_SECONDS

    def make_report(self):
        """Return the load report that goes with every answer."""
        return LoadReport(
            in_flight=self.running,
            queued=len(self.queue),
            limit=SLOTS,
            latency_seconds=self.latency_seconds,
            accepting=True,
            slowness=1.0,
        )


@dataclass
class SimulatedRequest:
    """Hold one request; `attempts` are the targets that refused it."""

    arrived_at: float
    daemon: int
    work_seconds: float
    attempts: set = field(default_factory=set)


@dataclass
class SimulatedFleet:
    """Send requests of daemons in all zones to the targets of one service, in simulated time."""

    targets: list
    make_selector: object
    random: Random
    daemons: int = 12
    now: float = 0.0
    events: list = field(default_factory=list)
    response_seconds: list = field(default_factory=list)
    failures: int = 0
    refusals: int = 0
    hops: int = 0
    other_zone_hops: int = 0

    def __post_init__(self):
        self.zones = sorted({target.zone for target in self.targets})
        self.targets_by_address = {target.address: target for target in self.targets}
        self.candidates = [
            Candidate(target.address, target.zone, "v1", SLOTS) for target in self.targets
        ]
        self.views = [{} for _ in range(self.daemons)]
        self.selectors = [
            self.make_selector(views, self.get_zone(number), self.random)
            for number, views in enumerate(self.views)
        ]

    def get_zone(self, daemon):
        """Return the zone of a daemon."""
        return self.zones[daemon % len(self.zones)]

    def serve(self, seconds, per_second, daemons=None):
        """Send random arrivals at a rate through some daemons, and run all of them to the end."""
        until, arrival = self.now + seconds, self.now
        numbers = list(range(self.daemons)) if daemons is None else daemons
        while True:
            arrival += self.random.expovariate(per_second)
            if arrival > until:
                break
            self.run_until(arrival)
            work = WORK_SECONDS * self.random.uniform(0.8, 1.2)
            work *= TAIL_FACTOR if self.random.random() < TAIL_SHARE else 1.0
            self.send(SimulatedRequest(arrival, self.random.choice(numbers), work))
        self.run_until(until)

    def run_until(self, until):
        """Process the responses up to a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, target, request = heapq.heappop(self.events)
            self.end(target, request)
        self.now = until

    def send(self, request):
        """Send a request to the target that its daemon chooses."""
        if len(request.attempts) >= MAX_HOPS:
            self.refusals += 1
            return
        select = self.selectors[request.daemon]
        candidate = select(self.candidates, request.attempts, self.now)
        target = self.targets_by_address[candidate.address]
        self.hops += 1
        self.other_zone_hops += target.zone != self.get_zone(request.daemon)
        view = get_or_create_view(self.views[request.daemon], target.address)
        request.attempts.add(target.address)
        record_sent(view)
        if target.is_failing(self.now):
            record_ended(view)
            record_failure(view, self.now)
            record_flap(view, self.now)
            self.failures += 1
        elif not target.admit_while_cold(self.now):
            self.refuse(view, target, request)
            record_pause(view, self.now)
            self.send(request)
        elif target.running < SLOTS:
            self.start(target, request)
        elif target.can_answer_waiting():
            target.queue.append(request)
        else:
            self.refuse(view, target, request)
            self.send(request)

    def refuse(self, view, target, request):
        """Record a refusal, which carries a load report."""
        record_ended(view)
        apply_load_report(view, target.make_report(), self.now)

    def start(self, target, request):
        """Start a request at a target."""
        target.running += 1
        target.started += 1
        ends_at = self.now + request.work_seconds * target.speed_factor
        event = (ends_at, self.random.random(), target, request)
        heapq.heappush(self.events, event)

    def end(self, target, request):
        """Record a response with its load report, and start the next waiting request."""
        target.running -= 1
        seconds = request.work_seconds * target.speed_factor
        known = target.latency_seconds or seconds
        target.latency_seconds = known + LATENCY_WEIGHT * (seconds - known)
        view = get_or_create_view(self.views[request.daemon], target.address)
        record_ended(view)
        apply_load_report(view, target.make_report(), self.now)
        record_success(view)
        self.response_seconds.append(self.now - request.arrived_at)
        if target.queue:
            self.start(target, target.queue.pop(0))

    def get_share_within(self, seconds):
        """Return the share of requests that were answered within a time."""
        sent = len(self.response_seconds) + self.failures + self.refusals
        return sum(taken <= seconds for taken in self.response_seconds) / sent
