"""Limit the bytes of requests and responses that the egress holds for callers."""

from collections.abc import Callable

from result import Err

from comfreyhitch.core.held_bytes import (
    Holder,
    describe_held_bytes,
    hold,
    make_room,
    release,
)
from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.state import Egress
from comfreyhitch.ingress.response_sizes import expecting_response, get_large_bytes, record_size
from comfreyhitch.telemetry.decisions import admit_log_line, log_decision

CAUSE_EGRESS_MEMORY = "egress-memory"


def find_memory_refusal(
    egress: Egress, needed_bytes: int, own: Holder | None = None
) -> Failure | None:
    """Return the failure of a request that needs too many bytes, or None if it may go on.

    Requests and responses that make no progress give way to it.
    """
    held = egress.blackboard.held_bytes
    if make_room(held, needed_bytes, own):
        return None
    egress.metrics.ingress.response_refusals.inc({"cause": CAUSE_EGRESS_MEMORY})
    detail = describe_held_bytes(held, needed_bytes)
    return Failure(Verdict.NOT_RUN, Refusal.OVERLOADED, detail)


def record_give_way(egress: Egress, holder: Holder) -> None:
    """Count and log a request or response that has to end, since others need its memory."""
    egress.metrics.egress.gave_way.inc({"stage": holder.stage.name.lower()})
    if not admit_log_line(egress.decisions, is_failure=True):
        return
    held = egress.blackboard.held_bytes
    waited_seconds = held.clock.monotonic() - holder.progress_at
    log_decision(
        egress.decisions,
        "request or response gave way to others",
        {
            "waits_for": holder.stage.value,
            "peer": holder.peer,
            "held_bytes": holder.held_bytes,
            "waited_ms": round(waited_seconds * 1000),
            "total_bytes": held.total,
            "limit_bytes": held.limit,
        },
    )


def get_declared_bytes(content_length: str | None) -> int:
    """Return the declared length of a body, 0 if there is none or it is invalid."""
    text = (content_length or "").strip()
    return int(text) if text.isascii() and text.isdigit() else 0


def hold_declared_body(
    egress: Egress, holder: Holder, content_length: str | None, limit_bytes: int
) -> Failure | None:
    """Count a body before it is read, or return the failure of a request that needs too many bytes.

    Otherwise bodies that arrive at the same time would all be accepted. A body above the limit
    for bodies is not read at all.
    """
    declared_bytes = get_declared_bytes(content_length)
    if declared_bytes > limit_bytes:
        return None
    failure = find_memory_refusal(egress, declared_bytes)
    if failure is None:
        hold_bytes(egress, holder, declared_bytes)
    return failure


def hold_bytes(egress: Egress, holder: Holder, size: int) -> None:
    """Count bytes until the response to the current request of a holder is written."""
    hold(egress.blackboard.held_bytes, holder, size)


def route_within_memory(
    egress: Egress, call: OutgoingCall, holder: Holder, route: Callable[[], Outcome]
) -> Outcome:
    """Route a call, or refuse it if its expected response needs too many bytes.

    The call's body is dropped afterwards.
    """
    sizes = egress.response_sizes
    call.expected_bytes = get_large_bytes(sizes, call.route)
    failure = find_memory_refusal(egress, call.expected_bytes, holder)
    if failure is not None:
        return Err(failure)
    with expecting_response(sizes, call.route, egress.blackboard.held_bytes):
        outcome = route()
    call.body = b""
    release(egress.blackboard.held_bytes, holder)
    if outcome.is_ok():
        size = len(outcome.ok_value.body)
        record_size(sizes, call.route, size)
        hold_bytes(egress, holder, size)
    return outcome
