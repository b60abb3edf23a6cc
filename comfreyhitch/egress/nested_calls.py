"""Recognize the calls that the target of this daemon makes while it runs a request.

All connections come from the same address and no header identifies such calls. Requests of other
callers arrive whether or not the target runs anything, nested calls only while it does.
"""

from dataclasses import dataclass, field
from math import exp

from comfreyhitch.core.target_activity import (
    IDLE_SHARE_SECONDS,
    TargetActivity,
    get_idle_seconds,
    get_idle_share,
)

# Expected arrivals while the target runs nothing, before the absence of such arrivals counts.
MIN_EXPECTED_ARRIVALS = 5.0
# Share of the expected arrivals that may be seen: the target may go on with a request that its
# daemon has given up.
MAX_SEEN_SHARE = 0.05
# Evidence beyond this replaces older evidence, so that a changed route is learned again.
MAX_EXPECTED_ARRIVALS = 60.0
EVIDENCE_SECONDS = 600.0
# After its start, a daemon may not know of requests that its target still runs. Their deadlines
# are at most 4.6 s.
WARM_UP_SECONDS = 5.0
MAX_ROUTES = 256


@dataclass(slots=True)
class RouteEvidence:
    """Hold the arrivals of one route while the target ran nothing, as expected and as seen.

    `idle_seconds` is how long the target had run nothing at the latest arrival.
    """

    expected: float = 0.0
    seen: float = 0.0
    updated_at: float = 0.0
    idle_seconds: float = 0.0


@dataclass(slots=True)
class NestedCallDetector:
    """Hold the evidence on the routes seen last; times are monotonic seconds."""

    activity: TargetActivity
    started_at: float
    evidence_by_route: dict[tuple[str, str], RouteEvidence] = field(default_factory=dict)


def observe_arrival(detector: NestedCallDetector, service: str, route: str, now: float) -> bool:
    """Record the arrival of a request, and return whether it is a nested call.

    A request is not treated as nested while the target runs nothing, or until its route is known.
    """
    if now - detector.started_at < WARM_UP_SECONDS:
        return False
    key = (service, route)
    evidence = detector.evidence_by_route.pop(key, None) or RouteEvidence(updated_at=now)
    if len(detector.evidence_by_route) >= MAX_ROUTES:
        del detector.evidence_by_route[next(iter(detector.evidence_by_route))]
    detector.evidence_by_route[key] = evidence
    is_idle = detector.activity.running == 0
    _add_evidence(evidence, _estimate_idle_share(detector.activity, evidence, now), is_idle, now)
    evidence.idle_seconds = get_idle_seconds(detector.activity, now)
    return not is_idle and is_nested_route(evidence)


def is_nested_route(evidence: RouteEvidence) -> bool:
    """Return whether all requests of a route are nested calls by the evidence."""
    return (
        evidence.expected >= MIN_EXPECTED_ARRIVALS
        and evidence.seen <= MAX_SEEN_SHARE * evidence.expected
    )


def _estimate_idle_share(activity: TargetActivity, evidence: RouteEvidence, now: float) -> float:
    """Return how likely a request of another caller is to arrive while the target runs nothing.

    This is the idle share since the latest arrival. An average over a longer time would be too
    high after a sudden rise of the load, and any route would look nested.
    """
    gap_seconds = now - evidence.updated_at
    if gap_seconds <= 0.0:
        return 0.0
    if gap_seconds > IDLE_SHARE_SECONDS:
        return get_idle_share(activity, now)
    return (get_idle_seconds(activity, now) - evidence.idle_seconds) / gap_seconds


def _add_evidence(evidence: RouteEvidence, idle_share: float, is_idle: bool, now: float) -> None:
    weight = exp(-max(0.0, now - evidence.updated_at) / EVIDENCE_SECONDS)
    evidence.expected = evidence.expected * weight + idle_share
    evidence.seen = evidence.seen * weight + is_idle
    evidence.updated_at = now
    if evidence.expected > MAX_EXPECTED_ARRIVALS:
        evidence.seen *= MAX_EXPECTED_ARRIVALS / evidence.expected
        evidence.expected = MAX_EXPECTED_ARRIVALS
