"""Short admission queue in front of a target, ordered by traffic class or by cost."""

from collections import Counter
from dataclasses import dataclass, field

from comfreyhitch.accounts.models import NO_ACCOUNT
from comfreyhitch.admission.limiter import ConcurrencyLimit
from comfreyhitch.admission.models import AdmissionDecision, QueueEntry
from comfreyhitch.admission.ordering import choose_cheapest
from comfreyhitch.admission.schedule import (
    Schedule,
    record_ended,
    record_not_served,
    record_started,
)
from comfreyhitch.admission.scheduling import (
    Plan,
    allow_wait,
    plan_requests,
    prepare_arrival,
)
from comfreyhitch.core.verdicts import Refusal

MIN_QUEUE_LENGTH = 2
SLOTS_PER_QUEUE_PLACE = 2
DEFAULT_TENANT_SHARE = 0.75
# The queue of a schedule is limited by time. These bounds only limit its memory.
MIN_SCHEDULED_LENGTH = 32
SCHEDULED_REQUESTS_PER_SLOT = 8
LOAD_REFUSALS = frozenset({Refusal.OVERLOADED, Refusal.DEADLINE})


@dataclass(slots=True)
class AdmissionQueue:
    """Hold the running and waiting requests of one target.

    With a schedule, requests are ordered by cost, and all of them must have scheduling terms.
    """

    limit: ConcurrencyLimit
    waiting: list[QueueEntry] = field(default_factory=list)
    running: int = 0
    requests_by_tenant: Counter[str] = field(default_factory=Counter)
    schedule: Schedule | None = None

    @classmethod
    def from_slots(cls, slots: int) -> "AdmissionQueue":
        """Return an empty queue for a target that has just started."""
        return cls(limit=ConcurrencyLimit(slots=slots))


