"""Read the load that a target tells with its responses."""

from dataclasses import dataclass

MIN_FIELD_COUNT = 3
USUAL_PACE_PERCENT = 100
MAX_VALUE = 1_000_000


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
    if len(figures) < MIN_FIELD_COUNT:
        return None
    if not all(part.isascii() and part.isdigit() for part in figures):
        return None
    numbers = [min(int(part), MAX_VALUE) for part in figures if len(part) <= len(str(MAX_VALUE))]
    if len(numbers) != len(figures):
        return None
    has_pace = len(numbers) > MIN_FIELD_COUNT
    slowness = numbers[MIN_FIELD_COUNT] / USUAL_PACE_PERCENT if has_pace else None
    return TargetLoad(numbers[0], numbers[1], numbers[2], slowness)
