"""Select the target at which a request is expected to be answered first.

The cost of a choice does not depend on the number of candidates: a few of them are drawn at random
and compared by what their load reports say.
"""

from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random

from comfreyhitch.egress.models import Candidate, TargetView
from comfreyhitch.egress.views import (
    estimate_in_flight,
    get_avoidance_cause,
    get_freshness,
    get_or_create_view,
    is_mostly_overdue,
    is_slow,
)

OWN_ZONE_SAMPLE_SIZE = 4
SAMPLE_SIZE = 6
MAX_POOLS = 64
FAILING_ERROR_RATE = 0.3
DEFAULT_WORK_SECONDS = 0.05
# A request may first be held back until the pace is usual, which takes about this time.
MEAN_SLOW_SECONDS = 0.15
# Extra time at a target that is nearly full, as a share of its work. Without it, the fastest
# target would get all requests until it is full.
UTILIZATION_WEIGHT = 0.5
MEAN_WEIGHT = 0.05
# Number of reports of a target that have the same weight as the mean of all targets. One request
# with a long time changes a single report by more than targets usually differ.
MEAN_REPORTS = 5
# Reports younger than this count for the mean of all targets.
MEAN_REPORT_AGE_SECONDS = 0.5
# Time that a request may wait longer in the own zone, since bytes between zones are expensive: a
# share of the time that is left for its objective beyond the answer, and at most this.
ZONE_WAIT_SHARE = 0.25
MAX_ZONE_WAIT_SECONDS = 0.1
DEFAULT_ZONE_WAIT_SECONDS = 0.06


@dataclass(slots=True)
class TargetPool:
    """Hold the candidates of one service by zone, and the means of their recent reports."""

    candidates: Sequence[Candidate]
    own_zone: list[Candidate]
    other_zones: list[Candidate]
    mean_utilization: float = 0.0
    mean_work_seconds: float = 0.0


def make_completion_selector(
    views_by_address: dict[str, TargetView], own_zone: str, random: Random
) -> Callable[..., Candidate | None]:
    """Return a selector of the target of a sample with the earliest expected completion."""
    pools_by_address: OrderedDict[str, TargetPool] = OrderedDict()

    def select_target(
        candidates: Sequence[Candidate],
        excluded: Collection[str],
        now: float,
        objective_seconds: float | None = None,
    ) -> Candidate | None:
        if not candidates:
            return None
        pool = _get_pool(pools_by_address, candidates, own_zone)
        sample = draw_pool_sample(pool, excluded, random)
        if not sample:
            return None
        views = [get_or_create_view(views_by_address, item.address) for item in sample]
        for view in views:
            _update_means(pool, view, now)
        seconds = [
            estimate_completion(view, candidate.slots, pool, now)
            for view, candidate in zip(views, sample, strict=True)
        ]
        ranks = [
            (
                get_avoidance_cause(view, now) is not None or candidate.is_suspect,
                view.error_rate > FAILING_ERROR_RATE or is_mostly_overdue(view),
            )
            for view, candidate in zip(views, sample, strict=True)
        ]
        best_rank = min(ranks)
        usable = [index for index, rank in enumerate(ranks) if rank == best_rank]
        best_seconds = min(seconds[index] for index in usable)
        zone_wait_seconds = get_zone_wait_seconds(best_seconds, objective_seconds)
        for index in usable:
            if sample[index].zone != own_zone:
                seconds[index] += zone_wait_seconds
        return sample[min(usable, key=seconds.__getitem__)]

    return select_target


