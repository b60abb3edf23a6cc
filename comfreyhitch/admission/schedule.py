"""What is measured at one target to schedule its requests by cost."""

from dataclasses import dataclass, field

from comfreyhitch.admission.models import QueueEntry, SchedulingTerms
from comfreyhitch.admission.service_shares import RankShare, record_refused, record_served
from comfreyhitch.admission.work_estimates import WorkEstimates
from comfreyhitch.utils.decaying_sum import DecayingSum, add_to_sum, read_sum

# Less urgent ranks count as this one, which limits the memory.
MAX_RANK = 9
NESTED_KEY = -1
WORK_RATE_SECONDS = 2.0
RECENT_START_SECONDS = 5.0
MAX_TENANTS = 256
STRETCH_EWMA_WEIGHT = 0.05
MIN_STRETCH = 0.25
MAX_STRETCH = 4.0
# Most of the slots that more urgent requests are expected to take in future.
MAX_OVERTAKING_SHARE = 0.9
# A request that runs for longer than expected is likely to be one of the long tail.
OVERDUE_SHARE = 0.5


@dataclass(slots=True)
class Schedule:
    """Hold what is measured at one target: work, running requests, served shares.

    `stretch` is how long requests hold their slots, divided by their known work.
    """

    estimates: WorkEstimates = field(default_factory=WorkEstimates)
    running: list[QueueEntry] = field(default_factory=list)
    shares_by_rank: dict[int, RankShare] = field(default_factory=dict)
    started_work_by_rank: dict[int, DecayingSum] = field(default_factory=dict)
    starts_by_tenant: dict[str, DecayingSum] = field(default_factory=dict)
    stretch: float = 1.0


def record_started(schedule: Schedule, entry: QueueEntry, now: float) -> None:
    """Record that a request takes a slot."""
    terms = entry.terms
    terms.started_at = now
    schedule.running.append(entry)
    key = get_rank_key(terms)
    work = schedule.started_work_by_rank.setdefault(key, DecayingSum(WORK_RATE_SECONDS))
    add_to_sum(work, get_slot_seconds(schedule, entry), now)
    # Starts move to the end, so that the account without a start for longest is dropped first.
    starts = schedule.starts_by_tenant.pop(entry.tenant, None)
    if len(schedule.starts_by_tenant) >= MAX_TENANTS:
        del schedule.starts_by_tenant[next(iter(schedule.starts_by_tenant))]
    starts = starts or DecayingSum(RECENT_START_SECONDS)
    add_to_sum(starts, 1.0, now)
    schedule.starts_by_tenant[entry.tenant] = starts
    record_served(schedule.shares_by_rank, key, now)


def record_not_served(schedule: Schedule, entry: QueueEntry, now: float) -> None:
    """Record that a request is refused because of the load."""
    record_refused(schedule.shares_by_rank, get_rank_key(entry.terms), now)


def record_ended(schedule: Schedule, entry: QueueEntry, now: float) -> None:
    """Record that a request frees its slot."""
    schedule.running.remove(entry)
    terms = entry.terms
    # Calls that are refused after admission end at once, and would make waits look short.
    if terms.was_sent and terms.known_work_seconds > 0.0:
        stretch = (now - terms.started_at) / terms.known_work_seconds
        # One request of the long tail must not change what is expected of all others.
        stretch = min(stretch, 2 * MAX_STRETCH)
        schedule.stretch += STRETCH_EWMA_WEIGHT * (stretch - schedule.stretch)
        schedule.stretch = min(max(schedule.stretch, MIN_STRETCH), MAX_STRETCH)


def reset_measurements(schedule: Schedule) -> None:
    """Forget what was measured at an earlier target."""
    schedule.estimates = WorkEstimates()
    schedule.stretch = 1.0


def get_remaining_seconds(schedule: Schedule, entry: QueueEntry, now: float) -> float:
    """Return for how long a running request is expected to hold its slot."""
    elapsed_seconds = now - entry.terms.started_at
    expected_seconds = get_slot_seconds(schedule, entry)
    return max(expected_seconds - elapsed_seconds, OVERDUE_SHARE * elapsed_seconds)


def get_slot_seconds(schedule: Schedule, entry: QueueEntry) -> float:
    """Return for how long a request is expected to hold a slot, from its start.

    It is 0 if the work is unknown or its estimate is old, since the wait for it refuses others.
    """
    return entry.terms.known_work_seconds * schedule.stretch


def get_overtaking_share(schedule: Schedule, key: int, limit: int, now: float) -> float:
    """Return the share of the slots that requests more urgent than `key` took lately."""
    taken_seconds = sum(
        read_sum(work, now) for rank, work in schedule.started_work_by_rank.items() if rank < key
    )
    return min(MAX_OVERTAKING_SHARE, taken_seconds / (WORK_RATE_SECONDS * max(1, limit)))


def get_rank_key(terms: SchedulingTerms) -> int:
    """Return the key by which work is counted; nested calls have one of their own."""
    return NESTED_KEY if terms.is_nested else terms.rank
