"""Concurrency limit with the highest throughput, learned from response times.

A request that starts while many others run may take so much longer that the target completes fewer
requests a second than with one request less. The limit changes by one at a time. Load, and with it
the time for which requests wait for their own calls, changes from second to second. Times that were
measured under different loads therefore only suggest a lower limit: it is tried for some requests
before it is kept.
"""

import logging
from collections import deque
from dataclasses import dataclass, field, fields

from comfreyhitch.admission.saturation import (
    MIN_SAMPLES,
    Sample,
    Saturation,
    find_saturation,
    get_relative_times,
)

logger = logging.getLogger(__name__)

# Samples older than this no longer count, since load and work change.
SAMPLE_LIFETIME_SECONDS = 30.0
MAX_SAMPLES_PER_CONCURRENCY = 64
# Concurrencies farther from the limit than this are not measured, which bounds the memory.
MEASURED_DISTANCE = 2
# A reading of the pace above this is not usual.
MAX_USUAL_SLOWNESS = 1.2
# The pace changes about every 150 ms, so an older reading says little about a request.
PACE_LIFETIME_SECONDS = 0.05
MAX_TRIAL_SECONDS = 3.0
MAX_TRIAL_SAMPLES = 30
MIN_TRIAL_INTERVAL_SECONDS = 10.0
MAX_TRIAL_INTERVAL_SECONDS = 60.0
# A limit is tried only if a request has started at the present limit within this time.
DEMAND_LIFETIME_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class StartedRequest:
    """Hold what is known of a request when it is sent; `started_at` is in monotonic seconds."""

    route: str
    started_at: float
    concurrency: int
    generation: int
    has_usual_pace: bool


@dataclass(frozen=True, slots=True)
class Trial:
    """Hold a limit that is tried; `started_at` is in monotonic seconds."""

    limit: int
    started_at: float


@dataclass(slots=True)
class ThroughputLimit:
    """Hold the learned limit of one target incarnation; times are monotonic seconds.

    `running` counts the requests that the target works on. `slow_at` is the time of the last
    reading of a pace that was not usual, and `uncertain_until` the time until which the target may
    run a request that this daemon no longer counts. `generation` counts the incarnations.
    """

    slots: int
    limit: int
    generation: int = 0
    running: int = 0
    trial: Trial | None = None
    samples_by_concurrency: dict[int, deque[Sample]] = field(default_factory=dict)
    demanded_at: float = float("-inf")
    slow_at: float = float("-inf")
    uncertain_until: float = float("-inf")
    next_lower_at: float = float("-inf")
    next_raise_at: float = float("-inf")
    lower_interval_seconds: float = MIN_TRIAL_INTERVAL_SECONDS
    raise_interval_seconds: float = MIN_TRIAL_INTERVAL_SECONDS

    @classmethod
    def from_slots(cls, slots: int, generation: int = 0) -> "ThroughputLimit":
        """Return the limit of a target of which nothing is known but its slots."""
        return cls(slots=slots, limit=slots, generation=generation)


def get_applied_limit(state: ThroughputLimit) -> int:
    """Return the limit to admit requests by: the one that is tried, else the learned one."""
    return state.limit if state.trial is None else state.trial.limit


def change_slots(state: ThroughputLimit, slots: int) -> None:
    """Apply the slots that the target reports; a learned limit below them is kept."""
    if slots == state.slots:
        return
    state.limit = slots if state.limit == state.slots else min(state.limit, slots)
    state.slots = slots
    state.trial = None


def reset_throughput(state: ThroughputLimit, slots: int) -> None:
    """Forget all that was learned, for a target that replaced another."""
    initial = ThroughputLimit.from_slots(slots, state.generation + 1)
    for item in fields(state):
        setattr(state, item.name, getattr(initial, item.name))


def record_pace(state: ThroughputLimit, slowness: float, now: float) -> None:
    """Record a reading of the target's pace."""
    if slowness > MAX_USUAL_SLOWNESS:
        state.slow_at = now


def start_request(
    state: ThroughputLimit, route: str, pace_read_at: float | None, now: float
) -> StartedRequest:
    """Count a request that is sent now; `pace_read_at` is None if the target reports no pace."""
    state.running += 1
    if state.running >= state.limit:
        state.demanded_at = now
    has_usual_pace = pace_read_at is None or (
        now - pace_read_at <= PACE_LIFETIME_SECONDS and state.slow_at < pace_read_at
    )
    return StartedRequest(route, now, state.running, state.generation, has_usual_pace)


def abandon_request(state: ThroughputLimit, started: StartedRequest, now: float) -> None:
    """Uncount a request without a response, which the target may still run."""
    if started.generation != state.generation:
        return
    state.running -= 1
    state.uncertain_until = max(state.uncertain_until, now + 2 * (now - started.started_at))


