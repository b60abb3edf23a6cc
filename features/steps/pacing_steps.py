"""Test how requests are held back while an instance is slow."""

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

REQUEST_COUNT = 2000
SLOW_SHARE = 0.25
# Factor by which work takes longer than usual in a slow period.
SLOW_PERIOD_SLOWNESS = 5.0
MEAN_PACE_DURATION_SECONDS = 0.15
MAX_WAIT_SECONDS = 0.1
INSTANCE_COUNT = 3


@dataclass
class SimulatedInstance:
    """Simulate an instance whose pace changes at random times."""

    random: Random
    pace_ends_at: float = 0.0
    slowness: float = 1.0

    def read_slowness(self, now):
        """Return the slowness at a time, which must not be before that of the last call."""
        while self.pace_ends_at <= now:
            self.pace_ends_at += self.random.expovariate(1.0 / MEAN_PACE_DURATION_SECONDS)
            self.slowness = SLOW_PERIOD_SLOWNESS if self.random.random() < SLOW_SHARE else 1.0
        return self.slowness


@then(
    "a request runs only if a fresh reading shows the usual pace, and waits no longer than allowed"
)
def check_decision(context):
    ages = st.floats(0.0, 1.0)

    @seed(context.seed)
    @given(st.floats(0.1, 10.0), ages, st.floats(0.0, 1.0), st.floats(0.0, 1.0))
    def check(slowness, age, waited_seconds, max_wait_seconds):
        decision = decide_by_pace(
            PaceReading(slowness, 10.0 - age), 10.0, waited_seconds, max_wait_seconds
        )
        if age > READING_LIFETIME_SECONDS + 1e-9:
            assert decision is PaceDecision.READ
        elif decision is PaceDecision.RUN:
            assert slowness < SLOW_FACTOR
        elif decision is PaceDecision.WAIT:
            assert slowness >= SLOW_FACTOR and waited_seconds < max_wait_seconds
        elif decision is PaceDecision.REFUSE:
            assert waited_seconds >= max_wait_seconds

    check()
    assert decide_by_pace(None, 0.0, 0.0, 1.0) is PaceDecision.READ


@then(
    "slow periods affect fewer than 3 in 100 requests that wait for the usual pace, but over 20 in "
    "100 of the others"
)
def check_simulated_load(context):
    # The share of requests slowed down without waiting equals the share of time that is slow.
    # Waiting briefly and then trying other instances avoids most slow periods.
    random = Random(context.seed)
    unpaced_slowness = [
        SimulatedInstance(random).read_slowness(number * 0.5) for number in range(REQUEST_COUNT)
    ]
    assert sum(slowness >= SLOW_FACTOR for slowness in unpaced_slowness) > 0.2 * REQUEST_COUNT
    instances = [SimulatedInstance(random) for _ in range(INSTANCE_COUNT)]
    slow_count = sum(
        simulate_request(instances, number * 0.5) >= SLOW_FACTOR for number in range(REQUEST_COUNT)
    )
    assert slow_count < 0.03 * REQUEST_COUNT, slow_count


def simulate_request(instances, now):
    """Return the slowness that a request meets when it tries each instance in turn.

    It waits only for the first instance, and runs there if all instances are slow.
    """
    for position, instance in enumerate(instances):
        max_wait_seconds = MAX_WAIT_SECONDS if position == 0 else 0.0
        started_at = now
        while True:
            reading = PaceReading(instance.read_slowness(now), now)
            decision = decide_by_pace(reading, now, now - started_at, max_wait_seconds)
            if decision is PaceDecision.RUN:
                return reading.slowness
            if decision is PaceDecision.REFUSE:
                break
            now += POLL_INTERVAL_SECONDS
    return instances[0].read_slowness(now)
