"""Execute the rollout orders that operators put into the store."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from comfreyhitch.core.blackboard import ActiveRollout, Blackboard
from comfreyhitch.documents.models import RolloutOrder, RolloutState
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact, merge_facts
from comfreyhitch.rollouts.analysis import (
    EvidenceAnalysis,
    StageEvidence,
    analyze_evidence,
    analyze_stage,
)
from comfreyhitch.rollouts.controller import (
    OUTCOME_LIFETIME,
    RolloutController,
    collect_evidence,
    is_analyzer,
    publish_evidence,
)
from comfreyhitch.rollouts.evidence import get_window
from comfreyhitch.rollouts.models import Evidence
from comfreyhitch.rollouts.stages import (
    Stage,
    get_evidence_stage,
    get_next_stage,
    get_regression_thresholds,
    has_lost_proof,
)
from comfreyhitch.wire.codec import encode
from comfreyhitch.wire.generated.ttypes import CompletionRecord, VetoRecord

logger = logging.getLogger(__name__)

# A deadline fact has no value. It expires this long after the deadline, which is derived from
# its expiry.
DEADLINE_RETENTION = timedelta(minutes=2)


@dataclass(slots=True)
class RolloutOrderController:
    """Hold the state of applying rollout orders.

    `full_traffic_since_by_rollout` holds when this daemon first saw each rollout in a stage
    in which the new version gets all traffic, `first_window_by_stage` in which evidence window
    it first saw each rollout in each stage.
    """

    rollouts: RolloutController
    refresh_candidates: Callable[[], None]
    full_traffic_since_by_rollout: dict[str, datetime] = field(default_factory=dict)
    first_window_by_stage: dict[tuple[str, Stage], int] = field(default_factory=dict)


def run_rollout_orders(controller: RolloutOrderController) -> None:
    """Apply all rollout orders, and analyze the rollout of the daemon's service."""
    blackboard = controller.rollouts.blackboard
    active = {
        order.service: _apply_order(controller, order)
        for order in list(blackboard.rollout_orders_by_service.values())
    }
    if _summarize(active) != _summarize(blackboard.active_rollouts_by_service):
        _log_changes(blackboard, active)
        blackboard.active_rollouts_by_service = active
        controller.refresh_candidates()


def get_deadline(store: FactStore, order: RolloutOrder) -> datetime:
    """Return when a rollout has to end; the first daemon that asks sets it for the fleet."""
    stored = store.facts_by_id.get((FactKind.DEADLINE, order.rollout_id))
    if stored is None:
        expires_at = store.clock.now() + order.duration + DEADLINE_RETENTION
        stored = StoredFact(FactKind.DEADLINE, order.rollout_id, 1, b"", expires_at)
        merge_facts(store, [stored])
    return stored.expires_at - DEADLINE_RETENTION


def has_succeeded(blackboard: Blackboard, order: RolloutOrder) -> bool:
    """Return whether a rollout has succeeded, though the store may have lost that outcome."""
    return order.rollout_id in blackboard.completed_at_by_rollout


def publish_order_completion(store: FactStore, order: RolloutOrder) -> None:
    """Publish that the store holds the success of a rollout."""
    now = store.clock.now()
    record = CompletionRecord(order.rollout_id, now.timestamp())
    fact = StoredFact(
        FactKind.COMPLETION, order.rollout_id, 1, encode(record), now + OUTCOME_LIFETIME
    )
    merge_facts(store, [fact])


def publish_order_veto(store: FactStore, order: RolloutOrder, reason: str) -> None:
    """Publish a veto, which permanently takes all traffic from the new version."""
    now = store.clock.now()
    record = VetoRecord(order.rollout_id, reason, now.timestamp())
    fact = StoredFact(FactKind.VETO, order.rollout_id, 1, encode(record), now + OUTCOME_LIFETIME)
    merge_facts(store, [fact])


