"""Choose the target for the next attempt of a request, taking rollouts into account."""

from collections.abc import Collection, Sequence

from comfreyhitch.core.blackboard import ActiveRollout
from comfreyhitch.documents.models import ServiceVersion
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.models import Candidate
from comfreyhitch.egress.state import Egress
from comfreyhitch.egress.views import get_or_create_view, is_full
from comfreyhitch.rollouts.exposure import (
    ExposureCounter,
    count_request,
    get_load_share,
    may_send_to_new_version,
    select_trial_targets,
)
from comfreyhitch.rollouts.shares import select_version_candidates
from comfreyhitch.rollouts.stages import Stage


def choose_for_call(
    egress: Egress, call: OutgoingCall, tried_addresses: Collection[str]
) -> Candidate | None:
    """Return a target for a call at an address not yet tried, or None if there is none."""
    objective_at = None
    if call.latency_objective_seconds is not None:
        objective_at = call.arrived_at + call.latency_objective_seconds
    return choose_candidate(egress, call.service, tried_addresses, objective_at)


def choose_candidate(
    egress: Egress,
    service: str,
    tried_addresses: Collection[str],
    objective_at: float | None = None,
) -> Candidate | None:
    """Return a target of a service at an address not yet tried, or None if there is none.

    `objective_at` is the end of the latency objective of the request in monotonic seconds. A target
    in another zone is chosen rather than one that is expected to answer after it.
    """
    blackboard = egress.blackboard
    candidates = blackboard.candidates_by_service.get(service, [])
    active = blackboard.active_rollouts_by_service.get(service)
    if active is not None:
        return _choose_during_rollout(egress, service, active, candidates, tried_addresses)
    shares = blackboard.version_shares_by_service.get(service)
    now = blackboard.clock.monotonic()
    if shares is None:
        objective_seconds = None if objective_at is None else objective_at - now
        return egress.select_target(candidates, tried_addresses, now, objective_seconds)
    drawn = select_version_candidates(candidates, shares, tried_addresses, egress.random)
    candidate = egress.select_target(drawn, tried_addresses, now)
    if candidate is None or not _is_full_new_version(egress, service, candidate, now):
        return candidate
    plan = blackboard.services_by_name[service].rollout
    if shares.get(plan.from_version, 0.0) == 0.0:
        return candidate
    old = [item for item in candidates if item.version == plan.from_version]
    return _find_with_free_slot(egress, old, tried_addresses, now) or candidate


def count_exposure(egress: Egress, service: str, version: str) -> None:
    """Count a request during a rollout, for the limit on requests to the new version."""
    active = egress.blackboard.active_rollouts_by_service.get(service)
    if active is None:
        return
    counter = _get_or_create_exposure(egress, active)
    stage = Stage(active.stage)
    count_request(counter, stage, is_new_version=version == active.to_version)


def end_trial(egress: Egress, service: str) -> None:
    """Send no more requests to the target under load, which has had its number."""
    active = egress.blackboard.active_rollouts_by_service.get(service)
    if active is not None:
        _get_or_create_exposure(egress, active).is_trial_over = True


def _choose_during_rollout(
    egress: Egress,
    service: str,
    active: ActiveRollout,
    candidates: Sequence[Candidate],
    tried_addresses: Collection[str],
) -> Candidate | None:
    now = egress.blackboard.clock.monotonic()
    new = [item for item in candidates if item.version == active.to_version]
    old = [item for item in candidates if item.version != active.to_version]
    if active.veto_reason is not None:
        return egress.select_target(old, tried_addresses, now)
    if active.is_done or not old:
        return egress.select_target(new, tried_addresses, now) or egress.select_target(
            old, tried_addresses, now
        )
    daemons = len(egress.blackboard.members_by_address)
    counter = _get_or_create_exposure(egress, active)
    stage = Stage(active.stage)
    target_count = egress.blackboard.target_counts_by_version.get(
        ServiceVersion(service, active.to_version), len(new)
    )
    load_share = get_load_share(target_count)
    if may_send_to_new_version(counter, stage, daemons, egress.random, load_share):
        trial_targets = select_trial_targets(new, stage, active.rollout_id)
        candidate = egress.select_target(trial_targets, tried_addresses, now)
        if candidate is not None:
            return candidate
    return egress.select_target(old, tried_addresses, now)


def _get_or_create_exposure(egress: Egress, active: ActiveRollout) -> ExposureCounter:
    counter = egress.exposures_by_rollout.get(active.rollout_id)
    if counter is None:
        counter = ExposureCounter.from_random(egress.random)
        egress.exposures_by_rollout[active.rollout_id] = counter
    return counter


def _is_full_new_version(egress: Egress, service: str, candidate: Candidate, now: float) -> bool:
    policy = egress.blackboard.services_by_name.get(service)
    plan = None if policy is None else policy.rollout
    if plan is None or candidate.version != plan.to_version:
        return False
    return is_full(get_or_create_view(egress.blackboard.views_by_address, candidate.address), now)


def _find_with_free_slot(
    egress: Egress, candidates: Sequence[Candidate], tried_addresses: Collection[str], now: float
) -> Candidate | None:
    """Select a target, and return it if it has free capacity, else None."""
    candidate = egress.select_target(candidates, tried_addresses, now)
    views_by_address = egress.blackboard.views_by_address
    if candidate is None or is_full(get_or_create_view(views_by_address, candidate.address), now):
        return None
    return candidate
