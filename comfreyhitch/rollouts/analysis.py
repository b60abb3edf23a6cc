"""Detect regressions of a new version by comparing it with the old one.

Evidence about both versions is taken from the same period. A regression is a share of
failed or slow requests that is significantly higher than that of the old version.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from math import exp, log

from comfreyhitch.rollouts.evidence import add_counts
from comfreyhitch.rollouts.models import Evidence, RouteCounts

# A rollout does not advance while the p-value of a comparison is below this bound.
SUSPICION_ALPHA = 1e-2
SLOW_SUSPICION_ALPHA = 1e-3
# A version does not count as proven while the p-value of its failures since the last stage began
# is below this bound. In doubt it is rolled back: callers then keep the version that works.
DOUBT_ALPHA = 0.15
MIN_EXPECTED_FAILURE_SHARE = 0.01
MIN_EXPECTED_SLOW_SHARE = 0.02
FAILURE_SHARE_MARGIN = 0.02
SLOW_SHARE_MARGIN = 0.15
SLOW_QUANTILE_SHARE = 0.1
MIN_OLD_REQUESTS = 20
MIN_SLOW_WINDOW_REQUESTS = 2
SEVERE_MIN_REQUESTS = 10
SEVERE_FAILURE_SHARE = 0.5
ALL_ROUTES = "all routes"


@dataclass(frozen=True, slots=True)
class RegressionThresholds:
    """Hold how strong the evidence of a regression has to be.

    `alpha` bounds the probability that one comparison reports a regression of a healthy
    version. The other fields are numbers of windows with failed or slow requests.
    """

    alpha: float
    min_failing_windows: int
    min_slow_windows: int
    # The same for slow requests. An instance is slower than usual for seconds at a time, so that
    # its requests are slow together.
    slow_alpha: float


# For rollouts that last minutes or longer. The numbers of windows keep a disturbance of a few
# seconds from being reported as a regression.
DEFAULT_THRESHOLDS = RegressionThresholds(
    alpha=1e-6, min_failing_windows=3, min_slow_windows=6, slow_alpha=1e-6
)


@dataclass(slots=True)
class VersionSample:
    """Hold the counts of one version by route and window."""

    counts_by_route: dict[str, dict[int, RouteCounts]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(RouteCounts))
    )


@dataclass(frozen=True, slots=True)
class EvidenceAnalysis:
    """Hold the result of comparing the new version with the old one.

    `regression` describes the regression that was found, if any. `is_suspicious` is also set
    for evidence that is too weak for a regression; it keeps the rollout from advancing.
    """

    requests: int
    regression: str | None
    is_suspicious: bool


@dataclass(frozen=True, slots=True)
class StageEvidence:
    """Hold what the new version did since the targets in use have borne their full load.

    `is_doubtful` is set if so many requests failed that a version as good as the old one would
    rarely do so.
    """

    requests: int
    is_doubtful: bool = False
    failures: int = field(default=0, compare=False)
    expected_share: float = field(default=0.0, compare=False)


def analyze_stage(
    evidence: Sequence[Evidence], new_version: str, first_window: int
) -> StageEvidence:
    """Compare the new version's failures, also those since a window, with those of the old one.

    Answers versions that fail only under load: earlier evidence would hide it.
    """
    old, new, new_since = RouteCounts(), RouteCounts(), RouteCounts()
    for item in evidence:
        for counts in item.counts_by_route.values():
            add_counts(new if item.version == new_version else old, counts)
            if item.version == new_version and item.window >= first_window:
                add_counts(new_since, counts)
    expected = max(MIN_EXPECTED_FAILURE_SHARE, _get_expected_share(old.failures, old.requests))
    is_doubtful = any(
        bound_upper_tail(total.failures, total.requests, expected) < DOUBT_ALPHA
        for total in (new, new_since)
    )
    return StageEvidence(new_since.requests, is_doubtful, new_since.failures, expected)


def analyze_evidence(
    evidence: Iterable[Evidence],
    new_version: str,
    thresholds: RegressionThresholds = DEFAULT_THRESHOLDS,
) -> EvidenceAnalysis:
    """Compare the new version with the old one, over all routes and for each route."""
    old, new = _split_by_version(evidence, new_version)
    regressions = []
    is_suspicious = False
    for route in list(new.counts_by_route):
        comparison = _Comparison(
            list(new.counts_by_route[route].values()), _sum_windows(old.counts_by_route.get(route))
        )
        for regression, is_route_suspicious in _compare_route(comparison, thresholds):
            is_suspicious |= is_route_suspicious
            if regression is not None:
                regressions.append(f"{regression} on {route}")
    requests = _sum_windows(new.counts_by_route.get(ALL_ROUTES)).requests
    return EvidenceAnalysis(requests, regressions[0] if regressions else None, is_suspicious)


@dataclass(frozen=True, slots=True)
class _Comparison:
    new_windows: list[RouteCounts]
    old: RouteCounts


def _split_by_version(
    evidence: Iterable[Evidence], new_version: str
) -> tuple[VersionSample, VersionSample]:
    old = VersionSample()
    new = VersionSample()
    for item in evidence:
        sample = new if item.version == new_version else old
        for route, counts in item.counts_by_route.items():
            for name in (ALL_ROUTES, route):
                add_counts(sample.counts_by_route[name][item.window], counts)
    return old, new


def _sum_windows(windows: dict[int, RouteCounts] | None) -> RouteCounts:
    total = RouteCounts()
    for counts in (windows or {}).values():
        add_counts(total, counts)
    return total


def _compare_route(
    comparison: _Comparison, thresholds: RegressionThresholds
) -> Iterator[tuple[str | None, bool]]:
    yield _compare_failures(comparison, thresholds)
    if comparison.old.requests >= MIN_OLD_REQUESTS:
        yield _compare_latency(comparison, thresholds)


def _compare_failures(
    comparison: _Comparison, thresholds: RegressionThresholds
) -> tuple[str | None, bool]:
    windows = comparison.new_windows
    requests = sum(counts.requests for counts in windows)
    failures = sum(counts.failures for counts in windows)
    expected = _get_expected_share(comparison.old.failures, comparison.old.requests)
    expected = max(MIN_EXPECTED_FAILURE_SHARE, expected)
    p_value = bound_upper_tail(failures, requests, expected)
    if requests == 0 or failures / requests <= expected + FAILURE_SHARE_MARGIN:
        return None, False
    failing_windows = sum(counts.failures > 0 for counts in windows)
    is_conclusive = failing_windows >= thresholds.min_failing_windows or _has_severe_window(windows)
    if p_value < thresholds.alpha and is_conclusive:
        return f"{failures} of {requests} requests failed, against {expected:.1%} expected", True
    return None, p_value < SUSPICION_ALPHA


def _has_severe_window(windows: list[RouteCounts]) -> bool:
    return any(
        counts.requests >= SEVERE_MIN_REQUESTS
        and counts.failures > counts.requests * SEVERE_FAILURE_SHARE
        for counts in windows
    )


def _compare_latency(
    comparison: _Comparison, thresholds: RegressionThresholds
) -> tuple[str | None, bool]:
    slow_bucket = _find_slow_bucket(comparison.old)
    old_slow = _count_slow(comparison.old, slow_bucket)
    expected = max(MIN_EXPECTED_SLOW_SHARE, _get_expected_share(old_slow, comparison.old.requests))
    windows = comparison.new_windows
    requests = sum(counts.requests for counts in windows)
    slow = sum(_count_slow(counts, slow_bucket) for counts in windows)
    if requests == 0 or slow / requests <= expected + SLOW_SHARE_MARGIN:
        return None, False
    p_value = bound_upper_tail(slow, requests, expected)
    # A short slowdown of one instance affects one or two windows, a slow version all of them.
    slow_windows = sum(_is_slow_window(counts, slow_bucket, expected) for counts in windows)
    if p_value < thresholds.slow_alpha and slow_windows >= thresholds.min_slow_windows:
        return f"{slow} of {requests} requests were slow, against {expected:.1%} expected", True
    return None, p_value < SLOW_SUSPICION_ALPHA


def _is_slow_window(counts: RouteCounts, slow_bucket: int, expected: float) -> bool:
    if counts.requests < MIN_SLOW_WINDOW_REQUESTS:
        return False
    return _count_slow(counts, slow_bucket) / counts.requests > expected + SLOW_SHARE_MARGIN


def _find_slow_bucket(counts: RouteCounts) -> int:
    above = counts.requests
    for bucket, count in enumerate(counts.latency_counts):
        above -= count
        if above <= counts.requests * SLOW_QUANTILE_SHARE:
            return bucket
    return len(counts.latency_counts)


def _count_slow(counts: RouteCounts, slow_bucket: int) -> int:
    return sum(counts.latency_counts[slow_bucket + 1 :])


def _get_expected_share(count: int, total: int) -> float:
    # Laplace's rule of succession avoids an estimate of zero from a small sample.
    return (count + 1) / (total + 2)


def bound_upper_tail(count: int, total: int, share: float) -> float:
    """Return the Chernoff bound on the upper tail of a binomial distribution.

    It bounds the probability of at least `count` successes in `total` trials that each
    succeed with the probability `share`.
    """
    if total == 0 or count <= total * share:
        return 1.0
    observed_share = count / total
    divergence = observed_share * log(observed_share / share)
    if observed_share < 1.0:
        divergence += (1 - observed_share) * log((1 - observed_share) / (1 - share))
    return exp(-total * divergence)
