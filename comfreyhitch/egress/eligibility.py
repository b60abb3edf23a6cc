"""Determine which targets are eligible for requests to a service."""

from collections import Counter, defaultdict

from comfreyhitch.core.blackboard import Blackboard, get_version_refusal_reason
from comfreyhitch.documents.models import ServiceVersion
from comfreyhitch.egress.models import Candidate
from comfreyhitch.membership.models import Member, MemberStatus
from comfreyhitch.rollouts.exposure import select_trial_targets
from comfreyhitch.rollouts.stages import Stage
from comfreyhitch.utils.hashing import rank_by_rendezvous

# With more candidates per service, each gets so few requests that its last load report is too old
# to be of use, and the load views need more memory.
MAX_TRACKED_TARGETS = 48


def refresh_candidates(blackboard: Blackboard) -> None:
    """Recompute the candidates of each service from the members and the configuration."""
    candidates_by_service: dict[str, list[Candidate]] = defaultdict(list)
    for member in blackboard.members_by_address.values():
        if is_eligible(blackboard, member):
            is_suspect = member.status is MemberStatus.SUSPECT
            candidate = Candidate(
                member.address, member.zone, member.version, member.slots, is_suspect
            )
            candidates_by_service[member.service].append(candidate)
    blackboard.target_counts_by_version = Counter(
        ServiceVersion(service, item.version)
        for service, candidates in candidates_by_service.items()
        for item in candidates
    )
    for service, candidates in candidates_by_service.items():
        if len(candidates) > MAX_TRACKED_TARGETS:
            candidates_by_service[service] = _select_tracked(blackboard, service, candidates)
    blackboard.candidates_by_service = dict(candidates_by_service)
    _remove_unused_views(blackboard)


def is_eligible(blackboard: Blackboard, member: Member) -> bool:
    """Return whether a member's target may get new requests."""
    if not member.service or member.draining or not member.is_reachable:
        return False
    if member.zone in blackboard.zones_out:
        return False
    return get_version_refusal_reason(blackboard, member.service, member.version) is None


def _select_tracked(
    blackboard: Blackboard, service: str, candidates: list[Candidate]
) -> list[Candidate]:
    """Return a part of the candidates, with the trial targets of a rollout, which all use."""
    candidates_by_address = {item.address: item for item in candidates}
    ranked = rank_by_rendezvous(blackboard.own_member.address, candidates_by_address)
    tracked = dict.fromkeys(ranked[:MAX_TRACKED_TARGETS])
    active = blackboard.active_rollouts_by_service.get(service)
    if active is not None:
        new = [item for item in candidates if item.version == active.to_version]
        trial_targets = select_trial_targets(new, Stage.CANARY, active.rollout_id)
        tracked.update(dict.fromkeys(item.address for item in trial_targets))
    return [candidates_by_address[address] for address in tracked]


def _remove_unused_views(blackboard: Blackboard) -> None:
    unknown = blackboard.views_by_address.keys() - blackboard.members_by_address.keys()
    for address in unknown:
        if blackboard.views_by_address[address].own_in_flight == 0:
            del blackboard.views_by_address[address]
