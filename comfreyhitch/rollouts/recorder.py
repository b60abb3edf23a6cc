"""Decide how a rollout ends, and record exactly one outcome in the store."""

import logging
from dataclasses import dataclass, field, replace
from datetime import datetime, timedelta

from result import Err, Ok

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.replication.facts import FactStore
from comfreyhitch.rollouts.controller import publish_completion, publish_veto
from comfreyhitch.rollouts.models import TERMINAL_PHASES, RolloutPhase
from comfreyhitch.rollouts.schedule import FINAL_STAGE, get_active_freeze_start
from comfreyhitch.sections.acceptance import dump_section_status, parse_section_status
from comfreyhitch.sections.models import RolloutPlan, Section
from comfreyhitch.sections.storage import get_section, update_section_status
from comfreyhitch.utils.hashing import rank_by_rendezvous

logger = logging.getLogger(__name__)

MAX_RECORDERS = 2
SECOND_RECORDER_DELAY = timedelta(seconds=3)
RETRY_INTERVAL = timedelta(seconds=2)


@dataclass(slots=True)
class OutcomeRecorder:
    """Hold which outcomes were recorded, and when the next write attempt is due."""

    blackboard: Blackboard
    store: FactStore
    client: PlatformClient | None
    recorded: set[str] = field(default_factory=set)
    reported_in_progress: set[str] = field(default_factory=set)
    next_attempt_at_by_rollout: dict[str, datetime] = field(default_factory=dict)


def run_outcome_recorder(recorder: OutcomeRecorder) -> None:
    """Record the progress and outcome of the rollouts for which this daemon is a recorder."""
    blackboard = recorder.blackboard
    now = blackboard.clock.now()
    for section in list(blackboard.sections_by_name.values()):
        for service in section.services:
            plan = service.rollout
            if plan is not None and plan.rollout_id not in recorder.recorded:
                _process_plan(recorder, section, plan, now)


def _process_plan(
    recorder: OutcomeRecorder, section: Section, plan: RolloutPlan, now: datetime
) -> None:
    rank = _get_recorder_rank(recorder.blackboard, plan)
    if rank >= MAX_RECORDERS or now < plan.starts_at:
        return
    if now < recorder.next_attempt_at_by_rollout.get(plan.rollout_id, now):
        return
    _veto_if_due(recorder, plan, now, rank)
    outcome = _get_outcome(recorder.blackboard, plan, now)
    if outcome is None:
        if plan.rollout_id not in recorder.reported_in_progress and rank == 0:
            phase = RolloutPhase.IN_PROGRESS
            if _write_phase(recorder, section, plan, phase, "the rollout has begun", now):
                recorder.reported_in_progress.add(plan.rollout_id)
        return
    phase, reason, due_at = outcome
    if rank > 0 and now < due_at + SECOND_RECORDER_DELAY:
        return
    if _write_phase(recorder, section, plan, phase, reason, now):
        recorder.recorded.add(plan.rollout_id)


def _get_recorder_rank(blackboard: Blackboard, plan: RolloutPlan) -> int:
    addresses = [
        member.address
        for member in blackboard.members_by_address.values()
        if member.is_reachable and not member.draining
    ]
    ranked = rank_by_rendezvous(f"recorder {plan.rollout_id}", addresses)
    own = blackboard.own_member.address
    return ranked.index(own) if own in ranked else len(ranked)


def _veto_if_due(recorder: OutcomeRecorder, plan: RolloutPlan, now: datetime, rank: int) -> None:
    blackboard = recorder.blackboard
    rollout_id = plan.rollout_id
    if (
        rollout_id in blackboard.vetoes_by_rollout
        or rollout_id in blackboard.completed_at_by_rollout
    ):
        return
    takeover_delay = SECOND_RECORDER_DELAY * rank
    frozen_since = get_active_freeze_start(blackboard.freezes, now)
    if frozen_since is not None and plan.starts_at < frozen_since <= now - takeover_delay:
        publish_veto(recorder.store, plan, "a change freeze began before it was done", now)
    elif now >= plan.finish_by + takeover_delay and not _is_proven(blackboard, plan):
        publish_veto(recorder.store, plan, "too few requests by its deadline to prove it good", now)


def _is_proven(blackboard: Blackboard, plan: RolloutPlan) -> bool:
    return blackboard.stages_by_rollout.get(plan.rollout_id, 0) >= FINAL_STAGE


def _get_outcome(
    blackboard: Blackboard, plan: RolloutPlan, now: datetime
) -> tuple[RolloutPhase, str, datetime] | None:
    if plan.rollout_id in blackboard.completed_at_by_rollout:
        return RolloutPhase.DONE, "the new version was as good as the old one", plan.finish_by
    veto = blackboard.vetoes_by_rollout.get(plan.rollout_id)
    if veto is not None:
        return RolloutPhase.ROLLED_BACK, veto.reason, veto.vetoed_at
    if now >= plan.finish_by:
        return RolloutPhase.DONE, "the new version was as good as the old one", plan.finish_by
    return None


def _write_phase(
    recorder: OutcomeRecorder,
    section: Section,
    plan: RolloutPlan,
    phase: RolloutPhase,
    reason: str,
    now: datetime,
) -> bool:
    """Write a phase unless the store holds an outcome, and publish the recorded outcome.

    Return whether the store holds the phase or an outcome. Without a client, publish the
    outcome without recording it.
    """
    if recorder.client is None:
        _publish_outcome(recorder, plan, phase.value, reason, now)
        return True
    recorder.next_attempt_at_by_rollout[plan.rollout_id] = now + RETRY_INTERVAL
    match get_section(recorder.client, section.name):
        case Err(error):
            logger.warning("rollout outcome was not recorded", extra={"error": str(error)})
            return False
        case Ok(item):
            pass
    status = parse_section_status(item)
    stored_entry = status.rollouts.get(plan.rollout_id)
    if stored_entry is not None and (
        stored_entry.get("phase") in TERMINAL_PHASES or stored_entry.get("phase") == phase
    ):
        _publish_outcome(
            recorder, plan, stored_entry["phase"], str(stored_entry.get("reason", "")), now
        )
        return True
    entry = {
        "phase": phase.value,
        "service": plan.service,
        "to": plan.to_version,
        "reason": reason,
        "at": now.isoformat(),
    }
    status.rollouts[plan.rollout_id] = entry
    updated = replace(item, status=dump_section_status(status))
    if update_section_status(recorder.client, updated).is_err():
        # The write may have taken effect although its response was lost, or another recorder
        # may have written first. The next attempt reads the recorded phase.
        return False
    _publish_outcome(recorder, plan, phase.value, reason, now)
    return True


def _publish_outcome(
    recorder: OutcomeRecorder, plan: RolloutPlan, phase: str, reason: str, now: datetime
) -> None:
    logger.info("rollout phase was recorded", extra={"rollout": plan.rollout_id, "phase": phase})
    if phase == RolloutPhase.DONE:
        publish_completion(recorder.store, plan, now)
    elif phase == RolloutPhase.ROLLED_BACK:
        publish_veto(recorder.store, plan, reason, now)
