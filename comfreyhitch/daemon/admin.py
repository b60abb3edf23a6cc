"""HTTP server for operators, metrics, health, and announcements of the target."""

import json
import logging
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import asdict
from typing import Annotated

import msgspec
from gevent.pywsgi import WSGIServer
from msgspec import Meta, Struct

from comfreyhitch.admission.saturation import get_relative_times
from comfreyhitch.conf.models import Name, Port, Settings
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.egress.views import AVOIDANCE_CAUSES, get_avoidance_cause
from comfreyhitch.ingress.load_reports import (
    get_backlog_wait_seconds,
    is_accepting,
    make_load_report,
)
from comfreyhitch.ingress.state import Ingress
from comfreyhitch.replication.facts import FactStore
from comfreyhitch.telemetry.metrics import Metrics, render_metrics
from comfreyhitch.wire.request_bodies import BoundedServer

logger = logging.getLogger(__name__)

MAX_ANNOUNCEMENT_BYTES = 4096
JSON_TYPE = "application/json"

StartResponse = Callable[[str, list[tuple[str, str]]], object]
AdminResponse = tuple[str, str, bytes]


class Announcement(Struct, frozen=True, forbid_unknown_fields=True):
    """Validate the announcement in which a target describes itself."""

    service: Name
    version: Name
    port: Port
    slots: Annotated[int, Meta(ge=1, le=10_000)] = 10
    incarnation: Annotated[str, Meta(max_length=128)] = ""
    draining: bool = False


def make_admin_server(
    settings: Settings,
    blackboard: Blackboard,
    ingress: Ingress,
    store: FactStore,
    metrics: Metrics,
    announce: Callable[[Announcement], None],
    get_usage_status: Callable[[], dict[str, object] | None] = lambda: None,
) -> WSGIServer:
    """Return the server on the admin port; `get_usage_status` gives None without reports."""

    def get_metrics() -> AdminResponse:
        _update_gauges(blackboard, ingress, metrics)
        _update_usage_gauges(get_usage_status(), metrics)
        content, content_type = render_metrics(metrics)
        return "200 OK", content_type, content

    def get_readiness() -> AdminResponse:
        is_ready = not (
            blackboard.is_draining or blackboard.is_stale or ingress.claims.is_recovering
        )
        status = "200 OK" if is_ready else "503 Service Unavailable"
        return _make_json(status, {"ready": is_ready, "accepting": is_accepting(ingress)})

    def get_status() -> dict[str, object]:
        usage = get_usage_status()
        status = _make_status(blackboard, ingress, store)
        return status if usage is None else {**status, "usage": usage}

    handlers_by_path: dict[str, Callable[[], AdminResponse]] = {
        "/metrics": get_metrics,
        "/healthz": lambda: _make_json("200 OK", {"healthy": True}),
        "/readyz": get_readiness,
        "/v1/members": lambda: _make_json("200 OK", _list_members(blackboard)),
        "/v1/status": lambda: _make_json("200 OK", get_status()),
    }

    def application(environ: dict[str, object], start_response: StartResponse) -> Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        if method == "PUT" and path == "/v1/announcement":
            status, content_type, body = _handle_announcement(environ, announce)
        elif method == "GET" and path in handlers_by_path:
            status, content_type, body = handlers_by_path[path]()
        else:
            known = sorted([*handlers_by_path, "/v1/announcement (PUT)"])
            status, content_type, body = _make_json("404 Not Found", {"paths": known})
        start_response(status, [("Content-Type", content_type)])
        return [body]

    address = (str(settings.host), settings.admin_port)
    server = BoundedServer(address, application, log=None, error_log=logger)
    server.get_body_limit = lambda: MAX_ANNOUNCEMENT_BYTES
    server.record_cut_off = _log_cut_off
    return server


def _log_cut_off(reason: str) -> None:
    logger.warning("rest of a request was not read", extra={"reason": reason})


def _handle_announcement(
    environ: dict[str, object], announce: Callable[[Announcement], None]
) -> AdminResponse:
    try:
        body = environ["wsgi.input"].read(MAX_ANNOUNCEMENT_BYTES)
        announcement = msgspec.json.decode(body, type=Announcement)
    except (OSError, msgspec.DecodeError) as error:
        return _make_json("400 Bad Request", {"errors": [str(error)]})
    announce(announcement)
    return _make_json("200 OK", {"announced": announcement.service})


