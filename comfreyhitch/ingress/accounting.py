"""Record metrics and log entries for the calls that the ingress has handled."""

from comfreyhitch.core.headers import find_header
from comfreyhitch.core.verdicts import Outcome, Verdict, describe_outcome
from comfreyhitch.ingress.models import IncomingCall
from comfreyhitch.ingress.state import Ingress
from comfreyhitch.telemetry.decisions import admit_log_line, log_decision
from comfreyhitch.telemetry.metrics import observe_call

MIN_SERVER_ERROR_STATUS = 500


def record_call(ingress: Ingress, call: IncomingCall, outcome: Outcome) -> None:
    """Record a handled call in the metrics, and log its outcome within the log's rate limit."""
    _count_call(ingress, call, outcome)
    is_failure = outcome.is_err() or outcome.ok_value.status >= MIN_SERVER_ERROR_STATUS
    if not admit_log_line(ingress.decisions, is_failure=is_failure):
        return
    now = ingress.blackboard.clock.monotonic()
    lifecycle = ingress.lifecycle
    fields: dict[str, object] = {
        "caller_request_id": find_header(call.headers, ingress.header_names.request_id),
        "request_id": call.request_id,
        "service": call.service,
        "route": call.route,
        "attempt": call.attempt_number,
        "outcome": describe_outcome(outcome),
        "ms": round((now - call.arrived_at) * 1000, 1),
        "waited_ms": round((call.sent_at - call.arrived_at) * 1000, 1) if call.sent_at else None,
        "slowness": call.pace_at_send and call.pace_at_send.slowness,
        "pace_age_ms": call.pace_at_send
        and round((call.sent_at - call.pace_at_send.read_at) * 1000),
        "running": ingress.queue.running,
        "waiting": len(ingress.queue.waiting),
        "limit": ingress.queue.limit.limit,
        "instance_id": lifecycle.instance_id,
        "target_state": lifecycle.state.value,
        "heartbeat_age_ms": round((now - lifecycle.last_heartbeat_at) * 1000),
    }
    if outcome.is_err():
        fields["detail"] = outcome.err_value.detail
    if call.refusal_fields is not None:
        fields.update(call.refusal_fields)
    log_decision(ingress.decisions, "call failed" if is_failure else "call", fields)


def _describe_pace(call: IncomingCall) -> dict[str, object]:
    reading = call.pace_at_send
    if reading is None:
        return {}
    age_seconds = call.sent_at - reading.read_at
    return {"slowness": reading.slowness, "pace_age_ms": round(age_seconds * 1000)}


def _count_call(ingress: Ingress, call: IncomingCall, outcome: Outcome) -> None:
    if outcome.is_err() and outcome.err_value.verdict is Verdict.NOT_RUN:
        ingress.metrics.ingress.refusals.inc({"cause": outcome.err_value.refusal.value})
        return
    seconds = ingress.blackboard.clock.monotonic() - call.arrived_at
    observe_call(ingress.metrics, call.tenant, call.traffic_class, seconds)
