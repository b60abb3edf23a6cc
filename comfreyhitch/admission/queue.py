"""Short queue in front of a target, ordered by class and bounded by deadlines."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from comfreyhitch.admission.limiter import ConcurrencyLimit
from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.sections.models import TrafficClass

MIN_QUEUE_LENGTH = 2
SLOTS_PER_QUEUE_PLACE = 2
DEFAULT_TENANT_SHARE = 0.75


class Decision(Enum):
    """Say what happens to an arriving request."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(slots=True, eq=False)
class Ticket:
    """Hold one request's place; `settle` is called once with None or a refusal."""

    tenant: str
    traffic_class: TrafficClass
    deadline: float
    settle: Callable[[Refusal | None], None]
    is_running: bool = False


@dataclass(slots=True)
class AdmissionQueue:
    """Hold running and waiting requests of one target."""

    limit: ConcurrencyLimit
    waiting: list[Ticket] = field(default_factory=list)
    running: int = 0
    held_by_tenant: Counter[str] = field(default_factory=Counter)

    @classmethod
    def from_slots(cls, slots: int) -> "AdmissionQueue":
        """Return an empty queue for a target that has just started."""
        return cls(limit=ConcurrencyLimit(slots=slots))


def get_queue_capacity(queue: AdmissionQueue) -> int:
    """Return how many requests may wait."""
    return max(MIN_QUEUE_LENGTH, queue.limit.slots // SLOTS_PER_QUEUE_PLACE)


def request_admission(
    queue: AdmissionQueue, ticket: Ticket, tenant_share: float
) -> tuple[Decision, Refusal | None]:
    """Run, queue or refuse an arriving request."""
    if _exceeds_tenant_share(queue, ticket.tenant, tenant_share):
        return Decision.REFUSE, Refusal.TENANT_SHARE
    if queue.running < queue.limit.limit and not queue.waiting:
        _mark_held(queue, ticket)
        _mark_running(queue, ticket)
        return Decision.RUN, None
    if len(queue.waiting) >= get_queue_capacity(queue) and not _make_room(queue, ticket):
        return Decision.REFUSE, Refusal.OVERLOADED
    _mark_held(queue, ticket)
    queue.waiting.append(ticket)
    # The sort is stable, so requests of one class stay in order of arrival.
    queue.waiting.sort(key=lambda waiting: -waiting.traffic_class)
    return Decision.WAIT, None


def release(queue: AdmissionQueue, ticket: Ticket, now: float) -> None:
    """Take back the place of a request that ended, and start those that wait."""
    if ticket.is_running:
        ticket.is_running = False
        queue.running -= 1
        _unmark_held(queue, ticket)
    start_waiting(queue, now)


def withdraw(queue: AdmissionQueue, ticket: Ticket, refusal: Refusal) -> bool:
    """Remove a request that still waits, and return whether it did."""
    if ticket not in queue.waiting:
        return False
    _settle_refused(queue, ticket, refusal)
    return True


def start_waiting(queue: AdmissionQueue, now: float) -> None:
    """Start waiting requests that fit, and drop those past their deadline."""
    while queue.waiting:
        if queue.waiting[0].deadline <= now:
            _settle_refused(queue, queue.waiting[0], Refusal.DEADLINE)
            continue
        if queue.running >= queue.limit.limit:
            return
        ticket = queue.waiting.pop(0)
        _mark_running(queue, ticket)
        ticket.settle(None)


def refuse_all_waiting(queue: AdmissionQueue, refusal: Refusal) -> None:
    """Refuse every request that still waits."""
    for ticket in list(queue.waiting):
        _settle_refused(queue, ticket, refusal)


def _exceeds_tenant_share(queue: AdmissionQueue, tenant: str, share: float) -> bool:
    held = queue.held_by_tenant[tenant]
    others = queue.held_by_tenant.total() - held
    if others == 0:
        return False
    return held >= max(1, int(queue.limit.limit * share))


def _make_room(queue: AdmissionQueue, ticket: Ticket) -> bool:
    """Shed a waiting request of a lower class, or of a tenant that holds far more."""
    lowest = queue.waiting[-1]
    if lowest.traffic_class < ticket.traffic_class:
        _settle_refused(queue, lowest, Refusal.OVERLOADED)
        return True
    held = queue.held_by_tenant
    greediest = max(reversed(queue.waiting), key=lambda waiting: held[waiting.tenant])
    is_same_class = greediest.traffic_class == ticket.traffic_class
    if is_same_class and held[greediest.tenant] > held[ticket.tenant] + 1:
        _settle_refused(queue, greediest, Refusal.TENANT_SHARE)
        return True
    return False


def _settle_refused(queue: AdmissionQueue, ticket: Ticket, refusal: Refusal) -> None:
    queue.waiting.remove(ticket)
    _unmark_held(queue, ticket)
    ticket.settle(refusal)


def _mark_running(queue: AdmissionQueue, ticket: Ticket) -> None:
    ticket.is_running = True
    queue.running += 1


def _mark_held(queue: AdmissionQueue, ticket: Ticket) -> None:
    queue.held_by_tenant[ticket.tenant] += 1


def _unmark_held(queue: AdmissionQueue, ticket: Ticket) -> None:
    queue.held_by_tenant[ticket.tenant] -= 1
    if queue.held_by_tenant[ticket.tenant] <= 0:
        del queue.held_by_tenant[ticket.tenant]
