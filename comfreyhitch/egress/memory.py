"""Limit the bytes of requests and responses that the egress holds for callers."""

from collections.abc import Callable

from result import Err

from comfreyhitch.core.held_bytes import can_hold, describe_held_bytes
from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.egress.caller_connections import CallerConnection
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.state import Egress
from comfreyhitch.ingress.response_sizes import expecting_response, get_large_bytes, record_size

CAUSE_EGRESS_MEMORY = "egress-memory"


def find_memory_refusal(egress: Egress, needed_bytes: int, own_bytes: int = 0) -> Failure | None:
    """Return the failure of a request that needs too many bytes, or None if it may go on."""
    held = egress.blackboard.held_bytes
    if can_hold(held, needed_bytes, own_bytes):
        return None
    egress.metrics.ingress.response_refusals.inc({"cause": CAUSE_EGRESS_MEMORY})
    detail = describe_held_bytes(held, needed_bytes)
    return Failure(Verdict.NOT_RUN, Refusal.OVERLOADED, detail)


def get_declared_bytes(content_length: str | None) -> int:
    """Return the declared length of a body, 0 if there is none or it is invalid."""
    text = (content_length or "").strip()
    return int(text) if text.isascii() and text.isdigit() else 0


def hold_declared_body(
    egress: Egress, connection: CallerConnection, content_length: str | None, limit_bytes: int
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
        hold_bytes(egress, connection, declared_bytes)
    return failure


def hold_bytes(egress: Egress, connection: CallerConnection, size: int) -> None:
    """Count bytes until the response to the current request of a connection is written."""
    egress.blackboard.held_bytes.total += size
    connection.held_bytes += size


def route_within_memory(
    egress: Egress, call: OutgoingCall, connection: CallerConnection, route: Callable[[], Outcome]
) -> Outcome:
    """Route a call, or refuse it if its expected response needs too many bytes."""
    sizes = egress.response_sizes
    failure = find_memory_refusal(egress, get_large_bytes(sizes, call.route), connection.held_bytes)
    if failure is not None:
        return Err(failure)
    with expecting_response(sizes, call.route, egress.blackboard.held_bytes):
        outcome = route()
    if outcome.is_ok():
        size = len(outcome.ok_value.body)
        record_size(sizes, call.route, size)
        hold_bytes(egress, connection, size)
    return outcome
