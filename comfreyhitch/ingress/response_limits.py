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
    if can_send_in_time(sizes, link, call.route, call.deadline - now):
        return None
    ingress.metrics.ingress.response_refusals.inc({"cause": CAUSE_LINK})
    backlog_ms = round(get_link_wait_seconds(sizes, link) * 1000)
    left_ms = round((call.deadline - now) * 1000)
    kilobytes = round(large_bytes / 1000)
    detail = (
        f"a response of about {kilobytes} KB can't be sent before the deadline: "
        f"backlog of the link {backlog_ms} ms, time left {left_ms} ms"
    )
    return Failure(Verdict.NOT_RUN, Refusal.OVERLOADED, detail)
