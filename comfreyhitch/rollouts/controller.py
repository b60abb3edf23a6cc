"""Shift traffic between versions, veto regressed versions, and publish evidence."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact, merge_facts
from comfreyhitch.rollouts.analysis import EvidenceAnalysis, analyze_evidence
from comfreyhitch.rollouts.evidence import (
    RETAINED_WINDOWS,
    WINDOW_SECONDS,
    EvidenceLog,
    get_window,
    get_window_evidence,
)
from comfreyhitch.rollouts.models import (
    Evidence,
    RolloutPhase,
    RolloutStatus,
    make_evidence_record,
)
from comfreyhitch.rollouts.schedule import (
    get_active_freeze_start,
    get_new_version_share,
    get_supported_stage,
    is_under_analysis,
)
from comfreyhitch.sections.models import RolloutPlan, ServicePolicy
from comfreyhitch.utils.hashing import rank_by_rendezvous
from comfreyhitch.wire.codec import encode
from comfreyhitch.wire.generated.ttypes import CompletionRecord, VetoRecord

logger = logging.getLogger(__name__)

EVIDENCE_LIFETIME = timedelta(seconds=WINDOW_SECONDS * RETAINED_WINDOWS)
# Each daemon of a service sends its evidence to at most this many analyzers, whatever the
# size of the service.
MAX_ANALYZERS = 8
OUTCOME_LIFETIME = timedelta(days=7)


@dataclass(slots=True)
class RolloutController:
    """Hold the state and dependencies of the rollout loop of one daemon."""

    blackboard: Blackboard
    store: FactStore
    evidence: EvidenceLog
    # Sends facts to the analyzers of the rollout with the given id.
    send_to_analyzers: Callable[[str, list[StoredFact]], None]
    last_published_window_by_rollout: dict[str, int] = field(default_factory=dict)


def run_rollouts(controller: RolloutController) -> None:
    """Recompute all services' traffic shares, and analyze the rollout of the daemon's service."""
    blackboard = controller.blackboard
    now = blackboard.clock.now()
    for policy in blackboard.services_by_name.values():
        plan = policy.rollout
        if plan is not None and policy.name == blackboard.own_member.service:
            _run_own_rollout(controller, plan, now)
        _apply_shares(blackboard, policy, now)
    _remove_expired_evidence(blackboard, get_window(blackboard.clock))
    for service in blackboard.version_shares_by_service.keys() - blackboard.services_by_name.keys():
        del blackboard.version_shares_by_service[service]


def publish_veto(store: FactStore, plan: RolloutPlan, reason: str, now: datetime) -> None:
    """Publish a veto, which permanently takes all traffic from the new version."""
    record = VetoRecord(plan.rollout_id, reason, now.timestamp())
    fact = StoredFact(
        FactKind.VETO, plan.rollout_id, 1, encode(record), plan.finish_by + OUTCOME_LIFETIME
    )
    merge_facts(store, [fact])


def publish_completion(store: FactStore, plan: RolloutPlan, now: datetime) -> None:
    """Publish a completion, which gives the new version all traffic.

    The caller first records in the store that the rollout is done.
    """
    record = CompletionRecord(plan.rollout_id, now.timestamp())
    fact = StoredFact(
        FactKind.COMPLETION, plan.rollout_id, 1, encode(record), plan.finish_by + OUTCOME_LIFETIME
    )
    merge_facts(store, [fact])


def collect_evidence(controller: RolloutController, rollout_id: str) -> list[Evidence]:
    """Return the evidence that daemons published, and this daemon's for the current window."""
    blackboard = controller.blackboard
    window = get_window(blackboard.clock)
    own_address = blackboard.own_member.address
    # The own current window may have been published in part.
    published = [
        item
        for item in blackboard.evidence_by_rollout.get(rollout_id, {}).values()
        if (item.window, item.address) != (window, own_address)
    ]
    current = get_window_evidence(
        controller.evidence, window, rollout_id, blackboard.own_member.version, own_address
    )
    return published if current is None else [*published, current]


def _run_own_rollout(controller: RolloutController, plan: RolloutPlan, now: datetime) -> None:
    blackboard = controller.blackboard
    has_ended = (
        plan.rollout_id in blackboard.vetoes_by_rollout
        or plan.rollout_id in blackboard.completed_at_by_rollout
    )
    if has_ended or now < plan.starts_at:
        return
    publish_evidence(controller, plan.rollout_id)
    if not is_under_analysis(plan, now) or not is_analyzer(blackboard, plan.rollout_id):
        return
    analysis = analyze_evidence(collect_evidence(controller, plan.rollout_id), plan.to_version)
    if analysis.regression is not None:
        publish_veto(controller.store, plan, analysis.regression, now)
    else:
        _advance_stage(controller, plan, analysis)


def choose_analyzers(blackboard: Blackboard, rollout_id: str) -> list[str]:
    """Return the addresses of the analyzers of a rollout of the daemon's service.

    Analyzers are the daemons that receive the evidence about a rollout and decide on a
    veto. Rendezvous hashing selects them, so that daemons with the same member list select
    the same analyzers.
    """
    addresses = {blackboard.own_member.address}
    for member in blackboard.members_by_address.values():
        if member.service == blackboard.own_member.service and member.is_reachable:
            addresses.add(member.address)
    return rank_by_rendezvous(f"judge {rollout_id}", addresses)[:MAX_ANALYZERS]


