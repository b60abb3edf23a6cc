"""Decide by cost to the callers which requests start, wait or are refused at one target.

Load pattern: several kinds of requests arrive at up to 2.3 times the rate that a target can take,
for seconds. Their objectives and ranks differ, and some are needed by requests that already run.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heapify, heapreplace

from comfreyhitch.admission.models import QueueEntry
from comfreyhitch.admission.ordering import is_late, sort_by_cost
from comfreyhitch.admission.schedule import (
    Schedule,
    get_overtaking_share,
    get_rank_key,
    get_remaining_seconds,
    get_slot_seconds,
)
from comfreyhitch.admission.service_shares import is_served_before_others
from comfreyhitch.admission.work_estimates import get_expected_work, get_known_work

# Share of its time at this ingress for which a request that misses its objective may wait. It must
# not be held for most of its deadline only to be refused.
MAX_HOLD_SHARE = 0.5
# Share of the time until its latest timely start for which a request may be expected to wait. Work
# varies, so that of requests that may wait for all of it about half miss their objectives.
MAX_WAIT_SHARE = 0.5
# As many waiting requests as this are kept unless their deadlines would be missed. A slot that
# becomes free would else stay unused until the next request arrives.
MIN_KEPT_REQUESTS = 2
SLOTS_PER_KEPT_REQUEST = 2


@dataclass(frozen=True, slots=True)
class Plan:
    """Hold what happens to the waiting requests: each is in one of the lists, in their order."""

    started: list[QueueEntry]
    waiting: list[QueueEntry]
    refused: list[QueueEntry]


def prepare_arrival(schedule: Schedule, entry: QueueEntry, now: float) -> None:
    """Set the expected work of an arriving request, and the latest start for which it waits.

    A request that can meet its objective waits only where it is expected to: refused at once, it
    can still meet it at another target. One that can't, or that has been refused before, gains less
    elsewhere. One of a rank that is served more often than a more urgent one does not wait.
    """
    terms = entry.terms
    terms.expected_work_seconds = get_expected_work(schedule.estimates, terms.route)
    terms.known_work_seconds = get_known_work(schedule.estimates, terms.route, now)
    terms.give_up_at = _get_latest_start(entry)
    objective_start_at = terms.objective_at - terms.known_work_seconds
    if not terms.is_nested and not terms.has_returned and now <= objective_start_at:
        wait_seconds = MAX_WAIT_SHARE * (objective_start_at - now)
        terms.give_up_at = min(now + wait_seconds, terms.give_up_at)
        if is_served_before_others(schedule.shares_by_rank, terms.rank, now):
            terms.give_up_at = now


def allow_wait(entry: QueueEntry) -> None:
    """Let an admitted request wait until its start would be too late for its deadline."""
    entry.terms.give_up_at = _get_latest_start(entry)


def plan_requests(
    schedule: Schedule, waiting: Iterable[QueueEntry], limit: int, now: float
) -> Plan:
    """Decide which waiting requests start now, which wait, and which can't be served in time."""
    order = sort_by_cost(schedule, waiting, now)
    started: list[QueueEntry] = []
    remaining: list[QueueEntry] = []
    refused: list[QueueEntry] = []
    free = limit - len(schedule.running)
    for entry in order.entries:
        if now + entry.terms.known_work_seconds > entry.deadline:
            refused.append(entry)
        elif free > 0:
            entry.terms.expected_start_at = now
            started.append(entry)
            free -= 1
        else:
            remaining.append(entry)
    if remaining:
        free_at = _get_free_times(schedule, started, limit, now)
        too_late = _estimate_starts(schedule, remaining, order.advanced, free_at, limit, now)
        refused.extend(too_late)
        too_late_entries = set(too_late)
        remaining = [entry for entry in remaining if entry not in too_late_entries]
    return Plan(started, remaining, refused)


def estimate_wait(schedule: Schedule, waiting: list[QueueEntry], limit: int, now: float) -> float:
    """Return the expected wait in seconds of a least urgent request that arrives now."""
    if not waiting and len(schedule.running) < limit:
        return 0.0
    free_at = _get_free_times(schedule, (), limit, now)
    for entry in waiting:
        heapreplace(free_at, free_at[0] + get_slot_seconds(schedule, entry))
    least_urgent = max(schedule.started_work_by_rank, default=0)
    share = get_overtaking_share(schedule, least_urgent, limit, now)
    return (free_at[0] - now) / (1.0 - share)


def _estimate_starts(
    schedule: Schedule,
    ordered: list[QueueEntry],
    advanced: list[QueueEntry],
    free_at: list[float],
    limit: int,
    now: float,
) -> list[QueueEntry]:
    """Estimate when requests start, and return those whose start would be too late.

    What runs and what goes before a request delays its start, and so do the more urgent requests
    that arrive while it waits. These are expected to take the same share of the slots as lately.
    """
    too_late = []
    share_by_key: dict[int, float] = {}
    kept = 0
    min_kept = max(MIN_KEPT_REQUESTS, limit // SLOTS_PER_KEPT_REQUEST)
    for entry in ordered:
        terms = entry.terms
        key = 0 if entry in advanced else get_rank_key(terms)
        # More timely requests of its own rank go before a late one.
        key += not terms.is_nested and entry not in advanced and is_late(terms, now)
        if key not in share_by_key:
            share_by_key[key] = get_overtaking_share(schedule, key, limit, now)
        terms.expected_start_at = now + (free_at[0] - now) / (1.0 - share_by_key[key])
        latest_start_at = terms.give_up_at
        if kept < min_kept:
            latest_start_at = max(latest_start_at, entry.deadline - terms.known_work_seconds)
        if terms.expected_start_at > latest_start_at:
            too_late.append(entry)
        else:
            kept += 1
            heapreplace(free_at, free_at[0] + get_slot_seconds(schedule, entry))
    return too_late


def _get_free_times(
    schedule: Schedule, started: Iterable[QueueEntry], limit: int, now: float
) -> list[float]:
    """Return when each of the slots is expected to be free, as a heap."""
    free_at = sorted(
        now + get_remaining_seconds(schedule, entry, now) for entry in schedule.running
    )
    free_at.extend(now + get_slot_seconds(schedule, entry) for entry in started)
    # If more requests run than the limit allows now, the first ones that end free no slot.
    slots = max(1, limit)
    free_at = free_at[-slots:]
    free_at.extend([now] * (slots - len(free_at)))
    heapify(free_at)
    return free_at


def _get_latest_start(entry: QueueEntry) -> float:
    terms = entry.terms
    deadline_start_at = entry.deadline - terms.known_work_seconds
    if terms.is_nested:
        return deadline_start_at
    held_until = terms.arrived_at + MAX_HOLD_SHARE * (entry.deadline - terms.arrived_at)
    objective_start_at = terms.objective_at - terms.known_work_seconds
    return min(deadline_start_at, max(held_until, objective_start_at))
