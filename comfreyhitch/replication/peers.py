"""Choose the peers to talk to, so that little crosses between availability zones.

In a small fleet every peer is told directly. In a large one a fact crosses to a
few daemons of each other zone, and spreads within each zone from there.
"""

from dataclasses import dataclass
from random import Random

# Up to this many peers are told of a fact directly by the daemon that has it first.
SMALL_FLEET_PEERS = 24
FANOUT = 4
# Daemons of each other zone that hear of a fact from the daemon that has it first.
FAR_FANOUT = 2
# Part of the probes and syncs of a large fleet that cross to another zone.
FAR_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Peers:
    """Hold the addresses of the reachable peers, those of the own zone apart."""

    near: list[str]
    far_by_zone: dict[str, list[str]]

    @property
    def far(self) -> list[str]:
        """Return the peers of all other zones."""
        return [address for addresses in self.far_by_zone.values() for address in addresses]

    @property
    def all(self) -> list[str]:
        """Return all peers."""
        return self.near + self.far

    @property
    def has_choice(self) -> bool:
        """Return whether the fleet is large, with peers in this zone and in others."""
        count = len(self.near) + sum(len(addresses) for addresses in self.far_by_zone.values())
        return count > SMALL_FLEET_PEERS and bool(self.near) and bool(self.far_by_zone)


def choose_told(peers: Peers, random: Random, *, is_from_peer: bool) -> list[str]:
    """Return the peers that are told of a new fact at once."""
    everyone = peers.all
    if len(everyone) <= SMALL_FLEET_PEERS:
        return [] if is_from_peer else everyone
    if not peers.has_choice:
        return _sample(everyone, FANOUT, random)
    told = _sample(peers.near, FANOUT, random)
    if not is_from_peer:
        for addresses in peers.far_by_zone.values():
            told += _sample(addresses, FAR_FANOUT, random)
    return told


def choose_partner(peers: Peers, random: Random) -> str | None:
    """Return the peer for the next sync, or None if there is none."""
    if peers.has_choice:
        is_far = random.random() < FAR_SHARE
        return random.choice(peers.far if is_far else peers.near)
    everyone = peers.all
    return random.choice(everyone) if everyone else None


def order_probes(peers: Peers, random: Random) -> list[str]:
    """Return the peers of one round of probes: all near ones, and some far ones in turn."""
    order = peers.all
    if peers.has_choice:
        far_count = max(1, round(len(peers.near) * FAR_SHARE / (1.0 - FAR_SHARE)))
        order = peers.near + _sample(peers.far, far_count, random)
    random.shuffle(order)
    return order


def _sample(addresses: list[str], count: int, random: Random) -> list[str]:
    return random.sample(addresses, min(count, len(addresses)))
