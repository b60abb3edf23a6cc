"""Limit how many requests a new version gets in the stages before it has all traffic.

In the first two stages, each daemon limits its requests to the new version to a share of the
requests it sends to the service, plus an equal part of a small number for the whole fleet.
This bounds the sum over all daemons without any coordination between them. In the ramp stage,
a fixed share of the requests is drawn at random for the new version.
"""

from dataclasses import dataclass
from random import Random

from comfreyhitch.rollouts.stages import Stage

RAMP_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class ExposureLimit:
    """Hold the limit on requests to the new version in one stage.

    `request_share` applies to each daemon's own requests; `fleet_requests` is an additional
    number that all daemons divide among themselves.
    """

    request_share: float
    fleet_requests: float


EXPOSURE_LIMITS_BY_STAGE = {
    Stage.CANARY: ExposureLimit(request_share=0.05, fleet_requests=12.0),
    Stage.WIDER: ExposureLimit(request_share=0.06, fleet_requests=20.0),
}


@dataclass(slots=True)
class ExposureCounter:
    """Count this daemon's requests to a service during one rollout."""

    requests: int = 0
    new_version_requests: int = 0
    # Random fraction of a request that is added to the count. Without it, daemons with a small
    # limit would all send their first request to the new version at the same time.
    jitter: float = 0.0

    @classmethod
    def from_random(cls, random: Random) -> "ExposureCounter":
        """Return a counter that starts at zero, with random jitter."""
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
