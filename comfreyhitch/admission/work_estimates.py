"""Expected work of requests at one target, by route, measured from response times."""

from dataclasses import dataclass, field

# Weight of the latest response time in the mean. About the last 30 responses count, so that one
# with 7 times the usual work moves the mean by a fifth only.
EWMA_WEIGHT = 0.03
MIN_KNOWN_RESPONSES = 3
# An older estimate refuses nothing: without responses of the route, it could not be corrected.
ESTIMATE_LIFETIME_SECONDS = 5.0
MAX_ROUTES = 256
MIN_SLOWNESS = 0.1


@dataclass(slots=True)
class WorkEstimate:
    """Hold mean and mean deviation of response times at the usual pace, in seconds."""

    mean_seconds: float = 0.0
    deviation_seconds: float = 0.0
    responses: int = 0
    updated_at: float = 0.0


@dataclass(slots=True)
class WorkEstimates:
    """Hold the estimates of the routes seen last, and one of all responses of the target."""

    by_route: dict[str, WorkEstimate] = field(default_factory=dict)
    all_routes: WorkEstimate = field(default_factory=WorkEstimate)


def record_work(
    estimates: WorkEstimates, route: str, seconds: float, slowness: float, now: float
) -> None:
    """Record one response time; `slowness` is the factor by which the target was slow."""
    work_seconds = seconds / max(slowness, MIN_SLOWNESS)
    # Insertion at the end keeps the routes in the order of their latest response.
    estimate = estimates.by_route.pop(route, None) or WorkEstimate()
    if len(estimates.by_route) >= MAX_ROUTES:
        del estimates.by_route[next(iter(estimates.by_route))]
    estimates.by_route[route] = estimate
    for changed in (estimate, estimates.all_routes):
        _update(changed, work_seconds, now)


def get_expected_work(estimates: WorkEstimates, route: str) -> float:
    """Return the mean work of the route in seconds, or that of the target if it is unknown."""
    estimate = estimates.by_route.get(route, estimates.all_routes)
    return estimate.mean_seconds


def get_known_work(estimates: WorkEstimates, route: str, now: float) -> float:
    """Return the mean work of the route in seconds, or 0 if it is not known well enough."""
    estimate = estimates.by_route.get(route)
    if estimate is None or estimate.responses < MIN_KNOWN_RESPONSES:
        return 0.0
    if now - estimate.updated_at > ESTIMATE_LIFETIME_SECONDS:
        return 0.0
    return estimate.mean_seconds


def get_deviation(estimates: WorkEstimates, route: str) -> float:
    """Return the mean deviation of the work of the route in seconds, or that of the target."""
    return estimates.by_route.get(route, estimates.all_routes).deviation_seconds


def _update(estimate: WorkEstimate, seconds: float, now: float) -> None:
    estimate.responses += 1
    estimate.updated_at = now
    weight = max(EWMA_WEIGHT, 1.0 / estimate.responses)
    difference = seconds - estimate.mean_seconds
    if estimate.responses > 1:
        estimate.deviation_seconds += weight * (abs(difference) - estimate.deviation_seconds)
    estimate.mean_seconds += weight * difference
