"""Order of waiting requests by what their delay or refusal costs the callers."""

from collections import Counter
from dataclasses import dataclass

from comfreyhitch.admission.models import QueueEntry, SchedulingTerms
from comfreyhitch.admission.schedule import Schedule, get_rank_key
from comfreyhitch.admission.service_shares import find_starved_ranks
from comfreyhitch.admission.work_estimates import get_deviation
from comfreyhitch.utils.decaying_sum import read_sum


@dataclass(frozen=True, slots=True)
class Order:
    """Hold waiting requests in the order in which they start.

    `advanced` are those that go before more urgent ones, because their rank is starved.
    """

    entries: list[QueueEntry]
    advanced: list[QueueEntry]


def sort_by_cost(schedule: Schedule, waiting: list[QueueEntry], now: float) -> Order:
    """Return the order in which waiting requests start."""
    usage_by_tenant = _get_usage_by_tenant(schedule, waiting, now)
    ordered = sorted(
        waiting, key=lambda entry: _get_order(schedule, entry, usage_by_tenant[entry.tenant], now)
    )
    if len(usage_by_tenant) > 1:
        ordered = _alternate_tenants(ordered, usage_by_tenant)
    ranks = {entry.terms.rank for entry in ordered if not entry.terms.is_nested}
    return _advance_ranks(ordered, find_starved_ranks(schedule.shares_by_rank, ranks, now))


def choose_cheapest(waiting: list[QueueEntry], now: float) -> QueueEntry:
    """Return the request whose refusal costs least, for a queue that has reached its bound."""
    waiting_by_tenant = Counter(entry.tenant for entry in waiting)

    def get_cheapness(entry: QueueEntry) -> tuple[object, ...]:
        terms = entry.terms
        return (
            not terms.is_nested,
            terms.rank,
            is_late(terms, now),
            waiting_by_tenant[entry.tenant],
            terms.objective_at,
        )

    # Among equals, the one that has waited least.
    return max(reversed(waiting), key=get_cheapness)


def is_late(terms: SchedulingTerms, now: float) -> bool:
    """Return whether a request can't be answered within its objective any more."""
    return now + terms.expected_work_seconds > terms.objective_at


def _get_order(
    schedule: Schedule, entry: QueueEntry, tenant_usage: float, now: float
) -> tuple[object, ...]:
    terms = entry.terms
    misses_objective = is_late(terms, now)
    margin_seconds = get_deviation(schedule.estimates, terms.route)
    latest_at = entry.deadline if misses_objective else terms.objective_at
    return (
        not terms.is_nested,
        terms.rank,
        tenant_usage,
        not terms.has_returned,
        misses_objective,
        latest_at - terms.expected_work_seconds - margin_seconds,
    )


def _get_usage_by_tenant(
    schedule: Schedule, waiting: list[QueueEntry], now: float
) -> dict[str, float]:
    """Return how many requests of each waiting account run or have started recently."""
    running = Counter(entry.tenant for entry in schedule.running)
    usage_by_tenant = {}
    for tenant in {entry.tenant for entry in waiting}:
        starts = schedule.starts_by_tenant.get(tenant)
        usage_by_tenant[tenant] = running[tenant] + (read_sum(starts, now) if starts else 0.0)
    return usage_by_tenant


def _alternate_tenants(
    ordered: list[QueueEntry], usage_by_tenant: dict[str, float]
) -> list[QueueEntry]:
    """Count the requests that go before as started, so that accounts take turns."""
    ahead: Counter[tuple[int, str]] = Counter()
    keyed = []
    for position, entry in enumerate(ordered):
        terms = entry.terms
        group = (get_rank_key(terms), entry.tenant)
        usage = usage_by_tenant[entry.tenant] + ahead[group]
        ahead[group] += 1
        keyed.append((not terms.is_nested, terms.rank, usage, position))
    return [ordered[position] for *_, position in sorted(keyed)]


def _advance_ranks(ordered: list[QueueEntry], ranks: list[int]) -> Order:
    """Move the first request of each of the ranks before all others that are not nested."""
    if not ranks:
        return Order(ordered, [])
    first_by_rank: dict[int, QueueEntry] = {}
    for entry in ordered:
        if not entry.terms.is_nested:
            first_by_rank.setdefault(entry.terms.rank, entry)
    advanced = [first_by_rank[rank] for rank in ranks]
    nested = [entry for entry in ordered if entry.terms.is_nested]
    others = [entry for entry in ordered if not entry.terms.is_nested and entry not in advanced]
    return Order([*nested, *advanced, *others], advanced)
