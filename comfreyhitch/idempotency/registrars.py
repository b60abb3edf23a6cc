"""Choice of the daemons that hold the claim on a key."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta

from comfreyhitch.membership.models import Member, MemberStatus
from comfreyhitch.utils.hashing import hash_text

REGISTRAR_COUNT = 3
# Daemons that started together with the oldest one have missed no claim.
FLEET_START_WINDOW = timedelta(seconds=60)


@dataclass(frozen=True, slots=True)
class RegistrarRing:
    """Order the possible registrars of a service on a hash ring."""

    points: tuple[int, ...] = ()
    members: tuple[Member, ...] = ()

    @classmethod
    def from_members(
        cls, service: str, members: Iterable[Member], now: datetime, retention: timedelta
    ) -> "RegistrarRing":
        """Return the ring of the members that have been up for long enough.

        Unreachable members count, since an unreachable registrar may be alive
        on the other side of a cut. So any two majorities for a key meet.
        """
        present = [member for member in members if member.status is not MemberStatus.LEFT]
        region = _get_home_region(service, present)
        local = [member for member in present if member.region == region]
        seasoned = _select_seasoned(local, now, retention)
        by_point = sorted(
            ((hash_text(member.address), member) for member in seasoned),
            key=lambda item: (item[0], item[1].address),
        )
        points = tuple(point for point, _ in by_point)
        return cls(points, tuple(member for _, member in by_point))


def choose_registrars(ring: RegistrarRing, scope: str) -> list[Member]:
    """Return the registrars of a key, in different zones where there are enough."""
    wanted = min(REGISTRAR_COUNT, len(ring.members))
    chosen: list[Member] = []
    for member in _walk_ring(ring, scope):
        if len(chosen) == wanted:
            return chosen
        if all(member.zone != other.zone for other in chosen):
            chosen.append(member)
    remaining = [member for member in _walk_ring(ring, scope) if member not in chosen]
    return chosen + remaining[: wanted - len(chosen)]


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


def _select_seasoned(members: list[Member], now: datetime, retention: timedelta) -> list[Member]:
    by_age = sorted(members, key=lambda member: (member.started_at, member.address))
    if len(by_age) <= REGISTRAR_COUNT:
        return by_age
    oldest_start = by_age[0].started_at
    latest_start = max(
        oldest_start + FLEET_START_WINDOW.total_seconds(),
        now.timestamp() - retention.total_seconds(),
    )
    seasoned = [member for member in by_age if member.started_at <= latest_start]
    return seasoned if len(seasoned) >= REGISTRAR_COUNT else by_age[:REGISTRAR_COUNT]
