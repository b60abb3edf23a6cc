"""Limit how many requests a new version gets until it has succeeded.

Each daemon limits its requests to the new version to a share of the requests it sends to the
service, plus an equal part of a small number for the whole fleet. This bounds the sum over all
daemons without any coordination between them, however many of the requests fail, and whatever the
evidence says. The limits leave room for the requests between the success and the deadline.

Before the new version has all traffic, its requests go to so few of its targets that each of them
bears the load that it will bear then: a version that fails only under load shows it early.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil
from random import Random

from comfreyhitch.egress.models import Candidate
from comfreyhitch.rollouts.stages import Stage
from comfreyhitch.utils.hashing import rank_by_rendezvous

# With a single target, trouble of its machine would count as trouble of the version.
MIN_TRIAL_TARGETS = 2
TRIAL_TARGET_SHARE = 0.04


@dataclass(frozen=True, slots=True)
class ExposureLimit:
    """Hold the limit on requests to the new version in one stage.

    `request_share` applies to each daemon's own requests since the order; `fleet_requests` is an
    additional number that all daemons divide among themselves.
    """

    request_share: float
    fleet_requests: float


EXPOSURE_LIMITS_BY_STAGE = {
    Stage.CANARY: ExposureLimit(request_share=0.01, fleet_requests=8.0),
    Stage.WIDER: ExposureLimit(request_share=0.01, fleet_requests=14.0),
    Stage.RAMP: ExposureLimit(request_share=0.01, fleet_requests=36.0),
    Stage.FULL: ExposureLimit(request_share=0.05, fleet_requests=40.0),
    Stage.PROVEN: ExposureLimit(request_share=0.05, fleet_requests=40.0),
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
    counter: ExposureCounter, stage: Stage, daemon_count: int, random: Random, load_share: float
) -> bool:
    """Return whether the next request may go to the new version.

    Within the limit of the stage, `load_share` of the requests does.
    """
    limit = EXPOSURE_LIMITS_BY_STAGE[stage]
    allowed = limit.request_share * counter.requests + limit.fleet_requests / max(1, daemon_count)
    if counter.new_version_requests + counter.jitter >= allowed:
        return False
    return random.random() < load_share


def get_load_share(stage: Stage, target_count: int) -> float:
    """Return the share of the requests that gives each used target its load with all traffic.

    `target_count` is the number of all targets of the new version.
    """
    if stage < Stage.RAMP:
        return 1.0
    return _get_used_count(stage, target_count) / max(1, target_count)


def select_trial_targets(
    new_targets: Sequence[Candidate], stage: Stage, rollout_id: str
) -> Sequence[Candidate]:
    """Return the targets of the new version that get requests in a stage.

    All daemons choose the same ones.
    """
    count = _get_used_count(stage, len(new_targets))
    if count >= len(new_targets):
        return new_targets
    ranked = rank_by_rendezvous(f"trial {rollout_id}", [item.address for item in new_targets])
    chosen = set(ranked[:count])
    return [item for item in new_targets if item.address in chosen]


def _get_used_count(stage: Stage, target_count: int) -> int:
    if stage >= Stage.FULL:
        return target_count
    trial_count = max(MIN_TRIAL_TARGETS, ceil(TRIAL_TARGET_SHARE * target_count))
    return min(target_count, trial_count)
