"""Compare response times at two neighbouring concurrencies of a target.

One more concurrent request lowers the throughput if times grow by more than the concurrency does.
Times are compared by their ranks within each route, since some requests take many times as long as
most.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from itertools import groupby
from math import inf, sqrt
from operator import attrgetter
from statistics import median

MIN_SAMPLES = 10
# The times of a route with fewer samples say nothing about how steady it is.
MIN_SPREAD_SAMPLES = 4
# Requests that make calls of their own have times that vary more. Once the steadiest routes have
# this many samples, the others are left out.
ENOUGH_STEADY_SAMPLES = 20
# Standard errors by which ranks must differ. If times do not depend on the concurrency, they differ
# by much less, since the times are first divided by the ratio at which throughput is equal.
SATURATED_ERRORS = 2.33
FREE_ERRORS = -1.64
MIN_SECONDS = 1e-6


class Saturation(Enum):
    """Name whether one more concurrent request lowers the throughput."""

    UNMEASURED = "unmeasured"
    UNCLEAR = "unclear"
    SATURATED = "saturated"
    FREE = "free"


@dataclass(frozen=True, slots=True)
class Sample:
    """Hold the response time of one request; `ended_at` is in monotonic seconds."""

    route: str
    seconds: float
    ended_at: float


SamplesByConcurrency = Mapping[int, Sequence[Sample]]
# Times of one route in seconds, at one request less and at a concurrency.
TimesPair = tuple[list[float], list[float]]


def find_saturation(samples_by_concurrency: SamplesByConcurrency, concurrency: int) -> Saturation:
    """Return whether the throughput at a concurrency is lower than at one request less."""
    pairs = _list_steady_pairs(samples_by_concurrency, concurrency)
    if min(sum(map(len, times)) for times in zip(*pairs, strict=True)) < MIN_SAMPLES:
        return Saturation.UNMEASURED
    break_even = concurrency / (concurrency - 1)
    errors = compare_ranks(
        [(lower, [seconds / break_even for seconds in higher]) for lower, higher in pairs]
    )
    if errors > SATURATED_ERRORS:
        return Saturation.SATURATED
    return Saturation.FREE if errors < FREE_ERRORS else Saturation.UNCLEAR


def get_relative_times(samples_by_concurrency: SamplesByConcurrency) -> dict[int, float]:
    """Return the response time by concurrency, relative to the lowest that was measured."""
    times_by_concurrency: dict[int, float] = {}
    for concurrency in sorted(samples_by_concurrency):
        ratios = [
            time / max(MIN_SECONDS, median(lower))
            for lower, higher in _list_steady_pairs(samples_by_concurrency, concurrency)
            for time in higher
        ]
        if ratios:
            lower_time = times_by_concurrency.setdefault(concurrency - 1, 1.0)
            times_by_concurrency[concurrency] = lower_time * median(ratios)
    return times_by_concurrency


def compare_ranks(pairs: Sequence[TimesPair]) -> float:
    """Return by how many standard errors the second lists of pairs are above the first ones.

    This is the rank-sum statistic, stratified by pair with the weights of van Elteren.
    """
    difference = variance = 0.0
    for lower, higher in pairs:
        if not lower or not higher:
            continue
        ordered = sorted(lower)
        above = sum(bisect_left(ordered, time) + bisect_right(ordered, time) for time in higher) / 2
        count = len(lower) * len(higher)
        weight = 1.0 / (len(lower) + len(higher) + 1)
        difference += weight * (above - count / 2)
        variance += weight * count / 12
    return difference / sqrt(variance) if variance else 0.0


def _list_steady_pairs(
    samples_by_concurrency: SamplesByConcurrency, concurrency: int
) -> list[TimesPair]:
    """Return the times at one request less and at a concurrency, of the steadiest routes."""
    lower = _group_by_route(samples_by_concurrency.get(concurrency - 1, ()))
    higher = _group_by_route(samples_by_concurrency.get(concurrency, ()))
    pairs = [(lower[route], higher[route]) for route in lower.keys() & higher.keys()]
    pairs.sort(key=lambda pair: (_get_spread(pair[0]), pair))
    steady: list[TimesPair] = [([], [])]
    for pair in pairs:
        counts = (sum(map(len, times)) for times in zip(*steady, strict=True))
        if min(counts) >= ENOUGH_STEADY_SAMPLES:
            break
        steady.append(pair)
    return steady


def _group_by_route(samples: Sequence[Sample]) -> dict[str, list[float]]:
    ordered = sorted(samples, key=attrgetter("route"))
    return {
        route: [sample.seconds for sample in group]
        for route, group in groupby(ordered, key=attrgetter("route"))
    }


def _get_spread(seconds: Sequence[float]) -> float:
    """Return the distance between the quartiles, relative to the median; infinite if unknown."""
    if len(seconds) < MIN_SPREAD_SAMPLES:
        return inf
    ordered = sorted(seconds)
    quarter = len(ordered) // 4
    return (ordered[-1 - quarter] - ordered[quarter]) / max(MIN_SECONDS, median(ordered))
