"""Which share of the requests of each rank is served, and which rank is served too rarely."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from comfreyhitch.utils.decaying_sum import DecayingSum, add_to_sum, read_sum

SHARE_SECONDS = 5.0
# A rank is starved if its served share is below this part of the share of all requests. Callers
# count less than a quarter as a fault.
STARVED_SHARE_RATIO = 0.4
# Fewer decided requests say too little about the share of a rank.
MIN_DECIDED_REQUESTS = 5.0
# Lead over a more urgent rank that is not acted on. Callers count 0.05 as a fault.
MAX_SHARE_LEAD = 0.02


@dataclass(slots=True)
class RankShare:
    """Hold the requests of one rank that were served and refused over the last seconds."""

    served: DecayingSum = field(default_factory=lambda: DecayingSum(SHARE_SECONDS))
    refused: DecayingSum = field(default_factory=lambda: DecayingSum(SHARE_SECONDS))


def record_served(shares_by_rank: dict[int, RankShare], rank: int, now: float) -> None:
    """Count a request that starts."""
    add_to_sum(shares_by_rank.setdefault(rank, RankShare()).served, 1.0, now)


def record_refused(shares_by_rank: dict[int, RankShare], rank: int, now: float) -> None:
    """Count a request that is refused because of the load."""
    add_to_sum(shares_by_rank.setdefault(rank, RankShare()).refused, 1.0, now)


def is_served_before_others(shares_by_rank: dict[int, RankShare], rank: int, now: float) -> bool:
    """Return whether a rank is served more often than a more urgent one.

    Requests of the less urgent rank may have the longer objectives. They would outlast a burst in
    the queue, while more urgent ones are refused because their objectives end sooner.
    """
    own_share = _get_share(shares_by_rank, rank, now)
    if own_share is None:
        return False
    shares = [_get_share(shares_by_rank, other, now) for other in shares_by_rank if other < rank]
    return any(share is not None and share < own_share - MAX_SHARE_LEAD for share in shares)


def _get_share(shares_by_rank: dict[int, RankShare], rank: int, now: float) -> float | None:
    counts = shares_by_rank.get(rank)
    if counts is None:
        return None
    served = read_sum(counts.served, now)
    decided = served + read_sum(counts.refused, now)
    return None if decided < MIN_DECIDED_REQUESTS else served / decided


def find_starved_ranks(
    shares_by_rank: dict[int, RankShare], ranks: Iterable[int], now: float
) -> list[int]:
    """Return those of `ranks` that are served too rarely, the most urgent first.

    The order by rank alone refuses almost all requests of the least urgent rank while the others
    use the target up. A rank that is served as often as a more urgent one is never returned.
    """
    counts_by_rank = {
        rank: (read_sum(share.served, now), read_sum(share.refused, now))
        for rank, share in shares_by_rank.items()
    }
    all_served = sum(served for served, _ in counts_by_rank.values())
    all_refused = sum(refused for _, refused in counts_by_rank.values())
    if all_served <= 0.0 or all_refused <= 0.0:
        return []
    bound = STARVED_SHARE_RATIO * all_served / (all_served + all_refused)
    starved = []
    lowest_share = 1.0
    for rank, (served, refused) in sorted(counts_by_rank.items()):
        decided = served + refused
        if decided < MIN_DECIDED_REQUESTS:
            continue
        share = served / decided
        if share < bound and share < lowest_share and rank in ranks:
            starved.append(rank)
        lowest_share = min(lowest_share, share)
    return starved
