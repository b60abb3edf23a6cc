"""Draw a plan of stops from a seed."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random

MAX_PAUSE_SECONDS = 1.5
MAX_PAIR_DELAY_SECONDS = 1.0


class StopKind(StrEnum):
    """Tell what happens beside a stop."""

    PLAIN = "plain"
    SECOND_TERM = "second SIGTERM"
    HANGUP = "SIGHUP"
    CONFIGURATION = "configuration"
    PAIR = "two daemons"


KIND_WEIGHTS = {
    StopKind.PLAIN: 4,
    StopKind.SECOND_TERM: 1,
    StopKind.HANGUP: 1,
    StopKind.CONFIGURATION: 2,
    StopKind.PAIR: 2,
}


@dataclass(frozen=True, slots=True)
class StopStep:
    """Hold one step: the daemons to stop, by number, and what happens beside it.

    `event_seconds` is the time from SIGTERM to the event beside the stop, or to the SIGTERM of
    the second daemon.
    """

    kind: StopKind
    numbers: tuple[int, ...]
    pause_seconds: float
    event_seconds: float


def draw_steps(random: Random, numbers: list[int], count: int, grace: float) -> list[StopStep]:
    """Return steps which stop daemons of the given numbers, with `count` stops in total."""
    steps: list[StopStep] = []
    left = count
    while left > 0:
        kind = random.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))[0]
        if kind is StopKind.PAIR and left < 2:
            kind = StopKind.PLAIN
        is_pair = kind is StopKind.PAIR
        step = StopStep(
            kind=kind,
            numbers=tuple(random.sample(numbers, 2 if is_pair else 1)),
            pause_seconds=random.uniform(0.0, MAX_PAUSE_SECONDS),
            event_seconds=random.uniform(0.0, MAX_PAIR_DELAY_SECONDS if is_pair else grace),
        )
        steps.append(step)
        left -= len(step.numbers)
    return steps
