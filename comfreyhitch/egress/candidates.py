"""Find the target for the next try of a request."""

from collections.abc import Collection, Sequence

from comfreyhitch.egress.models import Candidate
from comfreyhitch.egress.state import Egress
from comfreyhitch.egress.views import get_view, is_full
from comfreyhitch.rollouts.shares import choose_version


def choose_candidate(egress: Egress, service: str, tried: Collection[str]) -> Candidate | None:
    """Return a target of a service that was not tried, or None if there is none."""
    blackboard = egress.blackboard
    candidates = blackboard.candidates_by_service.get(service, [])
    shares = blackboard.shares_by_service.get(service)
    now = blackboard.clock.monotonic()
    if shares is None:
        return egress.choose(candidates, tried, now)
    drawn = choose_version(candidates, shares, tried, egress.random)
    candidate = egress.choose(drawn, tried, now)
    if candidate is None or not _is_full_new_version(egress, service, candidate, now):
        return candidate
    return _find_old_version(egress, service, candidates, tried, now) or candidate


def _is_full_new_version(egress: Egress, service: str, candidate: Candidate, now: float) -> bool:
    policy = egress.blackboard.services_by_name.get(service)
    plan = None if policy is None else policy.rollout
    if plan is None or candidate.version != plan.to_version:
        return False
    return is_full(get_view(egress.blackboard.views_by_address, candidate.address), now)


def _find_old_version(
    egress: Egress,
    service: str,
    candidates: Sequence[Candidate],
    tried: Collection[str],
    now: float,
) -> Candidate | None:
    """Return a target of the old version with a place left."""
    plan = egress.blackboard.services_by_name[service].rollout
    old = [item for item in candidates if item.version == plan.from_version]
    other = egress.choose(old, tried, now)
    if other is None or is_full(get_view(egress.blackboard.views_by_address, other.address), now):
        return None
    return other
