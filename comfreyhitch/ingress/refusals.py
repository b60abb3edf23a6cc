"""Decide whether the ingress refuses a call."""

from comfreyhitch.core.blackboard import get_version_refusal_reason, is_quarantined
from comfreyhitch.core.verdicts import Failure, Refusal, Verdict
from comfreyhitch.ingress.lifecycle import TargetState
from comfreyhitch.ingress.models import IncomingCall
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
    if call.deadline <= blackboard.clock.monotonic():
        return make_refusal(Refusal.DEADLINE, "deadline passed before the request was admitted")
    return None


def make_refusal(refusal: Refusal, detail: str) -> Failure:
    """Return the failure of a call that was refused before it ran."""
    return Failure(Verdict.NOT_RUN, refusal, detail)


def _make_state_refusal(state: TargetState) -> Failure:
    is_starting = state is TargetState.STARTING
    refusal = Refusal.TARGET_STARTING if is_starting else Refusal.DRAINING
    return make_refusal(refusal, f"target is {state.value}")
