"""Probe the target's health path within the probe budget."""

import logging
from datetime import timedelta

from result import Err, Ok

from comfreyhitch.admission.pacing import PaceReading
from comfreyhitch.admission.throughput import record_pace
from comfreyhitch.core.headers import find_header
from comfreyhitch.core.verdicts import Outcome, Refusal, Response
from comfreyhitch.ingress.confirmation import (
    Confirmation,
    HeldHeartbeat,
    confirm,
    has_expired,
)
from comfreyhitch.ingress.lifecycle import (
    TargetState,
    apply_health_response,
    is_cold,
    mark_suspected,
)
from comfreyhitch.ingress.load import parse_load
from comfreyhitch.ingress.state import Ingress
from comfreyhitch.ingress.target import TargetRequest, call_target
from comfreyhitch.utils.token_bucket import take_tokens

logger = logging.getLogger(__name__)

DEFAULT_HEALTH_PATH = "/healthz"
HEALTH_TIMEOUT_SECONDS = 1.0
HEALTH_BODY_LIMIT_BYTES = 4096
OK_STATUS = 200
MAX_COLD_MS = 600_000
# Cold time of a target that names one which can't be read; each health response renews it.
UNREADABLE_COLD_MS = 3_000


def probe_target_if_due(ingress: Ingress) -> None:
    """Probe the target if a probe is due and the budget allows it."""
    now = ingress.blackboard.clock.monotonic()
    if ingress.connections is None or ingress.lifecycle.state is TargetState.GONE:
        return
    if not _is_urgent(ingress) and not _is_due(ingress, now):
        return
    if take_tokens(ingress.target_probe_budget, now):
        probe_target(ingress)


def probe_target(ingress: Ingress) -> Outcome:
    """Probe the target's health path once, and update the target's state from the result."""
    clock = ingress.blackboard.clock
    started_at = clock.monotonic()
    ingress.last_probed_at = started_at
    ingress.requests_since_reading = 0
    request = TargetRequest(
        method="GET",
        path=_get_health_path(ingress),
        headers=[("Host", "localhost")],
        body=b"",
        deadline=started_at + HEALTH_TIMEOUT_SECONDS,
        needs_new_connection=False,
        body_limit_bytes=HEALTH_BODY_LIMIT_BYTES,
        is_probe=True,
    )
    connections = ingress.connections
    outcome = call_target(connections, request, None, lambda: None)
    now = clock.monotonic()
    ingress.metrics.ingress.target_probes.inc({})
    ingress.metrics.ingress.target_probe_seconds.add({}, now - started_at)
    is_down = outcome.is_err() and outcome.err_value.refusal is Refusal.TARGET_UNREACHABLE
    ingress.blackboard.is_target_healthy = not is_down
    # Meanwhile another target may have been attached.
    ingress.is_probed = ingress.is_probed or ingress.connections is connections
    match outcome:
        case Ok(response):
            _apply_response(ingress, response, now)
        case Err(_):
            mark_suspected(ingress.lifecycle)
    return outcome


def report_if_crashed(ingress: Ingress, fingerprint: str) -> None:
    """Report a request as the cause of a crash if a probe shows that the target has died."""
    instance_id = ingress.lifecycle.instance_id
    if ingress.connections is None:
        return
    match probe_target(ingress):
        case Ok(response):
            reported_id = _get_instance_id(ingress, response)
            is_dead = bool(instance_id and reported_id) and reported_id != instance_id
        case Err(failure):
            is_dead = failure.refusal is Refusal.TARGET_UNREACHABLE
    if is_dead:
        ingress.report_crash(fingerprint)


def _is_urgent(ingress: Ingress) -> bool:
    """Return whether only a probe can tell if and how many requests the target may get."""
    if ingress.header_names.leaving and not ingress.is_probed:
        return True
    if ingress.warm_up_limiter is None:
        return False
    if ingress.held_heartbeat is not None:
        return True
    return ingress.lifecycle.is_suspected or ingress.lifecycle.state is TargetState.STARTING


def _is_due(ingress: Ingress, now: float) -> bool:
    interval_seconds = ingress.settings.target_probe_interval.total_seconds()
    return now - ingress.last_probed_at >= interval_seconds


def _get_health_path(ingress: Ingress) -> str:
    table = ingress.blackboard.route_table
    if table is None:
        return DEFAULT_HEALTH_PATH
    profile = table.services_by_name.get(ingress.blackboard.own_member.service)
    return DEFAULT_HEALTH_PATH if profile is None else profile.health_path


def _apply_response(ingress: Ingress, response: Response, now: float) -> None:
    instance_id = _get_instance_id(ingress, response)
    if ingress.header_names.instance and not instance_id:
        if ingress.names_instance:
            logger.warning("health path names no instance", extra={"status": response.status})
        ingress.names_instance = False
        return
    ingress.names_instance = True
    is_healthy = response.status == OK_STATUS
    cold_duration = _parse_cold_duration(ingress, response)
    update_pace(ingress, response, now)
    was_cold = is_cold(ingress.lifecycle, now)
    apply_health_response(ingress.lifecycle, instance_id, is_healthy, cold_duration, now)
    if not was_cold and is_cold(ingress.lifecycle, now) and ingress.warm_up_limiter is not None:
        # The requests that it has just got at its usual rate count as those of its first moment.
        ingress.warm_up_limiter.bucket.tokens = 0.0
        ingress.warm_up_limiter.bucket.updated_at = now
    if ingress.held_heartbeat is not None:
        _check_held_heartbeat(ingress, ingress.held_heartbeat, instance_id, is_healthy, now)


def _check_held_heartbeat(
    ingress: Ingress, held: HeldHeartbeat, instance_id: str, is_healthy: bool, now: float
) -> None:
    """Apply a held heartbeat that a health response confirms, or drop one that it contradicts."""
    confirmation = confirm(held, instance_id, is_healthy)
    if confirmation is Confirmation.CONFIRMED:
        ingress.held_heartbeat = None
        ingress.on_confirmed(held.heartbeat)
    elif confirmation is Confirmation.CONTRADICTED or has_expired(held, now):
        ingress.held_heartbeat = None
        logger.warning(
            "unconfirmed heartbeat is dropped",
            extra={
                "instance_id": held.heartbeat.instance_id,
                "sequence": held.heartbeat.sequence,
                "responding_instance_id": instance_id,
                "is_healthy": is_healthy,
            },
        )


def update_pace(ingress: Ingress, response: Response, now: float) -> None:
    """Update the target's pace from the load header of a response, if it reports one."""
    text = find_header(response.headers, ingress.header_names.load)
    load = parse_load(text) if text else None
    if load is not None and load.slowness is not None:
        ingress.pace = PaceReading(load.slowness, now)
        if ingress.throughput is not None:
            record_pace(ingress.throughput, load.slowness, now)


def _get_instance_id(ingress: Ingress, response: Response) -> str:
    return find_header(response.headers, ingress.header_names.instance)


def _parse_cold_duration(ingress: Ingress, response: Response) -> timedelta | None:
    text = find_header(response.headers, ingress.header_names.cold_ms)
    if not text:
        return None
    if not text.isascii() or not text.isdigit() or len(text) > len(str(MAX_COLD_MS)):
        # A target that names a cold time which can't be read is not taken for a warm one.
        return timedelta(milliseconds=UNREADABLE_COLD_MS)
    return timedelta(milliseconds=min(int(text), MAX_COLD_MS))
