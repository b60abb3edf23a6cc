"""Simulate a target whose work takes longer when it starts with many others."""

import heapq
from dataclasses import dataclass, field
from random import Random

from comfreyhitch.admission.throughput import (
    ThroughputLimit,
    end_request,
    get_applied_limit,
    record_pace,
    start_request,
)

KNEE_FACTOR = 1.6
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
SLOW_SHARE = 0.25
SLOW_PERIOD_SLOWNESS = 5.0
MEAN_PACE_SECONDS = 0.15


@dataclass(frozen=True)
class Kind:
    """Describe the requests of one route; `calls` are made one after another while it runs."""

    route: str
    per_second: float
    work_seconds: float
    calls: int = 0


BUILD_FARM = (
    Kind("fetch-log", 221.0, 0.100, 2),
    Kind("submit-build", 77.5, 0.140, 2),
    Kind("publish-release", 51.6, 0.071),
    Kind("sign-package", 19.6, 0.082),
)


@dataclass
class KneeTarget:
    """Run requests in simulated time, admitted by a limit that is learned or fixed at the slots.

    A request that starts when more than `knee` run, itself included, takes 1.6 times as long.
    """

    random: Random
    slots: int = 5
    knee: int = 4
    kinds: tuple = BUILD_FARM
    has_noise: bool = False
    is_learned: bool = True
    now: float = 0.0
    running: int = 0
    answered: int = 0
    waiting: int = 0
    slowness: float = 1.0
    pace_ends_at: float = 0.0
    # Time of a nested call relative to its usual one; it grows with the load of the whole fleet.
    call_factor: float = 1.0
    ends: list = field(default_factory=list)
    limits: list = field(default_factory=list)
    state: ThroughputLimit = None

    def __post_init__(self):
        self.state = ThroughputLimit.from_slots(self.slots)

    @property
    def limit(self):
        """Return the limit by which requests are admitted."""
        return get_applied_limit(self.state) if self.is_learned else self.slots

    def advance_pace(self):
        """Change the pace of the host if its period has ended."""
        while self.has_noise and self.pace_ends_at <= self.now:
            self.pace_ends_at += self.random.expovariate(1.0 / MEAN_PACE_SECONDS)
            is_slow = self.random.random() < SLOW_SHARE
            self.slowness = SLOW_PERIOD_SLOWNESS if is_slow else 1.0

    def start(self):
        """Start one request of a random kind."""
        self.advance_pace()
        weights = [kind.per_second for kind in self.kinds]
        kind = self.random.choices(self.kinds, weights)[0]
        record_pace(self.state, self.slowness, self.now)
        pace_read_at = self.now if self.has_noise else None
        started = start_request(self.state, kind.route, pace_read_at, self.now)
        self.running += 1
        seconds = kind.work_seconds * self.random.uniform(0.8, 1.2) * self.slowness
        if self.random.random() < TAIL_SHARE:
            seconds *= TAIL_FACTOR
        if self.running > self.knee:
            seconds *= KNEE_FACTOR
        if self.has_noise:
            calls = self.random.randint(0, kind.calls)
            seconds += sum(0.03 * self.draw_call_factor() for _ in range(calls))
        heapq.heappush(self.ends, (self.now + seconds, id(started), started))

    def draw_call_factor(self):
        """Return how long a nested call takes, relative to its usual time."""
        return self.call_factor * self.random.lognormvariate(0.0, 0.5)

    def end_next(self):
        """Advance to the next response, and let the limit learn from it."""
        self.now, _, started = heapq.heappop(self.ends)
        self.running -= 1
        self.answered += 1
        self.advance_pace()
        record_pace(self.state, self.slowness, self.now)
        end_request(self.state, started, self.now, is_comparable=True)
        self.limits.append((self.now, self.state.limit, self.limit))

    def serve_full(self, seconds=float("inf"), responses=float("inf")):
        """Serve for a time or a number of responses, with requests always waiting."""
        until, last = self.now + seconds, self.answered + responses
        while self.now < until and self.answered < last:
            while self.running < self.limit:
                self.start()
            self.end_next()

    def serve_bursts(self, seconds, load):
        """Serve random arrivals at a share of capacity, at twice the rate in bursts of 4 s.

        In bursts, nested calls take longer, since the services that they go to have more load too.
        """
        weights = sum(kind.per_second for kind in self.kinds)
        mean = sum(kind.per_second * kind.work_seconds for kind in self.kinds) / weights
        mean *= (1 + TAIL_SHARE * (TAIL_FACTOR - 1)) * (1 + SLOW_SHARE * (SLOW_PERIOD_SLOWNESS - 1))
        rate = load * self.slots / mean
        until, arrival = self.now + seconds, self.now
        while arrival < until:
            while self.ends and self.ends[0][0] <= arrival:
                self.end_next()
                while self.waiting and self.running < self.limit:
                    self.waiting -= 1
                    self.start()
            self.now = arrival
            is_burst = arrival % 20.0 < 4.0
            self.call_factor = 3.0 if is_burst else 1.0
            if self.running < self.limit:
                self.start()
            else:
                # Requests beyond some waiting ones are refused.
                self.waiting = min(self.waiting + 1, 2 * self.slots)
            arrival += self.random.expovariate(rate * (2.0 if is_burst else 1.0))

    def get_share_at(self, limit, since=0.0):
        """Return the share of responses after a time during which a limit was the learned one."""
        learned = [known for at, known, _ in self.limits if at >= since]
        return sum(known == limit for known in learned) / len(learned)