def is_analyzer(blackboard: Blackboard, rollout_id: str) -> bool:
    """Return whether this daemon is one of the analyzers of a rollout."""
    return blackboard.own_member.address in choose_analyzers(blackboard, rollout_id)


def publish_evidence(
    controller: RolloutController, rollout_id: str, *, includes_current: bool = False
) -> None:
    """Send the evidence of the windows completed since the last call to a rollout's analyzers.

    With `includes_current`, the evidence so far of the current window is sent as well.
    """
    blackboard = controller.blackboard
    own = blackboard.own_member
    current = get_window(blackboard.clock)
    since = controller.last_published_window_by_rollout.get(rollout_id, current - 2)
    facts = []
    for window in range(since + 1, current + includes_current):
        evidence = get_window_evidence(
            controller.evidence, window, rollout_id, own.version, own.address
        )
        if evidence is not None:
            facts.extend(_make_evidence_facts(blackboard, evidence))
    controller.last_published_window_by_rollout[rollout_id] = current - 1
    if facts:
        merge_facts(controller.store, facts)
        controller.send_to_analyzers(rollout_id, facts)


def _make_evidence_facts(blackboard: Blackboard, evidence: Evidence) -> list[StoredFact]:
    """Return one fact per route, so that each fact fits into a datagram."""
    expires_at = blackboard.clock.now() + EVIDENCE_LIFETIME
    facts = []
    for route, counts in evidence.counts_by_route.items():
        part = replace(evidence, counts_by_route={route: counts})
        key = f"{evidence.rollout_id}@{evidence.address}@{evidence.window}@{route}"
        value = encode(make_evidence_record(part))
        # The counts of a window only grow, so later evidence about it has a higher version.
        facts.append(StoredFact(FactKind.EVIDENCE, key, counts.requests, value, expires_at))
    return facts


def _advance_stage(
    controller: RolloutController, plan: RolloutPlan, analysis: EvidenceAnalysis
) -> None:
    if analysis.is_suspicious:
        return
    stage = get_supported_stage(analysis.requests)
    if stage <= controller.blackboard.stages_by_rollout.get(plan.rollout_id, 0):
        return
    expires_at = plan.finish_by + OUTCOME_LIFETIME
    fact = StoredFact(FactKind.STAGE, plan.rollout_id, stage, b"", expires_at)
    merge_facts(controller.store, [fact])


def _apply_shares(blackboard: Blackboard, policy: ServicePolicy, now: datetime) -> None:
    plan = policy.rollout
    if plan is None:
        if policy.version is None:
            blackboard.version_shares_by_service.pop(policy.name, None)
        else:
            blackboard.version_shares_by_service[policy.name] = {policy.version: 1.0}
        return
    share = get_new_version_share(
        plan,
        now,
        stage=blackboard.stages_by_rollout.get(plan.rollout_id, 0),
        is_vetoed=plan.rollout_id in blackboard.vetoes_by_rollout,
        is_completed=plan.rollout_id in blackboard.completed_at_by_rollout,
        freezes=blackboard.freezes,
    )
    blackboard.version_shares_by_service[policy.name] = {
        plan.from_version: 1.0 - share,
        plan.to_version: share,
    }
    status = _make_status(blackboard, plan, share, now)
    blackboard.rollout_statuses_by_id[plan.rollout_id] = status


def _make_status(
    blackboard: Blackboard, plan: RolloutPlan, share: float, now: datetime
) -> RolloutStatus:
    phase, reason = _get_phase(blackboard, plan, now)
    return RolloutStatus(
        plan.rollout_id, plan.service, plan.to_version, phase, round(share, 3), reason, now
    )


def _get_phase(
    blackboard: Blackboard, plan: RolloutPlan, now: datetime
) -> tuple[RolloutPhase, str]:
    if plan.rollout_id in blackboard.completed_at_by_rollout:
        return RolloutPhase.DONE, "the new version was as good as the old one"
    veto = blackboard.vetoes_by_rollout.get(plan.rollout_id)
    if veto is not None:
        return RolloutPhase.ROLLED_BACK, veto.reason
    if now < plan.starts_at:
        return RolloutPhase.PENDING, f"starts at {plan.starts_at.isoformat()}"
    if get_active_freeze_start(blackboard.freezes, now) is not None:
        return RolloutPhase.FROZEN, "a change freeze is in force"
    return RolloutPhase.IN_PROGRESS, f"finishes by {plan.finish_by.isoformat()}"


def _remove_expired_evidence(blackboard: Blackboard, current_window: int) -> None:
    for rollout_id, evidence_by_source in list(blackboard.evidence_by_rollout.items()):
        for source in [
            key for key in evidence_by_source if key[1] <= current_window - RETAINED_WINDOWS
        ]:
            del evidence_by_source[source]
        if not evidence_by_source:
            del blackboard.evidence_by_rollout[rollout_id]
