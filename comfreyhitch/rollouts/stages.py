"""Stages of a rollout order as a function of elapsed time and evidence."""

from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

from comfreyhitch.rollouts.analysis import EvidenceAnalysis, RegressionThresholds, StageEvidence


class Stage(IntEnum):
    """Name how much traffic the new version gets; a rollout never returns to a lower stage."""

    CANARY = 0
    WIDER = 1
    RAMP = 2
    FULL = 3
    PROVEN = 4


@dataclass(frozen=True, slots=True)
class StageRequirement:
    """Hold when a stage may begin.

    `min_progress` is a share of the rollout's duration; `min_requests` counts requests to
    the new version, `min_stage_requests` those since the targets in use have borne their full
    load: a version may fail only under that.
    """

    min_progress: float
    min_requests: int
    min_stage_requests: int = 0


REQUIREMENTS_BY_STAGE = {
    Stage.WIDER: StageRequirement(min_progress=0.27, min_requests=6),
    Stage.RAMP: StageRequirement(min_progress=0.4, min_requests=10),
    Stage.FULL: StageRequirement(min_progress=0.91, min_requests=12, min_stage_requests=3),
    Stage.PROVEN: StageRequirement(min_progress=0.93, min_requests=14, min_stage_requests=3),
}
# Share of the duration after which the outcome is due, so that it is written in time.
OUTCOME_DUE_PROGRESS = 0.95
# By then a version that may succeed has all traffic; the rollback of any other is due.
ROLLBACK_DUE_PROGRESS = 0.93
# Share of the duration for which the new version has to have all traffic before the rollout
# succeeds, so that requests still running at the old version can finish.
MIN_FULL_TRAFFIC_SHARE = 0.03
# When the new version gets more traffic, weaker evidence is enough to report a regression.
LOW_TRAFFIC_THRESHOLDS = RegressionThresholds(
    alpha=1e-4, min_failing_windows=2, min_slow_windows=3, slow_alpha=1e-4
)
HIGH_TRAFFIC_THRESHOLDS = RegressionThresholds(
    alpha=1e-2, min_failing_windows=2, min_slow_windows=3, slow_alpha=1e-4
)


def get_next_stage(
    stage: Stage,
    elapsed: timedelta,
    duration: timedelta,
    analysis: EvidenceAnalysis,
    stage_evidence: StageEvidence,
) -> Stage:
    """Return the current stage, or the next one if elapsed time and evidence allow it.

    `stage_evidence` covers the time since the stage of `get_evidence_stage` has begun.
    """
    if stage is Stage.PROVEN or analysis.is_suspicious or analysis.regression is not None:
        return stage
    next_stage = Stage(stage + 1)
    if next_stage >= Stage.FULL and stage_evidence.is_doubtful:
        return stage
    requirement = REQUIREMENTS_BY_STAGE[next_stage]
    if (
        elapsed < duration * requirement.min_progress
        or analysis.requests < requirement.min_requests
        or stage_evidence.requests < requirement.min_stage_requests
    ):
        return stage
    return next_stage


def has_lost_proof(stage: Stage, stage_evidence: StageEvidence) -> bool:
    """Return whether evidence that came after a version was proven puts it in doubt."""
    return stage is Stage.PROVEN and stage_evidence.is_doubtful


def get_evidence_stage(stage: Stage) -> Stage:
    """Return the stage since whose beginning the evidence counts for the next stage.

    From `RAMP` on the targets in use bear the load that they will bear with all traffic.
    """
    return min(stage, Stage.RAMP)


def is_outcome_due(stage: Stage, elapsed: timedelta, duration: timedelta) -> bool:
    """Return whether the rollout has to succeed or be rolled back now."""
    progress = ROLLBACK_DUE_PROGRESS if stage < Stage.FULL else OUTCOME_DUE_PROGRESS
    return elapsed >= duration * progress


def is_successful(stage: Stage, full_traffic_duration: timedelta, duration: timedelta) -> bool:
    """Return whether the new version has had all traffic for long enough."""
    return stage is Stage.PROVEN and full_traffic_duration >= duration * MIN_FULL_TRAFFIC_SHARE


def get_regression_thresholds(stage: Stage) -> RegressionThresholds:
    """Return the thresholds for a regression at a stage."""
    return LOW_TRAFFIC_THRESHOLDS if stage < Stage.RAMP else HIGH_TRAFFIC_THRESHOLDS
