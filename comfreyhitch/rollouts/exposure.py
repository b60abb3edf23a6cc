"""Bound how many requests a version gets before it is known to be good.

Each daemon keeps to its part: a share of its own requests to the service, and
its part of a small number for all daemons. The sum over all daemons is then
bounded without any message between them.
"""

from dataclasses import dataclass
from random import Random

from comfreyhitch.rollouts.stages import Stage

RAMP_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class ExposureLimit:
    """Hold the share of the own requests, and the number for all daemons together."""

    ratio: float
    extra: float


EXPOSURE_LIMITS_BY_STAGE = {
    Stage.CANARY: ExposureLimit(ratio=0.05, extra=12.0),
    Stage.WIDER: ExposureLimit(ratio=0.06, extra=20.0),
}


@dataclass(slots=True)
class ExposureCount:
    """Count the own requests to a service during one rollout."""

    requests: int = 0
    exposed: int = 0
    # Draws the moment of a small part, so that daemons do not all use theirs at once.
    jitter: float = 0.0

    @classmethod
    def from_random(cls, random: Random) -> "ExposureCount":
        """Return an empty count."""
        return cls(jitter=random.random())


def may_expose(count: ExposureCount, stage: Stage, daemons: int, random: Random) -> bool:
    """Return whether the next request may go to the new version."""
    if stage >= Stage.FULL:
        return True
    if stage is Stage.RAMP:
        return random.random() < RAMP_SHARE
    rule = EXPOSURE_LIMITS_BY_STAGE[stage]
    allowed = rule.ratio * count.requests + rule.extra / max(1, daemons)
    return count.exposed + count.jitter < allowed
