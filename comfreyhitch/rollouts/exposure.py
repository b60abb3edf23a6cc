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

    request_share: float
    fleet_requests: float


EXPOSURE_LIMITS_BY_STAGE = {
    Stage.CANARY: ExposureLimit(request_share=0.05, fleet_requests=12.0),
    Stage.WIDER: ExposureLimit(request_share=0.06, fleet_requests=20.0),
}


@dataclass(slots=True)
class ExposureCounter:
    """Count the own requests to a service during one rollout."""

    requests: int = 0
    new_version_requests: int = 0
    # Draws the moment of a small part, so that daemons do not all use theirs at once.
    jitter: float = 0.0

    @classmethod
    def from_random(cls, random: Random) -> "ExposureCounter":
        """Return an empty counter."""
        return cls(jitter=random.random())


def may_send_to_new_version(
    counter: ExposureCounter, stage: Stage, daemon_count: int, random: Random
) -> bool:
    """Return whether the next request may go to the new version."""
    if stage >= Stage.FULL:
        return True
    if stage is Stage.RAMP:
        return random.random() < RAMP_SHARE
    limit = EXPOSURE_LIMITS_BY_STAGE[stage]
    allowed = limit.request_share * counter.requests + limit.fleet_requests / max(1, daemon_count)
    return counter.new_version_requests + counter.jitter < allowed
