"""Schedule calls by their cost: their terms, and what is recorded of them."""

from collections.abc import Callable

from comfreyhitch.admission.models import QueueEntry, SchedulingTerms
from comfreyhitch.admission.schedule import MAX_RANK
from comfreyhitch.admission.scheduling import MAX_HOLD_SHARE
from comfreyhitch.admission.work_estimates import record_work
from comfreyhitch.core.target_activity import record_running
from comfreyhitch.core.verdicts import Failure, Refusal
from comfreyhitch.ingress.models import IncomingCall
from comfreyhitch.ingress.refusals import make_refusal
from comfreyhitch.ingress.state import Ingress
from comfreyhitch.sections.models import TrafficClass

_RANK_BY_CLASS = {TrafficClass.CRITICAL: 0, TrafficClass.NORMAL: 1, TrafficClass.BACKGROUND: 2}


def make_entry(
    ingress: Ingress, call: IncomingCall, resolve: Callable[[Refusal | None], None]
) -> QueueEntry:
    """Return the entry of a call in the admission queue."""
    entry = QueueEntry(call.tenant, call.traffic_class, call.deadline, resolve)
    if ingress.queue.schedule is not None:
        # The egress of an earlier release names no rank.
        rank = _RANK_BY_CLASS[call.traffic_class] if call.rank is None else call.rank
        # Without an objective, a call waits no longer than one that has missed its objective.
        half_time_at = call.arrived_at + MAX_HOLD_SHARE * (call.deadline - call.arrived_at)
        entry.terms = SchedulingTerms(
            route=call.route,
            rank=min(max(rank, 0), MAX_RANK),
            arrived_at=call.arrived_at,
            objective_at=half_time_at if call.objective_at is None else call.objective_at,
            is_nested=call.is_nested,
            has_returned=call.has_returned,
        )
    return entry


def get_wait_limit(call: IncomingCall, entry: QueueEntry) -> float:
    """Return the monotonic seconds until which a call waits for admission."""
    if entry.terms is None:
        return call.deadline
    return min(call.deadline, entry.terms.give_up_at)


def make_admission_failure(
    ingress: Ingress, call: IncomingCall, entry: QueueEntry, refusal: Refusal
) -> Failure:
    """Return the failure of a call that admission control refused, and record the refusal."""
    terms = entry.terms
    if terms is None or refusal not in (Refusal.OVERLOADED, Refusal.DEADLINE):
        return make_refusal(refusal, "refused by admission control")
    now = ingress.blackboard.clock.monotonic()
    ingress.metrics.ingress.scheduling_refusals.inc(
        {
            "cause": refusal.value,
            "rank": str(terms.rank),
            "nested": "yes" if terms.is_nested else "no",
        }
    )
    expected_wait_ms = round(max(0.0, terms.expected_start_at - now) * 1000)
    expected_work_ms = round(terms.expected_work_seconds * 1000)
    call.refusal_fields = {
        "expected_wait_ms": expected_wait_ms,
        "expected_work_ms": expected_work_ms,
        "rank": terms.rank,
        "nested": terms.is_nested,
        "returned": terms.has_returned,
        "objective_left_ms": round((terms.objective_at - now) * 1000),
        "left_ms": round((call.deadline - now) * 1000),
    }
    detail = f"expected wait {expected_wait_ms} ms and work {expected_work_ms} ms"
    return make_refusal(refusal, detail)


def record_admitted(ingress: Ingress, call: IncomingCall, entry: QueueEntry) -> None:
    """Record that a scheduled call takes a slot of the target."""
    if entry.terms is None:
        return
    now = ingress.blackboard.clock.monotonic()
    labels = {"rank": str(entry.terms.rank)}
    ingress.metrics.ingress.wait_seconds.observe(labels, now - call.arrived_at)
    record_running(ingress.blackboard.target_activity, ingress.queue.running, now)


def record_sending(call: IncomingCall, entry: QueueEntry) -> None:
    """Record whether a scheduled call that ends was sent to the target."""
    if entry.terms is not None:
        entry.terms.was_sent = call.sent_at > 0.0


def record_released(ingress: Ingress) -> None:
    """Record that a scheduled call has freed its slot."""
    if ingress.queue.schedule is not None:
        now = ingress.blackboard.clock.monotonic()
        record_running(ingress.blackboard.target_activity, ingress.queue.running, now)


def record_call_work(ingress: Ingress, call: IncomingCall, seconds: float, now: float) -> None:
    """Record the response time of a call as the work of its route, if calls are scheduled.

    The pace may have changed while the call ran, so the mean of both ends counts.
    """
    if ingress.queue.schedule is None:
        return
    readings = [reading for reading in (call.pace_at_send, ingress.pace) if reading is not None]
    slowness = sum(reading.slowness for reading in readings) / len(readings) if readings else 1.0
    record_work(ingress.queue.schedule.estimates, call.route, seconds, slowness, now)
