"""Stages of an ordered rollout as a function of time and evidence."""

from dataclasses import dataclass
from datetime import timedelta
from enum import IntEnum

from comfreyhitch.rollouts.judge import Judgement, Strictness


class Stage(IntEnum):
    """Name how much of the traffic the new version gets; a stage only goes up."""

    CANARY = 0
    WIDER = 1
    RAMP = 2
    FULL = 3
    PROVEN = 4


@dataclass(frozen=True, slots=True)
class StageRule:
    """Hold when a stage begins, as a part of the duration, and what it takes."""

    begins_at: float
    least_requests: int


STAGE_RULES = {
    Stage.WIDER: StageRule(begins_at=0.4, least_requests=6),
    Stage.RAMP: StageRule(begins_at=0.62, least_requests=10),
    Stage.FULL: StageRule(begins_at=0.78, least_requests=14),
    Stage.PROVEN: StageRule(begins_at=0.88, least_requests=16),
}
# The outcome is written this early, so that a slow store still takes it in time.
OUTCOME_AT = 0.9
# Requests that run at the old version end before it is given up.
FULL_FOR = 0.1
# Once a version gets much, a finding has to convince less.
STRICTNESS_WHILE_FEW = Strictness(alpha=1e-4, failing_windows=2, slow_windows=3)
STRICTNESS_WHILE_MANY = Strictness(alpha=1e-2, failing_windows=2, slow_windows=3)


def get_next_stage(
    stage: Stage, elapsed: timedelta, duration: timedelta, judgement: Judgement
) -> Stage:
    """Return the stage that time and evidence support, at most one further."""
    if stage is Stage.PROVEN or judgement.is_suspicious or judgement.finding is not None:
        return stage
    following = Stage(stage + 1)
    rule = STAGE_RULES[following]
    if elapsed < duration * rule.begins_at or judgement.requests < rule.least_requests:
        return stage
    return following


def is_outcome_due(elapsed: timedelta, duration: timedelta) -> bool:
    """Return whether the rollout has to end now, one way or the other."""
    return elapsed >= duration * OUTCOME_AT


def is_settled(stage: Stage, full_for: timedelta, duration: timedelta) -> bool:
    """Return whether the new version has had all traffic for long enough."""
    return stage is Stage.PROVEN and full_for >= duration * FULL_FOR


def get_strictness(stage: Stage) -> Strictness:
    """Return how much it takes for a finding at a stage."""
    return STRICTNESS_WHILE_FEW if stage < Stage.RAMP else STRICTNESS_WHILE_MANY