def get_queue_capacity(queue: AdmissionQueue) -> int:
    """Return the maximum number of waiting requests."""
    return max(MIN_QUEUE_LENGTH, queue.limit.slots // SLOTS_PER_QUEUE_PLACE)


def request_admission(
    queue: AdmissionQueue, entry: QueueEntry, tenant_share: float
) -> tuple[AdmissionDecision, Refusal | None]:
    """Run, queue or refuse an arriving request."""
    if _exceeds_tenant_share(queue, entry.tenant, tenant_share):
        return AdmissionDecision.REFUSE, Refusal.TENANT_SHARE
    if queue.running < queue.limit.limit and not queue.waiting:
        _count_for_tenant(queue, entry)
        _mark_running(queue, entry)
        return AdmissionDecision.RUN, None
    if len(queue.waiting) >= get_queue_capacity(queue) and not _make_room(queue, entry):
        return AdmissionDecision.REFUSE, Refusal.OVERLOADED
    _count_for_tenant(queue, entry)
    queue.waiting.append(entry)
    # The sort is stable, so requests of one class stay in order of arrival.
    queue.waiting.sort(key=lambda waiting: -waiting.traffic_class)
    return AdmissionDecision.WAIT, None


def request_scheduled_admission(
    queue: AdmissionQueue, entry: QueueEntry, now: float
) -> tuple[AdmissionDecision, Refusal | None]:
    """Run, queue or refuse an arriving request by its cost; refuse waiting ones it displaces."""
    schedule = queue.schedule
    prepare_arrival(schedule, entry, now)
    candidates = [*queue.waiting, entry]
    shed = None
    if len(candidates) > get_scheduled_capacity(queue):
        shed = choose_cheapest(candidates, now)
        candidates.remove(shed)
    plan = plan_requests(schedule, candidates, queue.limit.limit, now)
    if shed is not None:
        plan.refused.append(shed)
    _count_for_tenant(queue, entry)
    if entry in plan.refused:
        decision, refusal = AdmissionDecision.REFUSE, Refusal.OVERLOADED
    elif entry in plan.started:
        decision, refusal = AdmissionDecision.RUN, None
    else:
        decision, refusal = AdmissionDecision.WAIT, None
        allow_wait(entry)
    _apply_plan(queue, plan, now, arriving=entry)
    return decision, refusal


def get_scheduled_capacity(queue: AdmissionQueue) -> int:
    """Return the maximum number of requests that wait by a schedule."""
    return max(MIN_SCHEDULED_LENGTH, SCHEDULED_REQUESTS_PER_SLOT * queue.limit.slots)


def release(queue: AdmissionQueue, entry: QueueEntry, now: float) -> None:
    """Free the slot of a request that ended, and start waiting requests."""
    if entry.is_running:
        entry.is_running = False
        queue.running -= 1
        _uncount_for_tenant(queue, entry)
        if queue.schedule is not None:
            record_ended(queue.schedule, entry, now)
    start_waiting(queue, now)


def withdraw(queue: AdmissionQueue, entry: QueueEntry, refusal: Refusal, now: float = 0.0) -> bool:
    """Refuse a request if it still waits, and return whether it did; a schedule needs `now`."""
    if entry not in queue.waiting:
        return False
    if queue.schedule is not None and refusal in LOAD_REFUSALS:
        record_not_served(queue.schedule, entry, now)
    _refuse_waiting(queue, entry, refusal)
    return True


def start_waiting(queue: AdmissionQueue, now: float) -> None:
    """Start waiting requests up to the limit, and refuse those past their deadline.

    With a schedule, also refuse those that can't be served in time.
    """
    if queue.schedule is not None:
        if queue.waiting and queue.running < queue.limit.limit:
            plan = plan_requests(queue.schedule, queue.waiting, queue.limit.limit, now)
            _apply_plan(queue, plan, now)
        return
    while queue.waiting:
        if queue.waiting[0].deadline <= now:
            _refuse_waiting(queue, queue.waiting[0], Refusal.DEADLINE)
            continue
        if queue.running >= queue.limit.limit:
            return
        entry = queue.waiting.pop(0)
        _mark_running(queue, entry)
        entry.resolve(None)


def refuse_all_waiting(queue: AdmissionQueue, refusal: Refusal) -> None:
    """Refuse every waiting request."""
    for entry in list(queue.waiting):
        _refuse_waiting(queue, entry, refusal)


def _apply_plan(
    queue: AdmissionQueue, plan: Plan, now: float, arriving: QueueEntry | None = None
) -> None:
    """Start, keep and refuse requests as planned; the arriving one is not resolved here."""
    queue.waiting[:] = plan.waiting
    for entry in plan.refused:
        record_not_served(queue.schedule, entry, now)
        _uncount_for_tenant(queue, entry)
    for entry in plan.started:
        _mark_running(queue, entry)
        record_started(queue.schedule, entry, now)
    for entry in (*plan.refused, *plan.started):
        if entry is not arriving:
            is_past_deadline = not entry.is_running and entry.deadline <= now
            refusal = Refusal.DEADLINE if is_past_deadline else Refusal.OVERLOADED
            entry.resolve(None if entry.is_running else refusal)


def _exceeds_tenant_share(queue: AdmissionQueue, tenant: str, share: float) -> bool:
    if tenant == NO_ACCOUNT:
        # Calls that targets make have no account, and belong to requests of many accounts.
        return False
    held = queue.requests_by_tenant[tenant]
    others = queue.requests_by_tenant.total() - held
    if others == 0:
        return False
    return held >= max(1, int(queue.limit.limit * share))


def _make_room(queue: AdmissionQueue, entry: QueueEntry) -> bool:
    """Shed a waiting request of a lower class, or of a tenant with more requests.

    Return whether one was shed.
    """
    lowest = queue.waiting[-1]
    if lowest.traffic_class < entry.traffic_class:
        _refuse_waiting(queue, lowest, Refusal.OVERLOADED)
        return True
    requests_by_tenant = queue.requests_by_tenant
    heaviest = max(reversed(queue.waiting), key=lambda waiting: requests_by_tenant[waiting.tenant])
    is_same_class = heaviest.traffic_class == entry.traffic_class
    if is_same_class and requests_by_tenant[heaviest.tenant] > requests_by_tenant[entry.tenant] + 1:
        _refuse_waiting(queue, heaviest, Refusal.TENANT_SHARE)
        return True
    return False


def _refuse_waiting(queue: AdmissionQueue, entry: QueueEntry, refusal: Refusal) -> None:
    queue.waiting.remove(entry)
    _uncount_for_tenant(queue, entry)
    entry.resolve(refusal)


def _mark_running(queue: AdmissionQueue, entry: QueueEntry) -> None:
    entry.is_running = True
    queue.running += 1


def _count_for_tenant(queue: AdmissionQueue, entry: QueueEntry) -> None:
    queue.requests_by_tenant[entry.tenant] += 1


def _uncount_for_tenant(queue: AdmissionQueue, entry: QueueEntry) -> None:
    queue.requests_by_tenant[entry.tenant] -= 1
    if queue.requests_by_tenant[entry.tenant] <= 0:
        del queue.requests_by_tenant[entry.tenant]
