"""Select peers so that little traffic crosses availability zones.

In a small fleet the daemon where a fact originates sends it to every peer. In a large fleet it
sends the fact to a few daemons of each zone, which forward it within their zone.
"""

from dataclasses import dataclass
from random import Random

# With up to this many peers, the daemon where a fact originates sends it to all of them.
SMALL_FLEET_MAX_PEERS = 24
FANOUT = 4
# Number of daemons in each other zone to which the daemon where a fact originates sends it.
OTHER_ZONE_FANOUT = 2
# Share of probes and syncs in a large fleet that go to another zone.
OTHER_ZONE_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class Peers:
    """Hold the addresses of the reachable peers in this daemon's zone and in each other zone."""

    same_zone: list[str]
    by_other_zone: dict[str, list[str]]

    @property
    def other_zones(self) -> list[str]:
        """Return the addresses of the peers in all other zones."""
        return [address for addresses in self.by_other_zone.values() for address in addresses]

    @property
    def all(self) -> list[str]:
        """Return the addresses of all peers."""
        return self.same_zone + self.other_zones

    @property
    def prefers_same_zone(self) -> bool:
        """Return whether the fleet is large and has peers in this zone and in others."""
        count = len(self.same_zone) + sum(
            len(addresses) for addresses in self.by_other_zone.values()
        )
        return count > SMALL_FLEET_MAX_PEERS and bool(self.same_zone) and bool(self.by_other_zone)


def choose_receivers(peers: Peers, random: Random, *, is_from_peer: bool) -> list[str]:
    """Return the peers to which a new fact is sent immediately."""
    all_peers = peers.all
    if len(all_peers) <= SMALL_FLEET_MAX_PEERS:
        return [] if is_from_peer else all_peers
    if not peers.prefers_same_zone:
        return _sample(all_peers, FANOUT, random)
    receivers = _sample(peers.same_zone, FANOUT, random)
    if not is_from_peer:
        for addresses in peers.by_other_zone.values():
            receivers += _sample(addresses, OTHER_ZONE_FANOUT, random)
    return receivers


def choose_sync_peer(peers: Peers, random: Random) -> str | None:
    """Return the peer for the next sync, or None if there is none."""
    if peers.prefers_same_zone:
        is_other_zone = random.random() < OTHER_ZONE_SHARE
        return random.choice(peers.other_zones if is_other_zone else peers.same_zone)
    all_peers = peers.all
    return random.choice(all_peers) if all_peers else None


def choose_probe_order(peers: Peers, random: Random) -> list[str]:
    """Return the peers to probe in the next rounds, in random order.

    In a large fleet these are all peers of this daemon's zone and a random sample of the others.
    """
    order = peers.all
    if peers.prefers_same_zone:
        other_zone_count = max(
            1, round(len(peers.same_zone) * OTHER_ZONE_SHARE / (1.0 - OTHER_ZONE_SHARE))
        )
        order = peers.same_zone + _sample(peers.other_zones, other_zone_count, random)
    random.shuffle(order)
    return order


def _sample(addresses: list[str], count: int, random: Random) -> list[str]:
    return random.sample(addresses, min(count, len(addresses)))
