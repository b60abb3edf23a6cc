"""Test that all daemons of a large fleet load the same target of a new version."""

from random import Random

from behave import then

from comfreyhitch.core.blackboard import ActiveRollout, Blackboard
from comfreyhitch.documents.models import ServiceVersion
from comfreyhitch.egress.eligibility import MAX_TRACKED_TARGETS, refresh_candidates
from comfreyhitch.rollouts.exposure import select_trial_targets
from comfreyhitch.rollouts.stages import Stage
from features.fakes import FakeClock, make_member
from features.rollout_emulation import ORDER

TARGETS_PER_VERSION = 60
DAEMONS = 40


@then("they load the same target, and know how many there are, though each tracks a part of them")
def check_same_target(context):
    random = Random(context.seed)
    members = {}
    for version in ("v1", "v2"):
        for number in range(TARGETS_PER_VERSION):
            address = f"10.{version[1:]}.0.{number}:1"
            members[address] = make_member(address, service=ORDER.service, version=version)
    chosen = set()
    for own in random.sample(sorted(members), DAEMONS):
        blackboard = Blackboard(FakeClock().make_clock(), members[own])
        blackboard.members_by_address.update(members)
        blackboard.active_rollouts_by_service[ORDER.service] = ActiveRollout(
            ORDER.rollout_id, "v2", Stage.RAMP
        )
        refresh_candidates(blackboard)
        candidates = blackboard.candidates_by_service[ORDER.service]
        assert len(candidates) <= MAX_TRACKED_TARGETS + 4
        new = [item for item in candidates if item.version == "v2"]
        chosen.update(
            item.address for item in select_trial_targets(new, Stage.RAMP, ORDER.rollout_id)
        )
        count = blackboard.target_counts_by_version[ServiceVersion(ORDER.service, "v2")]
        assert count == TARGETS_PER_VERSION, count
    assert len(chosen) == 1, chosen
