"""Draw a plan of stops from a seed."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from comfreyhitch.testing.stops.series import (
    SINGLE_SIGTERM,
    PlannedSignal,
    SeriesKind,
    draw_series,
    repeat_shuffled,
)

MAX_PAUSE_SECONDS = 1.5
MAX_PAIR_DELAY_SECONDS = 1.0
# A target leaves at most this long before the SIGTERM of its daemon.
MAX_LEAVE_LEAD_SECONDS = 1.0
MAX_AGAIN_DELAY_SECONDS = 0.5


class StopKind(StrEnum):
    """Tell what happens beside a stop."""

    PLAIN = "plain"
    SECOND_TERM = "second SIGTERM"
    HANGUP = "SIGHUP"
    CONFIGURATION = "configuration"
    PAIR = "two daemons"
    # With series of signals alone.
    NEIGHBOURS = "restarts of neighbours"
    LEAVING_TARGET = "its target leaves"
    AGAIN = "stopped again at once"


KIND_WEIGHTS = {
    StopKind.PLAIN: 4,
    StopKind.SECOND_TERM: 1,
    StopKind.HANGUP: 1,
    StopKind.CONFIGURATION: 2,
    StopKind.PAIR: 2,
}
STOP_COUNTS_BY_KIND = {
    StopKind.PLAIN: 1,
    StopKind.CONFIGURATION: 1,
    StopKind.PAIR: 2,
    StopKind.NEIGHBOURS: 3,
    StopKind.LEAVING_TARGET: 1,
    StopKind.AGAIN: 2,
}


@dataclass(frozen=True, slots=True)
class StopStep:
    """Hold one step: the daemons to stop, by number, and what happens beside it.

    A daemon that is stopped again at once has its number twice. `event_seconds` is the time from
    SIGTERM to the event beside the stop, from a stop to the next one of the step, or from the
    return of a daemon to its next stop; it is negative if a target leaves before the SIGTERM of
    its daemon. `series` has the signals of each stop.
    """

    kind: StopKind
    numbers: tuple[int, ...]
    pause_seconds: float
    event_seconds: float
    series: tuple[tuple[PlannedSignal, ...], ...]


def draw_steps(random: Random, numbers: list[int], count: int, grace: float) -> list[StopStep]:
    """Return steps which stop daemons of the given numbers, with `count` stops in total."""
    steps: list[StopStep] = []
    left = count
    while left > 0:
        kind = random.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
        if kind is StopKind.PAIR and left < 2:
            kind = StopKind.PLAIN
        is_pair = kind is StopKind.PAIR
        step_numbers = tuple(random.sample(numbers, 2 if is_pair else 1))
        step = StopStep(
            kind=kind,
            numbers=step_numbers,
            pause_seconds=random.uniform(0.0, MAX_PAUSE_SECONDS),
            event_seconds=random.uniform(0.0, MAX_PAIR_DELAY_SECONDS if is_pair else grace),
            series=(SINGLE_SIGTERM,) * len(step_numbers),
        )
        steps.append(step)
        left -= len(step.numbers)
    return steps


def draw_steps_with_series(
    random: Random, numbers: list[int], count: int, grace: float
) -> list[StopStep]:
    """Return steps as `draw_steps`, whose stops have series of signals and overlap."""
    kinds = repeat_shuffled(random, list(STOP_COUNTS_BY_KIND))
    series_kinds = repeat_shuffled(random, list(SeriesKind))
    steps: list[StopStep] = []
    left = count
    while left > 0:
        kind = next(kinds)
        if STOP_COUNTS_BY_KIND[kind] > left:
            kind = StopKind.PLAIN
        step_numbers = _draw_numbers(random, numbers, kind)
        step = StopStep(
            kind=kind,
            numbers=step_numbers,
            pause_seconds=random.uniform(0.0, MAX_PAUSE_SECONDS),
            event_seconds=_draw_event_seconds(random, kind, grace),
            series=tuple(draw_series(random, next(series_kinds), grace) for _ in step_numbers),
        )
        steps.append(step)
        left -= len(step.numbers)
    return steps


def _draw_numbers(random: Random, numbers: list[int], kind: StopKind) -> tuple[int, ...]:
    if kind is StopKind.AGAIN:
        return (random.choice(numbers),) * STOP_COUNTS_BY_KIND[kind]
    return tuple(random.sample(numbers, STOP_COUNTS_BY_KIND[kind]))


def _draw_event_seconds(random: Random, kind: StopKind, grace: float) -> float:
    match kind:
        case StopKind.LEAVING_TARGET:
            return random.uniform(-MAX_LEAVE_LEAD_SECONDS, grace / 2)
        case StopKind.AGAIN:
            return random.uniform(0.0, MAX_AGAIN_DELAY_SECONDS)
        case StopKind.NEIGHBOURS:
            # Both neighbours are stopped within the grace period of the first daemon.
            return random.uniform(0.0, grace / 2)
    return random.uniform(0.0, grace)
