"""Queries on the member list of the blackboard."""

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.replication.peers import Peers
from comfreyhitch.utils.hashing import rank_by_rendezvous

READERS_PER_ZONE = 2


def list_reachable_peers(blackboard: Blackboard) -> list[str]:
    """Return the addresses of all other members that are alive or suspected."""
    return group_reachable_peers(blackboard).all


def group_reachable_peers(blackboard: Blackboard) -> Peers:
    """Return the addresses of all reachable peers, grouped by availability zone."""
    own = blackboard.own_member
    same_zone = []
    by_other_zone: dict[str, list[str]] = {}
    for member in blackboard.members_by_address.values():
        if not member.is_reachable or member.address == own.address:
            continue
        if member.zone == own.zone:
            same_zone.append(member.address)
        else:
            by_other_zone.setdefault(member.zone, []).append(member.address)
    return Peers(same_zone, by_other_zone)


def is_platform_reader(blackboard: Blackboard) -> bool:
    """Return whether this daemon is one of the readers of its availability zone.

    Only the readers list the registrations periodically and watch the sections in the store;
    the other daemons get sections and member records from their peers. A daemon is also a
    reader while its member list contains no reachable member of its zone, not even itself.
    """
    ranked = _rank_readers(blackboard)
    return blackboard.own_member.address in ranked[:READERS_PER_ZONE] or not ranked


def is_first_reader(blackboard: Blackboard) -> bool:
    """Return whether this daemon is the first of the readers of its availability zone."""
    return blackboard.own_member.address in _rank_readers(blackboard)[:1]


def list_first_readers(blackboard: Blackboard) -> list[str]:
    """Return the address of the first reader of each availability zone.

    Readers that stop soon come after the others of their zone.
    """
    members = blackboard.members_by_address
    zones = sorted({member.zone for member in members.values()})
    first_readers = []
    for zone in zones:
        ranked = _rank_zone(blackboard, zone)
        first_readers += sorted(ranked, key=lambda address: members[address].draining)[:1]
    return first_readers


def _rank_readers(blackboard: Blackboard) -> list[str]:
    return _rank_zone(blackboard, blackboard.own_member.zone)


def _rank_zone(blackboard: Blackboard, zone: str) -> list[str]:
    addresses = [
        member.address
        for member in blackboard.members_by_address.values()
        if member.zone == zone and member.is_reachable
    ]
    return rank_by_rendezvous(f"reader {zone}", addresses)
