"""The decision to run, wait or go elsewhere, and the load that it answers."""

from dataclasses import dataclass
from random import Random

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.admission.pacing import (
    POLL_INTERVAL_SECONDS,
    READING_LIFETIME_SECONDS,
    SLOW_FACTOR,
    PaceDecision,
    PaceReading,
    decide_by_pace,
)

REQUESTS = 2000
SLOW_SHARE = 0.25
SLOWNESS = 5.0
PERIOD_SECONDS = 0.15
PATIENCE_SECONDS = 0.1
INSTANCES = 3


@dataclass
class Instance:
    """Hold when the pace of an instance changes, drawn anew at random times."""

    random: Random
    until: float = 0.0
    slowness: float = 1.0

    def read(self, now):
        """Return the pace at a time, which only goes forward."""
        while self.until <= now:
            self.until += self.random.expovariate(1.0 / PERIOD_SECONDS)
            self.slowness = SLOWNESS if self.random.random() < SLOW_SHARE else 1.0
        return self.slowness


@then("a request runs only on a fresh reading of the usual pace, and waits no longer than it may")
def check_decision(context):
    ages = st.floats(0.0, 1.0)

    @seed(context.seed)
    @given(st.floats(0.1, 10.0), ages, st.floats(0.0, 1.0), st.floats(0.0, 1.0))
    def check(slowness, age, waited, patience):
        decision = decide_by_pace(PaceReading(slowness, 10.0 - age), 10.0, waited, patience)
        if age > READING_LIFETIME_SECONDS + 1e-9:
            assert decision is PaceDecision.READ
        elif decision is PaceDecision.RUN:
            assert slowness < SLOW_FACTOR
        elif decision is PaceDecision.WAIT:
            assert slowness >= SLOW_FACTOR and waited < patience
        elif decision is PaceDecision.REFUSE:
            assert waited >= patience

    check()
    assert decide_by_pace(None, 0.0, 0.0, 1.0) is PaceDecision.READ


@then("replayed slow moments delay few requests, where a blind gate delays a quarter of them")
def check_replay(context):
    random = Random(context.seed)
    blind = [Instance(random).read(number * 0.5) for number in range(REQUESTS)]
    assert sum(pace >= SLOW_FACTOR for pace in blind) > 0.2 * REQUESTS
    instances = [Instance(random) for _ in range(INSTANCES)]
    slow = sum(replay(instances, number * 0.5) >= SLOW_FACTOR for number in range(REQUESTS))
    assert slow < 0.03 * REQUESTS, slow


def replay(instances, now):
    """Return the pace at which a request runs that tries each instance in turn."""
    for position, instance in enumerate(instances):
        patience = PATIENCE_SECONDS if position == 0 else 0.0
        started_at = now
        while True:
            reading = PaceReading(instance.read(now), now)
            decision = decide_by_pace(reading, now, now - started_at, patience)
            if decision is PaceDecision.RUN:
                return reading.slowness
            if decision is PaceDecision.REFUSE:
                break
            now += POLL_INTERVAL_SECONDS
    return instances[0].read(now)