def _make_json(status: str, content: object) -> AdminResponse:
    return status, JSON_TYPE, json.dumps(content, default=str).encode() + b"\n"


def _list_members(blackboard: Blackboard) -> list[dict[str, object]]:
    members = sorted(blackboard.members_by_address.values(), key=lambda item: item.address)
    return [{**asdict(member), "status": member.status.name.lower()} for member in members]


def _make_status(blackboard: Blackboard, ingress: Ingress, store: FactStore) -> dict[str, object]:
    load = make_load_report(ingress)
    return {
        "address": blackboard.own_member.address,
        "boot_id": blackboard.own_member.boot_id,
        "sections": {
            name: section.generation for name, section in blackboard.sections_by_name.items()
        },
        "zones_out": sorted(blackboard.zones_out),
        "accounts": _describe_accounts(blackboard),
        "rollouts": [asdict(status) for status in blackboard.rollout_statuses_by_id.values()],
        "vetoes": [asdict(veto) for veto in blackboard.vetoes_by_rollout.values()],
        "quarantined": sorted(blackboard.crash_reports_by_fingerprint),
        "candidates": {
            service: [item.address for item in candidates]
            for service, candidates in blackboard.candidates_by_service.items()
        },
        "load": {"in_flight": load.in_flight, "queued": load.queued, "limit": load.limit},
        "facts": len(store.facts_by_id),
        "stale": blackboard.is_stale,
        "draining": blackboard.is_draining,
    }


def _describe_accounts(blackboard: Blackboard) -> dict[str, int] | None:
    """Return how many client accounts and keys are in force, or None without accounts."""
    table = blackboard.route_table
    if table is None or table.accounts is None:
        return None
    return {"count": len(table.accounts.by_name), "keys": len(table.accounts.digests)}


def _update_gauges(blackboard: Blackboard, ingress: Ingress, metrics: Metrics) -> None:
    load = make_load_report(ingress)
    metrics.ingress.limit.set({}, load.limit)
    if ingress.throughput is not None:
        samples_by_concurrency = ingress.throughput.samples_by_concurrency
        for concurrency, time in get_relative_times(samples_by_concurrency).items():
            metrics.ingress.relative_time.set({"concurrency": str(concurrency)}, time)
    metrics.ingress.in_flight.set({}, load.in_flight)
    metrics.ingress.queued.set({}, load.queued)
    metrics.ingress.bytes_held.set({}, blackboard.held_bytes.total)
    if ingress.link is not None:
        metrics.ingress.link_backlog_bytes.set({}, ingress.link.backlog_bytes)
        metrics.ingress.link_backlog_seconds.set({}, get_backlog_wait_seconds(ingress))
    counts: dict[str, int] = {}
    for member in blackboard.members_by_address.values():
        counts[member.status.name.lower()] = counts.get(member.status.name.lower(), 0) + 1
    for status, count in counts.items():
        metrics.control.members.set({"status": status}, count)
    for name, section in blackboard.sections_by_name.items():
        metrics.control.section_generation.set({"section": name}, section.generation)
    for service, shares in blackboard.version_shares_by_service.items():
        for version, share in shares.items():
            metrics.control.rollout_share.set({"service": service, "version": version}, share)
    views = blackboard.views_by_address.values()
    now = blackboard.clock.monotonic()
    causes = Counter(get_avoidance_cause(view, now) for view in views)
    for cause in AVOIDANCE_CAUSES:
        metrics.egress.targets_avoided.set({"cause": cause}, causes[cause])
    metrics.control.vetoes.set({}, len(blackboard.vetoes_by_rollout))
    table = blackboard.route_table
    unknown = [] if table is None else table.list_routes_of_unknown_kind()
    metrics.control.routes_of_unknown_kind.set({}, len(unknown))
    accounts = None if table is None else table.accounts
    metrics.control.accounts_in_force.set({}, int(accounts is not None))
    metrics.control.accounts.set({}, 0 if accounts is None else len(accounts.by_name))
    metrics.control.account_keys.set({}, 0 if accounts is None else len(accounts.digests))


def _update_usage_gauges(status: dict[str, object] | None, metrics: Metrics) -> None:
    if status is None:
        return
    metrics.usage.is_holder.set({}, int(status["is_holder"]))
    if "token" in status:
        metrics.usage.token.set({}, status["token"])
        metrics.usage.last_window_age_seconds.set({}, status["last_window_age_seconds"])
