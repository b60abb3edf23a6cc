"""Limit how many requests a new version gets until it has succeeded.

Each daemon limits its requests to the new version to a share of the requests it sends to the
service, plus an equal part of a small number for the whole fleet. In the stage `RAMP`, the daemon
beside the only target in use counts them instead. Both bound the sum without any coordination
between daemons, however many of the requests fail, and whatever the evidence says. The limits leave
room for the requests between the success and the deadline.

In the stage `RAMP` that target bears more than its share of all traffic: a version that fails only
under load shows it then.
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
# Requests to the target under load until all traffic moves, those before the stage included.
MAX_LOADED_TARGET_REQUESTS = 34
# Load of that target, as a multiple of the mean with all traffic, which peaks exceed.
LOAD_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class ExposureLimit:
    """Hold the limit on requests to the new version in one stage.

    `request_share` applies to each daemon's own requests since the order; `fleet_requests` is an
    additional number that all daemons divide among themselves.
    """

    request_share: float
    fleet_requests: float


TRIAL_LIMITS_BY_STAGE = {
    Stage.CANARY: ExposureLimit(request_share=0.01, fleet_requests=8.0),
    Stage.WIDER: ExposureLimit(request_share=0.01, fleet_requests=10.0),
}
# Applies to the requests since all of them may go to the new version.
FULL_TRAFFIC_LIMIT = ExposureLimit(request_share=0.045, fleet_requests=4.0)


@dataclass(slots=True)
class ExposureCounter:
    """Count this daemon's requests to a service during one rollout.

    The requests to the new version before and after all traffic may go there are counted apart.
    """

    requests: int = 0
    trial_requests: int = 0
    full_traffic_requests: int = 0
    # Random fraction of a request that is added to the count. Without it, daemons with a small
    # limit would all send their first request to the new version at the same time.
    jitter: float = 0.0
    # Whether the target under load has refused a request for having had its number.
    is_trial_over: bool = False

    @classmethod
    def from_random(cls, random: Random) -> "ExposureCounter":
        """Return a counter that starts at zero, with random jitter."""
        return cls(jitter=random.random())

    @property
    def new_version_requests(self) -> int:
        """Return the number of requests to the new version."""
        return self.trial_requests + self.full_traffic_requests


@dataclass(slots=True)
class TrialCounter:
    """Count the requests to one target of a new version before all traffic may go there."""

    rollout_id: str = ""
    requests: int = 0


def count_request(counter: ExposureCounter, stage: Stage, *, is_new_version: bool) -> None:
    """Count a request to the service of a rollout."""
    counter.requests += 1
    if stage >= Stage.FULL:
        counter.full_traffic_requests += is_new_version
    else:
        counter.trial_requests += is_new_version


def may_send_to_new_version(
    counter: ExposureCounter, stage: Stage, daemon_count: int, random: Random, load_share: float
) -> bool:
    """Return whether the next request may go to the new version.

    Within the limit of the stage, `load_share` of the requests does.
    """
    if stage is Stage.RAMP:
        return not counter.is_trial_over and random.random() < load_share
    limit = TRIAL_LIMITS_BY_STAGE.get(stage, FULL_TRAFFIC_LIMIT)
    count = counter.full_traffic_requests if stage >= Stage.FULL else counter.trial_requests
    allowed = limit.request_share * counter.requests + limit.fleet_requests / max(1, daemon_count)
    return count + counter.jitter < allowed


def admit_trial_request(counter: TrialCounter, rollout_id: str, stage: Stage) -> bool:
    """Return whether a target of the new version may get one more request, and count it."""
    if counter.rollout_id != rollout_id:
        counter.rollout_id = rollout_id
        counter.requests = 0
    if stage >= Stage.FULL:
        return True
    if counter.requests >= MAX_LOADED_TARGET_REQUESTS:
        return False
    counter.requests += 1
    return True


def get_load_share(target_count: int) -> float:
    """Return the share of the requests that loads the target in the stage `RAMP`.

    `target_count` is the number of all targets of the new version.
    """
    return LOAD_FACTOR / max(1, target_count)


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
    if stage is Stage.RAMP:
        return min(target_count, 1)
    trial_count = max(MIN_TRIAL_TARGETS, ceil(TRIAL_TARGET_SHARE * target_count))
    return min(target_count, trial_count)
