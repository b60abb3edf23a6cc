"""Properties that keep traffic between daemons mostly within an availability zone."""

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
LARGE_ZONE_DAEMONS = 25
SMALL_ZONE_DAEMONS = 4


def make_blackboards(daemons_per_zone):
    """Return the blackboards, by address, of a fleet in which all daemons know each other."""
    members = {}
    for zone in ZONES:
        for _ in range(daemons_per_zone):
            address = f"10.0.0.{len(members)}:1"
            members[address] = make_member(address, zone=zone)
    blackboards = {}
    for address, own_member in members.items():
        blackboard = Blackboard(clock=FakeClock().make_clock(), own_member=own_member)
        blackboard.members_by_address.update(members)
        blackboards[address] = blackboard
    return blackboards


@then(
    "most sampled candidates are from the same zone if it has enough, "
    "and all are sampled if there are few"
)
def check_candidate_sample(context):
    @seed(context.seed)
    @given(st.lists(st.sampled_from(ZONES), max_size=40), st.integers(0, 2**32))
    def check(zones, number):
        candidates = [Candidate(f"a{at}", zone, "v1", 9) for at, zone in enumerate(zones)]
        sample = draw_sample(candidates, {"a0"}, "za", Random(number))
        allowed = [item for item in candidates if item.address != "a0"]
        same_zone = [item for item in allowed if item.zone == "za"]
        assert len(set(sample)) == len(sample) == min(SAMPLE_SIZE, len(allowed))
        assert set(sample) <= set(allowed)
        sampled_same_zone = [item for item in sample if item.zone == "za"]
        assert len(sampled_same_zone) >= min(OWN_ZONE_SAMPLE_SIZE, len(same_zone))

    check()


@then("a fact is sent to other zones a few times only, and reaches nearly all daemons")
def check_propagation(context):
    random = Random(context.seed)
    blackboards = make_blackboards(LARGE_ZONE_DAEMONS)
    reached_count = 0
    for _ in range(100):
        reached, cross_zone_messages = propagate_fact(blackboards, random)
        reached_count += len(reached)
        assert cross_zone_messages <= OTHER_ZONE_FANOUT * (len(ZONES) - 1), cross_zone_messages
    assert reached_count >= 0.95 * 100 * len(blackboards), reached_count
    small = make_blackboards(SMALL_ZONE_DAEMONS)
    reached, _ = propagate_fact(small, random)
    assert reached == set(small)


def propagate_fact(blackboards, random):
    """Propagate one fact; return the addresses reached and the number of cross-zone messages."""
    origin = random.choice(list(blackboards))
    reached = {origin}
    senders = [origin]
    cross_zone_messages = 0
    while senders:
        address = senders.pop(0)
        blackboard = blackboards[address]
        peers = group_reachable_peers(blackboard)
        for receiver in choose_receivers(peers, random, is_from_peer=address != origin):
            cross_zone_messages += (
                blackboards[receiver].own_member.zone != blackboard.own_member.zone
            )
            if receiver not in reached:
                reached.add(receiver)
                senders.append(receiver)
    return reached, cross_zone_messages


@then("each peer of the same zone is probed in turn, and few probes and syncs go to other zones")
def check_probes_and_syncs(context):
    random = Random(context.seed)
    blackboard = next(iter(make_blackboards(LARGE_ZONE_DAEMONS).values()))
    peers = group_reachable_peers(blackboard)
    order = choose_probe_order(peers, random)
    assert set(peers.same_zone) <= set(order) and len(set(order)) == len(order)
    assert len(order) - len(peers.same_zone) <= len(order) * OTHER_ZONE_SHARE + 1
    sync_peers = [choose_sync_peer(peers, random) for _ in range(400)]
    other_zone_count = sum(peer in peers.other_zones for peer in sync_peers)
    assert 0 < other_zone_count < 400 * OTHER_ZONE_SHARE * 1.5, other_zone_count
    small = group_reachable_peers(next(iter(make_blackboards(SMALL_ZONE_DAEMONS).values())))
    assert set(choose_probe_order(small, random)) == set(small.all)


@then("a few daemons analyze a rollout, and all that know the same members choose the same ones")
def check_analyzers(context):
    blackboards = make_blackboards(LARGE_ZONE_DAEMONS)
    choices = {tuple(choose_analyzers(blackboard, "r1")) for blackboard in blackboards.values()}
    assert len(choices) == 1 and len(set(next(iter(choices)))) == MAX_ANALYZERS
    removed = next(iter(choices))[0]
    remaining = next(board for address, board in blackboards.items() if address != removed)
    del remaining.members_by_address[removed]
    assert (
        len(set(choose_analyzers(remaining, "r1")) & set(next(iter(choices)))) == MAX_ANALYZERS - 1
    )
