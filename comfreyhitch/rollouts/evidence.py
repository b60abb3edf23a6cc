"""Counts of a target's responses per window of wall-clock time."""

from bisect import bisect_left
from collections import OrderedDict
from dataclasses import dataclass, field

from comfreyhitch.core.clock import Clock
from comfreyhitch.rollouts.models import Evidence, RouteCounts

WINDOW_SECONDS = 1
RETAINED_WINDOWS = 120
MAX_ROUTES_PER_WINDOW = 32
OTHER_ROUTE = "*"
# The bucket bounds grow by a factor of the square root of two, from 0.5 ms to about 11 s.
LATENCY_BOUNDS_SECONDS = tuple(0.0005 * 2 ** (step / 2) for step in range(30))


@dataclass(slots=True)
class EvidenceLog:
    """Hold the response counts of this daemon's target by window and route."""

    clock: Clock
    counts_by_window: OrderedDict[int, dict[str, RouteCounts]] = field(default_factory=OrderedDict)

    @classmethod
    def from_clock(cls, clock: Clock) -> "EvidenceLog":
        """Return an empty log."""
        return cls(clock)


def record_outcome(log: EvidenceLog, route: str, seconds: float, *, is_failure: bool) -> None:
    """Count one response of the target.

    Once a window has `MAX_ROUTES_PER_WINDOW` routes, further routes are counted together.
    """
    window = get_window(log.clock)
    counts_by_route = log.counts_by_window.get(window)
    if counts_by_route is None:
        counts_by_route = log.counts_by_window[window] = {}
        while len(log.counts_by_window) > RETAINED_WINDOWS:
            log.counts_by_window.popitem(last=False)
    counts = counts_by_route.get(route)
    if counts is None:
        if len(counts_by_route) >= MAX_ROUTES_PER_WINDOW:
            route = OTHER_ROUTE
        counts = counts_by_route.setdefault(route, RouteCounts())
    _count(counts, seconds, is_failure)


def get_window(clock: Clock) -> int:
    """Return the number of the current window, which is the same on all daemons."""
    return int(clock.now().timestamp() // WINDOW_SECONDS)


def get_window_evidence(
    log: EvidenceLog, window: int, rollout_id: str, version: str, address: str
) -> Evidence | None:
    """Return the evidence of a window, or None if it has no responses."""
    counts_by_route = log.counts_by_window.get(window)
    if not counts_by_route:
        return None
    return Evidence(rollout_id, version, address, window, counts_by_route)


def add_counts(total: RouteCounts, counts: RouteCounts) -> None:
    """Add counts to a total in place."""
    total.requests += counts.requests
    total.failures += counts.failures
    missing = len(counts.latency_counts) - len(total.latency_counts)
    total.latency_counts.extend([0] * missing)
    for bucket, count in enumerate(counts.latency_counts):
        total.latency_counts[bucket] += count


def _count(counts: RouteCounts, seconds: float, is_failure: bool) -> None:
    counts.requests += 1
    counts.failures += is_failure
    if not counts.latency_counts:
        counts.latency_counts = [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)
    counts.latency_counts[bisect_left(LATENCY_BOUNDS_SECONDS, seconds)] += 1
