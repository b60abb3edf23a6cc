"""Delay requests while the target's instance is slower than usual."""

import gevent

from comfreyhitch.admission.pacing import POLL_INTERVAL_SECONDS, PaceDecision, decide_by_pace
from comfreyhitch.core.verdicts import Failure, Refusal, Verdict
from comfreyhitch.ingress.health import probe_target
from comfreyhitch.ingress.models import IncomingCall
from comfreyhitch.ingress.state import Ingress, reports_pace
from comfreyhitch.utils.token_bucket import take_tokens


def wait_for_usual_pace(ingress: Ingress, call: IncomingCall) -> Failure | None:
    """Wait for the usual pace within the call's patience; return a failure if it is not reached."""
    if call.patience_seconds is None or not reports_pace(ingress):
        return None
    clock = ingress.blackboard.clock
    started_at = clock.monotonic()
    while True:
        now = clock.monotonic()
        waited_seconds = now - started_at
        decision = decide_by_pace(ingress.pace, now, waited_seconds, call.patience_seconds)
        if decision is PaceDecision.RUN:
            return None
        if decision is PaceDecision.REFUSE:
            detail = f"instance is {ingress.pace.slowness:g} times as slow as usual"
            return Failure(Verdict.NOT_RUN, Refusal.TARGET_SLOW, detail)
        if decision is PaceDecision.READ:
            if not _refresh_pace(ingress):
                return None
            continue
        gevent.sleep(min(POLL_INTERVAL_SECONDS, max(0.001, call.patience_seconds - waited_seconds)))


def _refresh_pace(ingress: Ingress) -> bool:
    """Probe the pace if the probe budget allows it, and return whether there is a new reading."""
    previous = ingress.pace
    if ingress.pace_probe is None or ingress.pace_probe.ready():
        if not take_tokens(ingress.target_probe_budget, ingress.blackboard.clock.monotonic()):
            return False
        ingress.pace_probe = gevent.spawn(probe_target, ingress)
    ingress.pace_probe.join()
    return ingress.pace is not previous
