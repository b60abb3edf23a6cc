"""Simulated cold starts on an instance that is busy with other work."""

import heapq
import itertools
from dataclasses import dataclass, field
from random import Random

from behave import then

from comfreyhitch.admission.limiter import ConcurrencyLimit, record_response, record_start

SLOTS = 10
COLD_SLOTS = 2
WORK_SECONDS = 0.005
# What a busy instance adds to a request and to its answer, on average.
DELAY_SECONDS = 0.3 * WORK_SECONDS
COLD_SECONDS = 5.0
COLD_STARTS = 100
# A full ramp by one after each window, with each window three times as long as the least one.
MAX_RAMP_ANSWERS = 3 * SLOTS * 2 * SLOTS


@dataclass
class SimulatedTarget:
    """Hold a target that gets as many requests as a limit lets through."""

    random: Random
    capacity: int
    has_random_work: bool = False
    limit: ConcurrencyLimit = field(default_factory=lambda: ConcurrencyLimit(slots=SLOTS))
    now: float = 0.0
    sent: int = 0
    running: int = 0
    most_running: int = 0
    answers: int = 0
    events: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)

    def schedule(self, seconds, handle, started_at):
        """Let something happen after a time."""
        event = (self.now + seconds, next(self.numbers), handle, started_at)
        heapq.heappush(self.events, event)

    def delay(self):
        """Return what the busy instance adds."""
        return self.random.expovariate(1 / DELAY_SECONDS)

    def fill(self):
        """Send as many requests as the limit allows; there are always callers that wait."""
        while self.sent < self.limit.limit:
            self.sent += 1
            record_start(self.limit, self.sent)
            self.schedule(self.delay(), self.begin, self.now)

    def begin(self, started_at):
        """Begin to run a request, which takes longer the more there are beyond the capacity."""
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        seconds = WORK_SECONDS * (self.random.expovariate(1.0) if self.has_random_work else 1.0)
        overload = self.running / self.capacity
        self.schedule(seconds * max(1.0, overload * overload), self.end, started_at)

    def end(self, started_at):
        """End a request."""
        self.running -= 1
        self.schedule(self.delay(), self.answer, started_at)

    def answer(self, started_at):
        """Let the answer reach the daemon."""
        self.sent -= 1
        self.answers += 1
        record_response(self.limit, started_at, self.now, is_failure=False)

    def run(self, seconds):
        """Serve callers for a time."""
        self.fill()
        while self.events and self.now < seconds and self.limit.limit < self.limit.slots:
            self.now, _, handle, started_at = heapq.heappop(self.events)
            handle(started_at)
            self.fill()


@then("a simulated cold target on a busy instance never holds more than 2 times what it bears")
def check_cold_starts(context):
    random = Random(context.seed)
    held = []
    for _ in range(COLD_STARTS):
        target = SimulatedTarget(Random(random.random()), COLD_SLOTS)
        target.run(COLD_SECONDS)
        held.append(target.most_running)
    assert max(held) <= 2 * COLD_SLOTS, sorted(held)


@then("a warm one gets all its slots, whether its work varies or not")
def check_warm_starts(context):
    for has_random_work in (False, True):
        target = SimulatedTarget(Random(context.seed), SLOTS, has_random_work)
        target.run(60.0)
        assert target.limit.limit == SLOTS, target.limit
        assert target.answers <= MAX_RAMP_ANSWERS, (has_random_work, target.answers)
