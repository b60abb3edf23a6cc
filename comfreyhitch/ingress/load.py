"""Read the load that a target tells with its responses."""

from dataclasses import dataclass

FIELD_COUNT_WITHOUT_PACE = 3
USUAL_PACE = 100
MAX_FIGURE = 1_000_000


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Hold what a target says of its load; `slowness` is 1 at its usual pace."""

    running: int
    waiting: int
    slots: int
    slowness: float | None


def parse_load(text: str) -> TargetLoad | None:
    """Return the load in `running,waiting,slots[,pace]`, or None if it can't be read."""
    figures = [part.strip() for part in text.split(",")]
    if len(figures) < FIELD_COUNT_WITHOUT_PACE:
        return None
    if not all(part.isascii() and part.isdigit() for part in figures):
        return None
    numbers = [min(int(part), MAX_FIGURE) for part in figures if len(part) <= len(str(MAX_FIGURE))]
    if len(numbers) != len(figures):
        return None
    has_pace = len(numbers) > FIELD_COUNT_WITHOUT_PACE
    slowness = numbers[FIELD_COUNT_WITHOUT_PACE] / USUAL_PACE if has_pace else None
    return TargetLoad(numbers[0], numbers[1], numbers[2], slowness)
