"""Properties of what is kept within an availability zone."""

from random import Random

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.egress.choice import OWN_ZONE_SAMPLE_SIZE, SAMPLE_SIZE, draw_sample
from comfreyhitch.egress.models import Candidate
from comfreyhitch.membership.queries import group_reachable_peers
from comfreyhitch.replication.peers import (
    OTHER_ZONE_FANOUT,
    OTHER_ZONE_SHARE,
    choose_probe_order,
    choose_receivers,
    choose_sync_peer,
)
from comfreyhitch.rollouts.controller import MAX_ANALYZERS, choose_analyzers
from features.fakes import FakeClock, make_member

ZONES = ("za", "zb", "zc")
LARGE_ZONE = 25
SMALL_ZONE = 4


def make_blackboards(count_by_zone):
    """Return the blackboard of each daemon of a fleet in which all know all."""
    members = {}
    for zone in ZONES:
        for _ in range(count_by_zone):
            address = f"10.0.0.{len(members)}:1"
            members[address] = make_member(address, zone=zone)
    blackboards = {}
    for address, own in members.items():
        blackboard = Blackboard(clock=FakeClock().make(), own_member=own)
        blackboard.members_by_address.update(members)
        blackboards[address] = blackboard
    return blackboards


@then("the candidates that are looked at are mostly of the own zone, and all where there are few")
def check_sample(context):
    @seed(context.seed)
    @given(st.lists(st.sampled_from(ZONES), max_size=40), st.integers(0, 2**32))
    def check(zones, number):
        candidates = [Candidate(f"a{at}", zone, "v1", 9) for at, zone in enumerate(zones)]
        sample = draw_sample(candidates, {"a0"}, "za", Random(number))
        allowed = [item for item in candidates if item.address != "a0"]
        near = [item for item in allowed if item.zone == "za"]
        assert len(set(sample)) == len(sample) == min(SAMPLE_SIZE, len(allowed))
        assert set(sample) <= set(allowed)
        sampled_near = [item for item in sample if item.zone == "za"]
        assert len(sampled_near) >= min(OWN_ZONE_SAMPLE_SIZE, len(near))

    check()


@then("a fact crosses to each other zone a few times only, and reaches nearly all daemons")
def check_spread(context):
    random = Random(context.seed)
    blackboards = make_blackboards(LARGE_ZONE)
    reached_count = 0
    for _ in range(100):
        reached, crossings = spread(blackboards, random)
        reached_count += len(reached)
        assert crossings <= OTHER_ZONE_FANOUT * (len(ZONES) - 1), crossings
    assert reached_count >= 0.95 * 100 * len(blackboards), reached_count
    small = make_blackboards(SMALL_ZONE)
    reached, _ = spread(small, random)
    assert reached == set(small)


def spread(blackboards, random):
    """Tell one fact, and return who has it and how many messages crossed zones."""
    first = random.choice(list(blackboards))
    reached = {first}
    waiting = [first]
    crossings = 0
    while waiting:
        address = waiting.pop(0)
        blackboard = blackboards[address]
        peers = group_reachable_peers(blackboard)
        for told in choose_receivers(peers, random, is_from_peer=address != first):
            crossings += blackboards[told].own_member.zone != blackboard.own_member.zone
            if told not in reached:
                reached.add(told)
                waiting.append(told)
    return reached, crossings


@then("each peer of the own zone is probed in turn, and few of the others")
def check_probes(context):
    random = Random(context.seed)
    blackboard = next(iter(make_blackboards(LARGE_ZONE).values()))
    peers = group_reachable_peers(blackboard)
    order = choose_probe_order(peers, random)
    assert set(peers.same_zone) <= set(order) and len(set(order)) == len(order)
    assert len(order) - len(peers.same_zone) <= len(order) * OTHER_ZONE_SHARE + 1
    partners = [choose_sync_peer(peers, random) for _ in range(400)]
    far_count = sum(partner in peers.other_zones for partner in partners)
    assert 0 < far_count < 400 * OTHER_ZONE_SHARE * 1.5, far_count
    small = group_reachable_peers(next(iter(make_blackboards(SMALL_ZONE).values())))
    assert set(choose_probe_order(small, random)) == set(small.all)


@then("a few daemons judge a rollout, the same ones for all that know the same members")
def check_judges(context):
    blackboards = make_blackboards(LARGE_ZONE)
    judges = {tuple(choose_analyzers(blackboard, "r1")) for blackboard in blackboards.values()}
    assert len(judges) == 1 and len(set(next(iter(judges)))) == MAX_ANALYZERS
    lost = next(iter(judges))[0]
    remaining = next(board for address, board in blackboards.items() if address != lost)
    del remaining.members_by_address[lost]
    assert (
        len(set(choose_analyzers(remaining, "r1")) & set(next(iter(judges)))) == MAX_ANALYZERS - 1
    )
