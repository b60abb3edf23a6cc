"""Sum whose parts lose weight exponentially with their age."""

from dataclasses import dataclass
from math import exp


@dataclass(slots=True)
class DecayingSum:
    """Hold a sum as of `updated_at`, in monotonic seconds."""

    time_constant_seconds: float
    value: float = 0.0
    updated_at: float = 0.0


def read_sum(total: DecayingSum, now: float) -> float:
    """Return the sum as it has decayed by now."""
    age_seconds = max(0.0, now - total.updated_at)
    return total.value * exp(-age_seconds / total.time_constant_seconds)


def add_to_sum(total: DecayingSum, amount: float, now: float) -> None:
    """Add an amount that has its full weight now."""
    total.value = read_sum(total, now) + amount
    total.updated_at = now
