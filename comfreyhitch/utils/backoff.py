"""Exponential backoff with jitter."""

from random import Random

MAX_EXPONENT = 10


def get_backoff_seconds(
    failures: int, min_seconds: float, max_seconds: float, random: Random
) -> float:
    """Return how long to wait after a number of failures in a row, in seconds."""
    exponent = min(max(0, failures - 1), MAX_EXPONENT)
    return min(max_seconds, min_seconds * 2**exponent) * random.uniform(0.5, 1.0)
