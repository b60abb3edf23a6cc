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
# Number of reports over which the mean latency of a target is taken, so that it follows changes.
MAX_LATENCY_REPORTS = 20
FLAP_HALF_LIFE_SECONDS = 30.0
MAX_FLAP_SCORE = 7.0
# Time without requests after the first flap; it doubles with each further one, up to 16 s.
FLAP_AVOIDANCE_SECONDS = 0.25
# A cold target takes 8 requests a second from all daemons together.
INITIAL_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.8


AVOIDANCE_CAUSES = ("failure", "refusal", "flapping")


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
    if report.latency_seconds:
        view.latency_reports = min(MAX_LATENCY_REPORTS, view.latency_reports + 1)
        difference = report.latency_seconds - view.mean_latency_seconds
        view.mean_latency_seconds += difference / view.latency_reports
    view.wait_seconds = report.wait_seconds or 0.0
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
    view.has_answered_since_flap = True
    view.pause_seconds /= 2


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
    record_flap(view, now)
    view.avoid_until = max(view.avoid_until, now + UNREACHABLE_AVOIDANCE_SECONDS)


def record_flap(view: TargetView, now: float) -> None:
    """Count a flap if the target has answered since the last one."""
    if not view.has_answered_since_flap:
        return
    view.flap_score = min(MAX_FLAP_SCORE, get_flap_score(view, now) + 1.0)
    view.flapped_at = now
    view.has_answered_since_flap = False


def get_flap_score(view: TargetView, now: float) -> float:
    """Return how often a target has flapped; the score halves every 30 s."""
    return view.flap_score * 0.5 ** ((now - view.flapped_at) / FLAP_HALF_LIFE_SECONDS)


def record_pause(view: TargetView, now: float) -> None:
    """Send a cold or limited target nothing for a time that doubles with each such refusal."""
    view.pause_seconds = min(MAX_PAUSE_SECONDS, max(INITIAL_PAUSE_SECONDS, 2 * view.pause_seconds))
    view.paused_until = now + view.pause_seconds


def get_avoidance_cause(view: TargetView, now: float) -> str | None:
    """Return why other targets are preferred now, or None if they are not."""
    if now < view.avoid_until:
        return "failure"
    if now < view.paused_until:
        return "refusal"
    seconds = FLAP_AVOIDANCE_SECONDS * 2 ** (view.flap_score - 1.0)
    if view.flap_score and now < view.flapped_at + seconds:
        return "flapping"
    return None


def replace_view(views_by_address: dict[str, TargetView], address: str) -> None:
    """Forget what is known of a restarted daemon and its target, except how often it flapped."""
    known = views_by_address.pop(address, None)
    if known is not None and known.flap_score:
        views_by_address[address] = TargetView(
            address, flap_score=known.flap_score, flapped_at=known.flapped_at
        )


def is_mostly_overdue(view: TargetView) -> bool:
    """Return whether more than half of the pending attempts at a target are overdue."""
    return view.overdue_attempts > 0 and 2 * view.overdue_attempts > view.own_in_flight


def is_full(view: TargetView, now: float) -> bool:
    """Return whether a target's estimated load has reached its concurrency limit."""
    return estimate_in_flight(view, now) >= view.reported_limit


def get_freshness(view: TargetView, now: float) -> float:
    """Return the weight of a target's last load report, from 1 when it arrives to 0."""
    return max(0.0, 1.0 - (now - view.reported_at) / REPORT_LIFETIME_SECONDS)


def estimate_in_flight(view: TargetView, now: float) -> float:
    """Return the estimated number of requests that a target runs or queues now.

    The weight of a load report decreases linearly with its age.
    """
    reported = (view.reported_in_flight + view.reported_queued) * get_freshness(view, now)
    return max(view.own_in_flight, reported + view.sent_since_report)
