"""Refuse calls whose large responses can't be sent in time."""

from comfreyhitch.core.verdicts import Failure, Refusal, Verdict
from comfreyhitch.ingress.models import IncomingCall
from comfreyhitch.ingress.response_sizes import (
    can_send_in_time,
    get_large_bytes,
    get_link_wait_seconds,
)
from comfreyhitch.ingress.state import Ingress

CAUSE_LINK = "link"


def find_response_refusal(ingress: Ingress, call: IncomingCall, now: float) -> Failure | None:
    """Return the failure of a call whose response would come too late, or None if it may run."""
    link = ingress.link
    # A nested call belongs to work that is partly done, which its refusal would waste.
    if link is None or call.is_nested:
        return None
    sizes = ingress.response_sizes
    if can_send_in_time(sizes, link, call.route, call.deadline - now):
        return None
    ingress.metrics.ingress.response_refusals.inc({"cause": CAUSE_LINK})
    backlog_ms = round(get_link_wait_seconds(sizes, link) * 1000)
    left_ms = round((call.deadline - now) * 1000)
    kilobytes = round(get_large_bytes(sizes, call.route) / 1000)
    detail = (
        f"a response of about {kilobytes} KB can't be sent before the deadline: "
        f"backlog of the link {backlog_ms} ms, time left {left_ms} ms"
    )
    return Failure(Verdict.NOT_RUN, Refusal.OVERLOADED, detail)
