"""Decide whether the ingress refuses a call."""

from comfreyhitch.admission.rate_limit import has_free_request
from comfreyhitch.core.blackboard import get_version_refusal_reason, is_quarantined
from comfreyhitch.core.verdicts import Failure, Refusal, Verdict
from comfreyhitch.ingress.lifecycle import TargetState
from comfreyhitch.ingress.models import IncomingCall
from comfreyhitch.ingress.response_limits import find_response_refusal
from comfreyhitch.ingress.state import Ingress
from comfreyhitch.utils.recent_set import is_recent


def find_refusal(ingress: Ingress, call: IncomingCall) -> Failure | None:
    """Return the failure with which the ingress refuses a call now, or None if it may run."""
    blackboard = ingress.blackboard
    own = blackboard.own_member
    if ingress.connections is None or call.service != own.service:
        return make_refusal(Refusal.WRONG_SERVICE, f"{own.address} has no target of {call.service}")
    if blackboard.is_draining or own.draining:
        return make_refusal(Refusal.DRAINING, f"target at {own.address} is draining")
    if ingress.lifecycle.state is not TargetState.READY:
        return _make_state_refusal(ingress.lifecycle.state)
    if ingress.header_names.leaving and not ingress.is_probed:
        # It may have said to an earlier process of this daemon that it is leaving.
        return make_refusal(Refusal.TARGET_STARTING, "target was not probed yet")
    if own.zone in blackboard.zones_out:
        return make_refusal(Refusal.ZONE_OUT, f"availability zone {own.zone} is out")
    if blackboard.is_stale:
        return make_refusal(Refusal.STALE_VIEW, "daemon was paused and has not synced yet")
    reason = get_version_refusal_reason(blackboard, own.service, own.version)
    if reason is not None:
        return make_refusal(Refusal.VERSION_VETOED, reason)
    if is_quarantined(blackboard, call.fingerprint) and not is_recent(
        ingress.completed_fingerprints, call.fingerprint
    ):
        return make_refusal(Refusal.QUARANTINED, "request killed several targets")
    now = blackboard.clock.monotonic()
    if not has_free_request(ingress.rate_limit, call.traffic_class, now):
        return make_limit_refusal(ingress)
    if call.deadline <= now:
        return make_refusal(Refusal.DEADLINE, "deadline passed before the request was admitted")
    return find_response_refusal(ingress, call, now)


def make_refusal(refusal: Refusal, detail: str) -> Failure:
    """Return the failure of a call that was refused before it ran."""
    return Failure(Verdict.NOT_RUN, refusal, detail)


def make_limit_refusal(ingress: Ingress) -> Failure:
    """Return the failure of a call beyond the rate limit that the target names."""
    limit = ingress.rate_limit.requests_per_second
    return make_refusal(Refusal.TARGET_LIMITED, f"target takes {limit:g} requests a second")


def _make_state_refusal(state: TargetState) -> Failure:
    is_starting = state is TargetState.STARTING
    refusal = Refusal.TARGET_STARTING if is_starting else Refusal.DRAINING
    return make_refusal(refusal, f"target is {state.value}")
