"""Refuse calls whose large responses can't be held, or can't be sent in time."""

from comfreyhitch.core.held_bytes import can_hold, describe_held_bytes
from comfreyhitch.core.verdicts import Failure, Refusal, Verdict
from comfreyhitch.ingress.models import IncomingCall
from comfreyhitch.ingress.response_sizes import (
    can_send_in_time,
    get_large_bytes,
    get_link_wait_seconds,
)
from comfreyhitch.ingress.state import Ingress

# Backlog in seconds up to which a request runs that misses its latency objective in any case. Such
# requests would otherwise delay those that can still be answered in time.
MAX_LATE_BACKLOG_SECONDS = 0.5
CAUSE_LINK = "link"
CAUSE_MEMORY = "memory"


def find_response_refusal(ingress: Ingress, call: IncomingCall, now: float) -> Failure | None:
    """Return the failure of a call whose response is too large now, or None if it may run."""
    sizes = ingress.response_sizes
    held = ingress.blackboard.held_bytes
    large_bytes = get_large_bytes(sizes, call.route)
    if not can_hold(held, large_bytes, len(call.body)):
        ingress.metrics.ingress.response_refusals.inc({"cause": CAUSE_MEMORY})
        return Failure(Verdict.NOT_RUN, Refusal.OVERLOADED, describe_held_bytes(held, large_bytes))
    link = ingress.link
    # A nested call belongs to work that is partly done, which its refusal would waste.
    if link is None or call.is_nested:
        return None
    useful_seconds = get_useful_seconds(call, now)
    if can_send_in_time(sizes, link, call.route, useful_seconds):
        return None
    ingress.metrics.ingress.response_refusals.inc({"cause": CAUSE_LINK})
    backlog_ms = round(get_link_wait_seconds(sizes, link) * 1000)
    left_ms = round(useful_seconds * 1000)
    kilobytes = round(large_bytes / 1000)
    detail = (
        f"a response of about {kilobytes} KB can't be sent in time: "
        f"backlog of the link {backlog_ms} ms, time left {left_ms} ms"
    )
    return Failure(Verdict.NOT_RUN, Refusal.OVERLOADED, detail)


def get_useful_seconds(call: IncomingCall, now: float) -> float:
    """Return the seconds within which a response is of use to the caller.

    Handles a burst of downloads that lasts: if each runs that can be sent before its deadline, the
    backlog grows until almost all miss their objectives.
    """
    left_seconds = call.deadline - now
    if call.objective_at is None:
        return left_seconds
    if now < call.objective_at:
        return min(left_seconds, call.objective_at - now)
    return min(left_seconds, MAX_LATE_BACKLOG_SECONDS)
