"""Short admission queue in front of a target, ordered by traffic class, with deadlines."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from comfreyhitch.accounts.models import NO_ACCOUNT
from comfreyhitch.admission.limiter import ConcurrencyLimit
from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.sections.models import TrafficClass

MIN_QUEUE_LENGTH = 2
SLOTS_PER_QUEUE_PLACE = 2
DEFAULT_TENANT_SHARE = 0.75


class AdmissionDecision(Enum):
    """Name what happens to an arriving request."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(slots=True, eq=False)
class QueueEntry:
    """Hold one request, waiting or running; `deadline` is in monotonic seconds.

    If the request has to wait, `resolve` is called once: with None when it may run, or with the
    refusal.
    """

    tenant: str
    traffic_class: TrafficClass
    deadline: float
    resolve: Callable[[Refusal | None], None]
    is_running: bool = False


@dataclass(slots=True)
class AdmissionQueue:
    """Hold the running and waiting requests of one target."""

    limit: ConcurrencyLimit
    waiting: list[QueueEntry] = field(default_factory=list)
    running: int = 0
    requests_by_tenant: Counter[str] = field(default_factory=Counter)

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


def release(queue: AdmissionQueue, entry: QueueEntry, now: float) -> None:
    """Free the slot of a request that ended, and start waiting requests."""
    if entry.is_running:
        entry.is_running = False
        queue.running -= 1
        _uncount_for_tenant(queue, entry)
    start_waiting(queue, now)


def withdraw(queue: AdmissionQueue, entry: QueueEntry, refusal: Refusal) -> bool:
    """Refuse a request if it still waits, and return whether it did."""
    if entry not in queue.waiting:
        return False
    _refuse_waiting(queue, entry, refusal)
    return True


def start_waiting(queue: AdmissionQueue, now: float) -> None:
    """Start waiting requests up to the limit, and refuse those past their deadline."""
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