def end_request(
    state: ThroughputLimit, started: StartedRequest, now: float, *, is_comparable: bool
) -> None:
    """Count a response, and change the limit if there is clear evidence.

    A response is not comparable if its time says nothing about other requests of the route.
    """
    if started.generation != state.generation:
        return
    state.running -= 1
    if is_comparable and _can_measure(state, started):
        _add_sample(state, started, now)
    if state.trial is not None:
        _end_trial_if_decided(state, state.trial, now)
    elif now - state.demanded_at <= DEMAND_LIFETIME_SECONDS:
        _start_trial_if_due(state, now)


def _can_measure(state: ThroughputLimit, started: StartedRequest) -> bool:
    if not started.has_usual_pace or state.slow_at >= started.started_at:
        return False
    if started.started_at < state.uncertain_until:
        return False
    return abs(started.concurrency - state.limit) <= MEASURED_DISTANCE


def _add_sample(state: ThroughputLimit, started: StartedRequest, now: float) -> None:
    samples = state.samples_by_concurrency.setdefault(
        started.concurrency, deque(maxlen=MAX_SAMPLES_PER_CONCURRENCY)
    )
    samples.append(Sample(started.route, now - started.started_at, now))
    for concurrency, known in list(state.samples_by_concurrency.items()):
        while known and now - known[0].ended_at > SAMPLE_LIFETIME_SECONDS:
            known.popleft()
        if not known or abs(concurrency - state.limit) > MEASURED_DISTANCE:
            del state.samples_by_concurrency[concurrency]


def _start_trial_if_due(state: ThroughputLimit, now: float) -> None:
    if state.limit < state.slots and now >= state.next_raise_at:
        state.trial = Trial(state.limit + 1, now)
        return
    samples = state.samples_by_concurrency.get(state.limit, ())
    if state.limit == 1 or now < state.next_lower_at or len(samples) < MIN_SAMPLES:
        return
    saturation = find_saturation(state.samples_by_concurrency, state.limit)
    if saturation in (Saturation.SATURATED, Saturation.UNMEASURED):
        state.trial = Trial(state.limit - 1, now)
    else:
        # Samples suffice to compare without a trial, which needs no repeat for every response.
        state.next_lower_at = now + DEMAND_LIFETIME_SECONDS


def _end_trial_if_decided(state: ThroughputLimit, trial: Trial, now: float) -> None:
    samples = state.samples_by_concurrency.get(trial.limit, ())
    count = sum(sample.ended_at > trial.started_at for sample in samples)
    is_over = count >= MAX_TRIAL_SAMPLES or now - trial.started_at > MAX_TRIAL_SECONDS
    if count < MIN_SAMPLES and not is_over:
        return
    saturation = Saturation.UNMEASURED
    if count >= MIN_SAMPLES:
        higher = max(state.limit, trial.limit)
        saturation = find_saturation(state.samples_by_concurrency, higher)
    if saturation not in (Saturation.SATURATED, Saturation.FREE) and not is_over:
        return
    state.trial = None
    if trial.limit < state.limit:
        _end_lower_trial(state, trial, saturation, now)
    else:
        _end_higher_trial(state, trial, saturation, now)


def _end_lower_trial(
    state: ThroughputLimit, trial: Trial, saturation: Saturation, now: float
) -> None:
    if saturation is Saturation.SATURATED:
        state.raise_interval_seconds = MIN_TRIAL_INTERVAL_SECONDS
        _change_limit(state, trial.limit, now)
        return
    if saturation is not Saturation.UNMEASURED:
        state.lower_interval_seconds = _lengthen(state.lower_interval_seconds)
    state.next_lower_at = now + state.lower_interval_seconds


def _end_higher_trial(
    state: ThroughputLimit, trial: Trial, saturation: Saturation, now: float
) -> None:
    if saturation is Saturation.FREE:
        state.lower_interval_seconds = MIN_TRIAL_INTERVAL_SECONDS
        _change_limit(state, trial.limit, now)
        return
    if saturation is not Saturation.UNMEASURED:
        state.raise_interval_seconds = _lengthen(state.raise_interval_seconds)
    state.next_raise_at = now + state.raise_interval_seconds


def _change_limit(state: ThroughputLimit, limit: int, now: float) -> None:
    times_by_concurrency = get_relative_times(state.samples_by_concurrency)
    logger.info(
        "concurrency limit changes",
        extra={
            "limit": limit,
            "previous": state.limit,
            "slots": state.slots,
            "relative_times": {
                str(concurrency): round(time, 2)
                for concurrency, time in times_by_concurrency.items()
            },
        },
    )
    state.limit = limit
    state.next_raise_at = now + state.raise_interval_seconds
    state.next_lower_at = now + state.lower_interval_seconds


def _lengthen(interval_seconds: float) -> float:
    return min(MAX_TRIAL_INTERVAL_SECONDS, 2 * interval_seconds)
