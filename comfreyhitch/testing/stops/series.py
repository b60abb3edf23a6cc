"""Draw the signals that one process gets during its stop."""

import signal
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import TypeVar

T = TypeVar("T")

# Share of the gaps between two signals that are shorter than `SHORT_GAP_SECONDS`.
SHORT_GAP_SHARE = 0.25
SHORT_GAP_SECONDS = 0.05
FREQUENT_GAP_SECONDS = 0.05


class SeriesKind(StrEnum):
    """Tell which signals a process gets during one stop."""

    ONCE = "SIGTERM"
    TWICE = "SIGTERM twice"
    THRICE = "SIGTERM three times"
    HANGUP = "SIGTERM, SIGHUP, SIGTERM"
    INTERRUPT = "SIGTERM and SIGINT"
    FREQUENT = "SIGTERM until the end"


@dataclass(frozen=True, slots=True)
class PlannedSignal:
    """Hold a signal and its time in seconds after the first one of its series."""

    signal: signal.Signals
    at_seconds: float


SINGLE_SIGTERM = (PlannedSignal(signal.SIGTERM, 0.0),)


def draw_series(random: Random, kind: SeriesKind, grace: float) -> tuple[PlannedSignal, ...]:
    """Return the signals of one stop in order of time, all within the grace period."""
    signals = _list_signals(random, kind, grace)
    later_times = sorted(_draw_gap(random, grace) for _ in signals[1:])
    if kind is SeriesKind.FREQUENT:
        later_times = [number * FREQUENT_GAP_SECONDS for number in range(1, len(signals))]
    return tuple(
        PlannedSignal(item, at) for item, at in zip(signals, (0.0, *later_times), strict=True)
    )


def repeat_shuffled(random: Random, items: list[T]) -> Iterator[T]:
    """Yield all items in an order of chance, then all again in another one, without end."""
    while True:
        yield from random.sample(items, len(items))


def _list_signals(random: Random, kind: SeriesKind, grace: float) -> list[signal.Signals]:
    match kind:
        case SeriesKind.ONCE:
            return [signal.SIGTERM]
        case SeriesKind.TWICE:
            return [signal.SIGTERM] * 2
        case SeriesKind.THRICE:
            return [signal.SIGTERM] * 3
        case SeriesKind.HANGUP:
            return [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM]
        case SeriesKind.INTERRUPT:
            return random.sample([signal.SIGTERM, signal.SIGINT], 2)
        case SeriesKind.FREQUENT:
            return [signal.SIGTERM] * round(grace / FREQUENT_GAP_SECONDS)


def _draw_gap(random: Random, grace: float) -> float:
    is_short = random.random() < SHORT_GAP_SHARE
    return random.uniform(0.0, SHORT_GAP_SECONDS if is_short else grace)
