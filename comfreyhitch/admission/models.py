"""Requests as admission control sees them."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.sections.models import TrafficClass


class AdmissionDecision(Enum):
    """Name what happens to an arriving request."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(slots=True)
class SchedulingTerms:
    """Hold what the scheduler by cost knows of one request.

    Times are in monotonic seconds. `expected_work_seconds` orders requests; it is the mean of the
    target if the work of the route is unknown. `known_work_seconds` decides about refusals, of this
    request and of those that wait for it; it is 0 if the work of the route is unknown.
    """

    route: str
    # 0 is the most urgent.
    rank: int
    arrived_at: float
    objective_at: float
    is_nested: bool
    has_returned: bool
    expected_work_seconds: float = 0.0
    known_work_seconds: float = 0.0
    # Latest start for which the request waits.
    give_up_at: float = 0.0
    # Latest estimate of the start.
    expected_start_at: float = 0.0
    started_at: float = 0.0
    # False if the request took a slot and was then refused before it was sent to the target.
    was_sent: bool = True


@dataclass(slots=True, eq=False)
class QueueEntry:
    """Hold one request, waiting or running; `deadline` is in monotonic seconds.

    If the request has to wait, `resolve` is called once: with None when it may run, or with the
    refusal. `terms` is None unless requests are scheduled by cost.
    """

    tenant: str
    traffic_class: TrafficClass
    deadline: float
    resolve: Callable[[Refusal | None], None]
    is_running: bool = False
    terms: SchedulingTerms | None = None
