"""Cold starts of a simulated target on an instance that is busy with other work."""

import heapq
import itertools
from dataclasses import dataclass, field
from random import Random

from behave import then

from comfreyhitch.admission.limiter import ConcurrencyLimit, record_response, record_start

SLOTS = 10
COLD_SLOTS = 2
SERVICE_SECONDS = 0.005
# Mean delay that a busy instance adds to a request, and again to its response.
MEAN_DELAY_SECONDS = 0.3 * SERVICE_SECONDS
COLD_DURATION_SECONDS = 5.0
COLD_START_COUNT = 100
# Responses until the limit has grown to all slots, by 1 after each window, if each window is 3
# times as long as the shortest one.
MAX_RAMP_RESPONSES = 3 * SLOTS * 2 * SLOTS


@dataclass
class SimulatedTarget:
    """Hold a target that receives as many requests as its concurrency limit admits."""

    random: Random
    capacity: int
    is_service_time_random: bool = False
    limit: ConcurrencyLimit = field(default_factory=lambda: ConcurrencyLimit(slots=SLOTS))
    now: float = 0.0
    in_flight: int = 0
    running: int = 0
    max_running: int = 0
    response_count: int = 0
    events: list = field(default_factory=list)
    event_numbers: itertools.count = field(default_factory=itertools.count)

    def schedule(self, seconds, callback, started_at):
        """Run a callback after a delay in simulated time."""
        event = (self.now + seconds, next(self.event_numbers), callback, started_at)
        heapq.heappush(self.events, event)

    def draw_delay(self):
        """Return a random delay of the busy instance, in seconds."""
        return self.random.expovariate(1 / MEAN_DELAY_SECONDS)

    def send_up_to_limit(self):
        """Send as many requests as the limit admits; there are always callers that wait."""
        while self.in_flight < self.limit.limit:
            self.in_flight += 1
            record_start(self.limit, self.in_flight)
            self.schedule(self.draw_delay(), self.start_request, self.now)

    def start_request(self, started_at):
        """Start to run a request; its service time grows with the overload of the target."""
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        seconds = SERVICE_SECONDS * (
            self.random.expovariate(1.0) if self.is_service_time_random else 1.0
        )
        overload = self.running / self.capacity
        self.schedule(seconds * max(1.0, overload * overload), self.end_request, started_at)

    def end_request(self, started_at):
        """Finish a request, and send its response."""
        self.running -= 1
        self.schedule(self.draw_delay(), self.receive_response, started_at)

    def receive_response(self, started_at):
        """Record a response that has reached the daemon."""
        self.in_flight -= 1
        self.response_count += 1
        record_response(self.limit, started_at, self.now, is_failure=False)

    def run(self, seconds):
        """Serve callers until a simulated time in seconds, or until the limit allows all slots."""
        self.send_up_to_limit()
        while self.events and self.now < seconds and self.limit.limit < self.limit.slots:
            self.now, _, callback, started_at = heapq.heappop(self.events)
            callback(started_at)
            self.send_up_to_limit()


@then("a simulated cold target on a busy instance never runs more than 2 times its capacity")
def check_cold_starts(context):
    random = Random(context.seed)
    max_running = []
    for _ in range(COLD_START_COUNT):
        target = SimulatedTarget(Random(random.random()), COLD_SLOTS)
        target.run(COLD_DURATION_SECONDS)
        max_running.append(target.max_running)
    assert max(max_running) <= 2 * COLD_SLOTS, sorted(max_running)


@then("a warm target gets all its slots, whether its service time is constant or random")
def check_warm_starts(context):
    for is_service_time_random in (False, True):
        target = SimulatedTarget(Random(context.seed), SLOTS, is_service_time_random)
        target.run(60.0)
        assert target.limit.limit == SLOTS, target.limit
        assert target.response_count <= MAX_RAMP_RESPONSES, (
            is_service_time_random,
            target.response_count,
        )
