"""Choose the registrars of a key: the daemons that store the claim on it."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from comfreyhitch.membership.models import Member, MemberStatus
from comfreyhitch.utils.hashing import hash_text

REGISTRAR_COUNT = 3


@dataclass(frozen=True, slots=True)
class RegistrarRing:
    """Order the candidate registrars of a service on a hash ring."""

    points: tuple[int, ...] = ()
    members: tuple[Member, ...] = ()

    @classmethod
    def from_members(cls, service: str, members: Iterable[Member]) -> "RegistrarRing":
        """Return the ring of all members in the region where the service runs.

        Unreachable members are included, since they may be alive on the other side of a
        network partition. Any two majorities for a key therefore overlap.
        """
        present = [member for member in members if member.status is not MemberStatus.LEFT]
        region = _get_home_region(service, present)
        by_point = sorted(
            ((hash_text(item.address), item) for item in present if item.region == region),
            key=lambda pair: (pair[0], pair[1].address),
        )
        points = tuple(point for point, _ in by_point)
        return cls(points, tuple(member for _, member in by_point))


def choose_registrars(ring: RegistrarRing, scope: str) -> list[Member]:
    """Return the registrars of a key, in different zones as far as possible."""
    count = min(REGISTRAR_COUNT, len(ring.members))
    chosen: list[Member] = []
    for member in _walk_ring(ring, scope):
        if len(chosen) == count:
            return chosen
        if all(member.zone != other.zone for other in chosen):
            chosen.append(member)
    remaining = [member for member in _walk_ring(ring, scope) if member not in chosen]
    return chosen + remaining[: count - len(chosen)]


def _walk_ring(ring: RegistrarRing, scope: str) -> Iterator[Member]:
    start = bisect_left(ring.points, hash_text(scope))
    yield from ring.members[start:]
    yield from ring.members[:start]


def get_majority(registrar_count: int) -> int:
    """Return how many registrars must grant a claim."""
    return registrar_count // 2 + 1


def _get_home_region(service: str, members: list[Member]) -> str:
    counts = Counter(member.region for member in members if member.service == service)
    if not counts:
        counts = Counter(member.region for member in members)
    return min(counts, key=lambda region: (-counts[region], region), default="")
