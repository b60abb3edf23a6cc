"""Handle the announcements, heartbeats and departures of targets."""

import logging

from comfreyhitch.admission.queue import refuse_all_waiting
from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.ingress.confirmation import (
    hold_heartbeat,
    is_persistent,
    needs_confirmation,
)
from comfreyhitch.ingress.lifecycle import (
    Heartbeat,
    HeartbeatResult,
    TargetState,
    apply_heartbeat,
    record_departure,
)
from comfreyhitch.ingress.state import attach_target, set_slots
from comfreyhitch.membership.detector import publish_own_record
from comfreyhitch.telemetry.stops import get_stop_ms

logger = logging.getLogger(__name__)

DEPARTING_STATES = frozenset({TargetState.DRAINING, TargetState.GONE})


def handle_announcement(
    daemon: Daemon, heartbeat: Heartbeat, host: str, port: int
) -> HeartbeatResult:
    """Apply a heartbeat of the target, and publish what changed to the other daemons."""
    ingress = daemon.ingress
    result = apply_heartbeat(ingress.lifecycle, heartbeat, daemon.clock.monotonic())
    if result is HeartbeatResult.STALE:
        logger.info(
            "heartbeat is stale; ignoring it",
            extra={"instance_id": heartbeat.instance_id, "sequence": heartbeat.sequence},
        )
        return result
    if result is HeartbeatResult.REPLACED or _has_moved(daemon, host, port):
        attach_target(ingress, host, port, heartbeat.slots)
    if result is not HeartbeatResult.UNCHANGED:
        set_slots(ingress, heartbeat.slots)
        _publish_target_state(daemon, heartbeat.service)
    return result


def handle_heartbeat(daemon: Daemon, heartbeat: Heartbeat, host: str, port: int) -> HeartbeatResult:
    """Apply a heartbeat, or hold it until the health path shows that its sender has not left."""
    ingress = daemon.ingress
    now = daemon.clock.monotonic()
    if not needs_confirmation(ingress.lifecycle, heartbeat, now):
        return handle_announcement(daemon, heartbeat, host, port)
    is_first = ingress.held_heartbeat is None
    ingress.held_heartbeat = held = hold_heartbeat(ingress.held_heartbeat, heartbeat, now)
    fields = {"instance_id": heartbeat.instance_id, "sequence": heartbeat.sequence}
    if is_persistent(held):
        logger.warning("heartbeats go on; applying one that is not confirmed", extra=fields)
        ingress.held_heartbeat = None
        return handle_announcement(daemon, heartbeat, host, port)
    if is_first:
        logger.info("heartbeat waits until the health path confirms it", extra=fields)
    return HeartbeatResult.HELD


def handle_confirmed_heartbeat(daemon: Daemon, heartbeat: Heartbeat) -> None:
    """Apply a held heartbeat that the health path has confirmed."""
    settings = daemon.settings
    handle_announcement(daemon, heartbeat, settings.target_address_host, settings.target_port)


def handle_departure(daemon: Daemon, instance_id: str) -> bool:
    """Stop new requests to a departing target, and return whether it is this daemon's target."""
    held = daemon.ingress.held_heartbeat
    if held is not None and held.heartbeat.instance_id == instance_id:
        daemon.ingress.held_heartbeat = None
    if not record_departure(daemon.ingress.lifecycle, instance_id, daemon.clock.monotonic()):
        return False
    _publish_target_state(daemon, daemon.blackboard.own_member.service)
    return True


def handle_leaving(daemon: Daemon) -> None:
    """Stop new requests to a target that says in its responses that it is leaving."""
    _publish_target_state(daemon, daemon.blackboard.own_member.service)


def _has_moved(daemon: Daemon, host: str, port: int) -> bool:
    connections = daemon.ingress.connections
    return connections is None or (connections.host, connections.port) != (host, port)


def _describe_target_state(daemon: Daemon, service: str) -> dict[str, object]:
    lifecycle = daemon.ingress.lifecycle
    fields: dict[str, object] = {
        "service": service,
        "version": lifecycle.version,
        "instance_id": lifecycle.instance_id,
        "sequence": lifecycle.sequence,
        "state": lifecycle.state.value,
    }
    stop_ms = get_stop_ms(daemon.egress.stop_record, daemon.clock.monotonic())
    if stop_ms is not None:
        fields["stop_ms"] = stop_ms
    return fields


def _publish_target_state(daemon: Daemon, service: str) -> None:
    lifecycle = daemon.ingress.lifecycle
    is_departing = lifecycle.state in DEPARTING_STATES
    if is_departing:
        refuse_all_waiting(daemon.ingress.queue, Refusal.DRAINING)
    logger.info("target's state", extra=_describe_target_state(daemon, service))
    # A daemon that has restarted knows no slots until the target's first heartbeat.
    slots = lifecycle.slots or daemon.blackboard.own_member.slots
    publish_own_record(
        daemon.detector,
        service=service,
        version=lifecycle.version,
        slots=slots,
        # A daemon that stops drains, whatever its target does.
        draining=is_departing or daemon.blackboard.is_draining,
    )
