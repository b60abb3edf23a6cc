"""Update and query the egress's views of the targets' load."""

from comfreyhitch.admission.pacing import SLOW_FACTOR
from comfreyhitch.egress.models import TargetView
from comfreyhitch.wire.generated.ttypes import LoadReport

REPORT_LIFETIME_SECONDS = 2.0
ERROR_EWMA_WEIGHT = 0.2
INITIAL_AVOIDANCE_SECONDS = 0.1
MAX_AVOIDANCE_SECONDS = 5.0
NOT_ACCEPTING_AVOIDANCE_SECONDS = 1.0
UNREACHABLE_AVOIDANCE_SECONDS = 1.0
SLOWNESS_LIFETIME_SECONDS = 0.1


def get_or_create_view(views_by_address: dict[str, TargetView], address: str) -> TargetView:
    """Return the load view of a target, creating it if there is none."""
    view = views_by_address.get(address)
    if view is None:
        view = views_by_address[address] = TargetView(address)
    return view


def record_sent(view: TargetView) -> None:
    """Count a request that was sent to a target."""
    view.own_in_flight += 1
    view.sent_since_report += 1
    view.sent_total += 1


def record_ended(view: TargetView) -> None:
    """Count a request as no longer in flight, whatever its outcome."""
    view.own_in_flight -= 1


def apply_load_report(view: TargetView, report: LoadReport, now: float) -> None:
    """Update the view from a load report, which covers all requests sent before it."""
    view.reported_in_flight = report.in_flight
    view.reported_queued = report.queued
    view.reported_limit = max(1, report.limit)
    view.slowness = report.slowness or 1.0
    view.latency_seconds = report.latency_seconds
    view.reported_at = now
    view.sent_since_report = 0
    view.is_accepting = report.accepting
    if not report.accepting:
        view.avoid_until = max(view.avoid_until, now + NOT_ACCEPTING_AVOIDANCE_SECONDS)


def record_success(view: TargetView) -> None:
    """Count a successful response, and stop avoiding the target."""
    view.error_rate *= 1 - ERROR_EWMA_WEIGHT
    view.consecutive_failures = 0
    view.avoid_until = 0.0


def record_failure(view: TargetView, now: float) -> None:
    """Count a failure, and avoid the target for a time that doubles with each one in a row."""
    view.error_rate += ERROR_EWMA_WEIGHT * (1 - view.error_rate)
    view.consecutive_failures += 1
    exponent = min(view.consecutive_failures - 1, 10)
    avoidance_seconds = min(MAX_AVOIDANCE_SECONDS, INITIAL_AVOIDANCE_SECONDS * 2**exponent)
    view.avoid_until = now + avoidance_seconds


def is_slow(view: TargetView, now: float) -> bool:
    """Return whether a recent load report says that the target's instance is slow."""
    return view.slowness >= SLOW_FACTOR and now - view.reported_at < SLOWNESS_LIFETIME_SECONDS


def record_unreachable(view: TargetView, now: float) -> None:
    """Count a failure to reach a target's daemon, and avoid the target for a while."""
    record_failure(view, now)
    view.avoid_until = max(view.avoid_until, now + UNREACHABLE_AVOIDANCE_SECONDS)


def is_full(view: TargetView, now: float) -> bool:
    """Return whether a target's estimated load has reached its concurrency limit."""
    return estimate_in_flight(view, now) >= view.reported_limit


def estimate_in_flight(view: TargetView, now: float) -> float:
    """Return the estimated number of requests that a target runs or queues now.

    The weight of a load report decreases linearly with its age.
    """
    age_seconds = now - view.reported_at
    freshness = max(0.0, 1.0 - age_seconds / REPORT_LIFETIME_SECONDS)
    reported = (view.reported_in_flight + view.reported_queued) * freshness
    return max(view.own_in_flight, reported + view.sent_since_report)