def estimate_completion(view: TargetView, slots: int, pool: TargetPool, now: float) -> float:
    """Return the seconds in which a target is expected to answer a request that is sent now.

    The weight of a load report decreases with its age, and that of the mean of all targets grows.
    """
    limit = view.reported_limit if view.reported_at else slots
    freshness = get_freshness(view, now)
    work_seconds = _estimate_work_seconds(view, pool)
    unknown = (1.0 - freshness) * pool.mean_utilization * limit
    in_flight = estimate_in_flight(view, now) + unknown
    queue_seconds = max(0.0, in_flight + 1.0 - limit) * work_seconds / limit
    # The reported wait includes what other daemons sent; requests sent since come on top of it.
    since_report = view.sent_since_report * work_seconds / limit
    reported_wait = view.wait_seconds * freshness + (since_report if view.wait_seconds else 0.0)
    slow_seconds = 0.0
    if is_slow(view, now):
        slow_seconds = min((view.slowness - 1.0) * work_seconds, MEAN_SLOW_SECONDS)
    utilization = min(1.0, in_flight / limit)
    return (
        work_seconds * (1.0 + UTILIZATION_WEIGHT * utilization)
        + max(queue_seconds, reported_wait)
        + slow_seconds
    )


def _estimate_work_seconds(view: TargetView, pool: TargetPool) -> float:
    """Return the mean latency of a target, weighted with that of all targets by its reports."""
    mean = pool.mean_work_seconds or DEFAULT_WORK_SECONDS
    reports = view.latency_reports
    total = MEAN_REPORTS * mean + reports * view.mean_latency_seconds
    return total / (MEAN_REPORTS + reports)


def get_zone_wait_seconds(best_seconds: float, objective_seconds: float | None) -> float:
    """Return how much longer a request may take in the own zone than in another.

    `objective_seconds` is the time left until its objective ends; None if it is not known.
    """
    if objective_seconds is None:
        return DEFAULT_ZONE_WAIT_SECONDS
    spare_seconds = max(0.0, objective_seconds - best_seconds)
    return min(MAX_ZONE_WAIT_SECONDS, ZONE_WAIT_SHARE * spare_seconds)


def draw_pool_sample(
    pool: TargetPool, excluded: Collection[str], random: Random
) -> list[Candidate]:
    """Return a random sample of the targets not excluded, mostly of the own zone."""
    sample = _draw(pool.own_zone, OWN_ZONE_SAMPLE_SIZE, excluded, random)
    sample += _draw(pool.other_zones, SAMPLE_SIZE - len(sample), excluded, random)
    if len(sample) < SAMPLE_SIZE:
        taken = {item.address for item in sample}.union(excluded)
        sample += _draw(pool.own_zone, SAMPLE_SIZE - len(sample), taken, random)
    return sample


def _draw(
    candidates: Sequence[Candidate], count: int, excluded: Collection[str], random: Random
) -> list[Candidate]:
    drawn = random.sample(range(len(candidates)), min(len(candidates), count + len(excluded)))
    allowed = (candidates[index] for index in drawn)
    return [item for item in allowed if item.address not in excluded][:count]


def _get_pool(
    pools_by_address: OrderedDict[str, TargetPool], candidates: Sequence[Candidate], own_zone: str
) -> TargetPool:
    """Return the pool of a list of candidates, divided by zone only when the list is replaced."""
    # An address belongs to one service, so the means outlive the list.
    address = candidates[0].address
    pool = pools_by_address.get(address)
    if pool is None or pool.candidates is not candidates:
        own = [item for item in candidates if item.zone == own_zone]
        others = [item for item in candidates if item.zone != own_zone]
        known = pool
        pool = pools_by_address[address] = TargetPool(candidates, own, others)
        if known is not None:
            pool.mean_utilization = known.mean_utilization
            pool.mean_work_seconds = known.mean_work_seconds
        if len(pools_by_address) > MAX_POOLS:
            pools_by_address.popitem(last=False)
    return pool


def _update_means(pool: TargetPool, view: TargetView, now: float) -> None:
    if not view.reported_at or now - view.reported_at > MEAN_REPORT_AGE_SECONDS:
        return
    reported = view.reported_in_flight + view.reported_queued
    utilization = min(1.0, reported / view.reported_limit)
    pool.mean_utilization += MEAN_WEIGHT * (utilization - pool.mean_utilization)
    if view.latency_reports:
        known = pool.mean_work_seconds or view.mean_latency_seconds
        pool.mean_work_seconds = known + MEAN_WEIGHT * (view.mean_latency_seconds - known)
