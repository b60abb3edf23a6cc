"""Report the signals that reach a daemon, and how its stop goes on."""

import logging
import signal
from collections import Counter
from collections.abc import Iterable

from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.reloading import reload_settings
from comfreyhitch.egress.caller_connections import (
    CallerConnection,
    ConnectionPhase,
    describe_request,
)
from comfreyhitch.egress.caller_server import CallerServer
from comfreyhitch.egress.classify import AttemptRecord
from comfreyhitch.egress.stopping import StopPlan
from comfreyhitch.ingress.state import count_calls_in_progress
from comfreyhitch.telemetry.stops import SignalEffect, get_stop_ms
from comfreyhitch.wire.sockets import has_unread_bytes

logger = logging.getLogger(__name__)

# Lines about single requests, each time that requests are interrupted or cut.
MAX_REQUEST_LINES = 20


def handle_stop_signal(daemon: Daemon, number: signal.Signals) -> None:
    """Begin the stop of a daemon, unless it has begun, and report the signal."""
    record = daemon.egress.stop_record
    is_first = record.began_at is None
    record.signals += 1
    if is_first:
        record.began_at = daemon.clock.monotonic()
        daemon.stop_requested.set()
    _report_signal(daemon, number, SignalEffect.STOP if is_first else SignalEffect.NONE)


def handle_reload_signal(daemon: Daemon, number: signal.Signals) -> None:
    """Reload the settings of a daemon, and report the signal."""
    can_reload = daemon.read_settings is not None
    _report_signal(daemon, number, SignalEffect.RELOAD if can_reload else SignalEffect.NONE)
    reload_settings(daemon)


def _report_signal(daemon: Daemon, number: signal.Signals, effect: SignalEffect) -> None:
    record = daemon.egress.stop_record
    daemon.metrics.stops.signals.inc({"signal": number.name, "effect": effect.value})
    logger.info(
        "signal received",
        extra={
            "signal": number.name,
            "effect": effect.value,
            "stop_signals": record.signals,
            "stop_ms": get_stop_ms(record, daemon.clock.monotonic()),
        },
    )


def report_start(daemon: Daemon, caller_server: CallerServer, plan: StopPlan) -> None:
    """Log the times of a stop that starts, and what is at work."""
    now = daemon.clock.monotonic()
    connections = caller_server.connections
    phases = Counter(item.phase.value for item in connections.by_socket.values())
    logger.info(
        "draining",
        extra={
            "in_flight": daemon.ingress.queue.running,
            "calls": count_calls_in_progress(daemon.ingress),
            "requests": phases[ConnectionPhase.HANDLING.value],
            "connections": dict(phases),
            "serves_until_ms": _to_ms(plan.serves_until - now),
            "answers_until_ms": _to_ms(plan.answers_until - now),
            "ends_at_ms": _to_ms(plan.ends_at - now),
            "stop_ms": get_stop_ms(daemon.egress.stop_record, now),
        },
    )


def report_interrupted(daemon: Daemon, connections: list[CallerConnection]) -> None:
    """Count the requests that the stop interrupts, and log some of them, the oldest first."""
    daemon.egress.stop_record.interrupted += len(connections)
    _log_requests(daemon, "request is interrupted by the stop", connections)


def report_cut(daemon: Daemon, caller_server: CallerServer) -> None:
    """Count and log the requests whose connections end without a response."""
    cut = [item for item in caller_server.connections.by_socket.values() if _has_request(item)]
    daemon.egress.stop_record.cut += len(cut)
    _log_requests(daemon, "request is cut by the stop", cut)


def report_end(daemon: Daemon, *, is_drained: bool, claims_handed_on: int) -> None:
    """Log how a stop ended, and how the requests ended meanwhile."""
    record = daemon.egress.stop_record
    logger.info(
        "stopped",
        extra={
            "drained": is_drained,
            "answered": record.answered,
            "refused": dict(record.refused_by_reason),
            "failed": dict(record.failed_by_reason),
            "interrupted": record.interrupted,
            "cut": record.cut,
            "claims_handed_on": claims_handed_on,
            "stop_signals": record.signals,
            "stop_ms": get_stop_ms(record, daemon.clock.monotonic()),
        },
    )


def _has_request(connection: CallerConnection) -> bool:
    if connection.phase is ConnectionPhase.WAITING:
        return has_unread_bytes(connection.sock)
    return connection.phase is not ConnectionPhase.CLOSING


def _log_requests(daemon: Daemon, message: str, connections: Iterable[CallerConnection]) -> None:
    oldest_first = sorted(connections, key=lambda item: item.phase_since)
    for connection in oldest_first[:MAX_REQUEST_LINES]:
        logger.warning(message, extra=_describe_waiting_request(daemon, connection))
    if len(oldest_first) > MAX_REQUEST_LINES:
        left_out = len(oldest_first) - MAX_REQUEST_LINES
        logger.warning("further requests", extra={"of": message, "lines_left_out": left_out})


def _describe_waiting_request(daemon: Daemon, connection: CallerConnection) -> dict[str, object]:
    now = daemon.clock.monotonic()
    fields = describe_request(connection, now)
    fields["stop_ms"] = get_stop_ms(daemon.egress.stop_record, now)
    call = connection.call
    if call is None:
        return fields
    fields["age_ms"] = _to_ms(now - (call.arrived_at or connection.phase_since))
    fields["is_receiving"] = call.is_receiving
    fields["tries"] = [_describe_attempt(daemon, record, now) for record in call.attempt_records]
    return fields


def _describe_attempt(daemon: Daemon, record: AttemptRecord, now: float) -> dict[str, object]:
    fields = record.describe()
    if not record.outcome:
        fields["ms"] = _to_ms(now - record.sent_at)
    member = daemon.blackboard.members_by_address.get(record.target)
    # Null if the member is not known any more.
    fields["target_status"] = None if member is None else member.status.name.lower()
    fields["target_drains"] = None if member is None else member.draining
    return fields


def _to_ms(seconds: float) -> int:
    return round(seconds * 1000)
