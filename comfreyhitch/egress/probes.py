"""Probe the load of targets, within the configured budget."""

import gevent

from comfreyhitch.egress.state import Egress
from comfreyhitch.egress.views import apply_load_report, get_or_create_view
from comfreyhitch.utils.token_bucket import take_tokens
from comfreyhitch.wire.connections import call_peer
from comfreyhitch.wire.exceptions import PeerError

PROBE_TIMEOUT_SECONDS = 0.5
# A load report younger than this needs no probe.
MIN_REPORT_AGE_SECONDS = 0.5


def send_probes(egress: Egress) -> None:
    """Probe targets with old load reports, as the budget allows.

    Only targets of services that this daemon has called are probed.
    """
    now = egress.blackboard.clock.monotonic()
    rate = egress.blackboard.probe_rate
    if rate is not None and rate != egress.probe_budget.rate:
        egress.probe_budget.rate = rate
        egress.metrics.control.probe_budget.set({}, rate)
        egress.probe_budget.capacity = max(1.0, rate)
        egress.probe_budget.tokens = min(egress.probe_budget.tokens, egress.probe_budget.capacity)
    for address in _find_stale_addresses(egress, now):
        if not take_tokens(egress.probe_budget, now):
            return
        gevent.spawn(_probe, egress, address)


def _find_stale_addresses(egress: Egress, now: float) -> list[str]:
    views_by_address = egress.blackboard.views_by_address
    stale = []
    for service in {service for service, _ in egress.latency_seconds_by_route}:
        for candidate in egress.blackboard.candidates_by_service.get(service, []):
            view = get_or_create_view(views_by_address, candidate.address)
            if now - view.reported_at > MIN_REPORT_AGE_SECONDS:
                stale.append(candidate.address)
    egress.random.shuffle(stale)
    # Targets that are being avoided come first, since only a probe can tell that they recovered.
    stale.sort(key=lambda address: now >= views_by_address[address].avoid_until)
    return stale


def _probe(egress: Egress, address: str) -> None:
    view = get_or_create_view(egress.blackboard.views_by_address, address)
    egress.metrics.egress.probes.inc({})
    try:
        greeting = call_peer(
            egress.pool,
            address,
            PROBE_TIMEOUT_SECONDS,
            lambda peer: peer.greet(egress.blackboard.own_member.address),
        )
    except PeerError:
        return
    apply_load_report(view, greeting.load, egress.blackboard.clock.monotonic())