def _apply_order(controller: RolloutOrderController, order: RolloutOrder) -> ActiveRollout:
    rollouts = controller.rollouts
    blackboard = rollouts.blackboard
    veto = blackboard.vetoes_by_rollout.get(order.rollout_id)
    if order.state is RolloutState.ROLLED_BACK:
        reason = "the store says that it was rolled back"
        return ActiveRollout(order.rollout_id, order.to_version, Stage.CANARY, veto_reason=reason)
    if order.state is RolloutState.SUCCEEDED or has_succeeded(blackboard, order):
        return ActiveRollout(order.rollout_id, order.to_version, Stage.PROVEN, is_done=True)
    if veto is not None:
        return ActiveRollout(
            order.rollout_id, order.to_version, Stage.CANARY, veto_reason=veto.reason
        )
    if order.service == blackboard.own_member.service:
        _analyze(controller, order)
    stage = _get_current_stage(blackboard, order)
    if stage >= Stage.FULL:
        controller.full_traffic_since_by_rollout.setdefault(
            order.rollout_id, blackboard.clock.now()
        )
    return ActiveRollout(order.rollout_id, order.to_version, stage)


def _analyze(controller: RolloutOrderController, order: RolloutOrder) -> None:
    rollouts = controller.rollouts
    blackboard = rollouts.blackboard
    stage = _get_current_stage(blackboard, order)
    # With all traffic at the new version, a window would be long over before it is complete.
    includes_current = stage >= Stage.FULL and blackboard.own_member.version == order.to_version
    publish_evidence(rollouts, order.rollout_id, includes_current=includes_current)
    if not is_analyzer(blackboard, order.rollout_id):
        return
    evidence = collect_evidence(rollouts, order.rollout_id)
    analysis = analyze_evidence(evidence, order.to_version, get_regression_thresholds(stage))
    if analysis.regression is not None:
        publish_order_veto(rollouts.store, order, analysis.regression)
        return
    stage_evidence = _analyze_stage(controller, order, stage, evidence)
    if has_lost_proof(stage, stage_evidence):
        reason = (
            f"{stage_evidence.failures} of {stage_evidence.requests} requests failed under load"
        )
        publish_order_veto(rollouts.store, order, reason)
        return
    deadline = get_deadline(rollouts.store, order)
    elapsed = order.duration - (deadline - blackboard.clock.now())
    next_stage = get_next_stage(stage, elapsed, order.duration, analysis, stage_evidence)
    if next_stage is stage:
        return
    _log_next_stage(order, next_stage, analysis, stage_evidence)
    fact = StoredFact(
        FactKind.STAGE, order.rollout_id, int(next_stage), b"", deadline + OUTCOME_LIFETIME
    )
    merge_facts(rollouts.store, [fact])


def _analyze_stage(
    controller: RolloutOrderController, order: RolloutOrder, stage: Stage, evidence: list[Evidence]
) -> StageEvidence:
    """Return what the new version did since the stage from which evidence counts."""
    window = get_window(controller.rollouts.blackboard.clock)
    controller.first_window_by_stage.setdefault((order.rollout_id, stage), window)
    evidence_stage = get_evidence_stage(stage)
    first_window = controller.first_window_by_stage.get((order.rollout_id, evidence_stage), window)
    return analyze_stage(evidence, order.to_version, first_window)


def _log_next_stage(
    order: RolloutOrder,
    next_stage: Stage,
    analysis: EvidenceAnalysis,
    stage_evidence: StageEvidence,
) -> None:
    logger.info(
        "rollout advances",
        extra={
            "rollout": order.rollout_id,
            "stage": next_stage.name.lower(),
            "requests": analysis.requests,
            "requests_under_load": stage_evidence.requests,
            "failures_under_load": stage_evidence.failures,
            "expected_failure_share": round(stage_evidence.expected_share, 4),
        },
    )


def _get_current_stage(blackboard: Blackboard, order: RolloutOrder) -> Stage:
    published_stage = blackboard.stages_by_rollout.get(order.rollout_id, 0)
    return Stage(min(max(published_stage, Stage.CANARY), Stage.PROVEN))


def _summarize(active: dict[str, ActiveRollout]) -> dict[str, tuple]:
    return {
        service: (item.rollout_id, item.stage, item.veto_reason, item.is_done)
        for service, item in active.items()
    }


def _log_changes(blackboard: Blackboard, active: dict[str, ActiveRollout]) -> None:
    for service, item in active.items():
        if blackboard.active_rollouts_by_service.get(service) == item:
            continue
        logger.info(
            "rollout's stage",
            extra={
                "service": service,
                "rollout": item.rollout_id,
                "version": item.to_version,
                "stage": Stage(item.stage).name.lower(),
                "veto": item.veto_reason,
                "done": item.is_done,
            },
        )
