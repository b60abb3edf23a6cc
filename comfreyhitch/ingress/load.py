"""Parse the load that a target reports with its responses."""

from dataclasses import dataclass

FIELD_COUNT_WITHOUT_PACE = 3
USUAL_PACE_PERCENT = 100
MAX_LOAD_VALUE = 1_000_000


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Represent the load that a target reports.

    `slowness` is how long work takes now, divided by how long it usually takes: 1 at the usual
    pace. It is None if the target does not report its pace.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None


def parse_load(text: str) -> TargetLoad | None:
    """Return the load in `running,waiting,slots[,pace]`, or None if it is malformed."""
    fields = [part.strip() for part in text.split(",")]
    if len(fields) < FIELD_COUNT_WITHOUT_PACE:
        return None
    if not all(part.isascii() and part.isdigit() for part in fields):
        return None
    numbers = [
        min(int(part), MAX_LOAD_VALUE) for part in fields if len(part) <= len(str(MAX_LOAD_VALUE))
    ]
    if len(numbers) != len(fields):
        return None
    has_pace = len(numbers) > FIELD_COUNT_WITHOUT_PACE
    slowness = numbers[FIELD_COUNT_WITHOUT_PACE] / USUAL_PACE_PERCENT if has_pace else None
    return TargetLoad(numbers[0], numbers[1], numbers[2], slowness)
