"""Classify requests by a route table of hosts and paths."""

from dataclasses import dataclass

from result import Err, Ok, Result

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.verdicts import Failure, Headers, Refusal, Verdict
from comfreyhitch.egress.classify import DEFAULT_TENANT, OutgoingCall
from comfreyhitch.routing.matching import find_route
from comfreyhitch.routing.splitting import Splitter, choose_service
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.utils.hashing import compute_fingerprint

_CLASS_BY_PRIORITY = {0: TrafficClass.CRITICAL, 1: TrafficClass.NORMAL}


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Hold a request to classify; the timeout of its route may lower `timeout_seconds`."""

    method: str
    host: str
    path: str
    headers: Headers
    body: bytes
    request_id: str
    timeout_seconds: float
    arrived_at: float


def classify_routed(
    blackboard: Blackboard, splitter: Splitter, request: RoutedRequest
) -> Result[OutgoingCall, Failure]:
    """Return the call for a request, or the failure if the request is refused."""
    table = blackboard.route_table
    if table is None:
        detail = "no configuration is known yet"
        return Err(Failure(Verdict.NOT_RUN, Refusal.NO_CONFIGURATION, detail))
    route = find_route(table, request.host, request.path)
    if route is None:
        detail = f"no route of {request.host} in version {table.version}"
        return Err(Failure(Verdict.NOT_RUN, Refusal.NO_ROUTE, detail))
    limit_seconds = min(request.timeout_seconds, route.timeout.total_seconds())
    service = choose_service(splitter, route)
    return Ok(
        OutgoingCall(
            service=service,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            tenant=DEFAULT_TENANT,
            traffic_class=_CLASS_BY_PRIORITY.get(route.priority, TrafficClass.BACKGROUND),
            is_idempotent=route.is_idempotent,
            idempotency_key="",
            fingerprint=compute_fingerprint(route.name, request.method, request.path, request.body),
            route=route.name,
            attempt_number=1,
            deadline=request.arrived_at + limit_seconds,
            caller_request_id=request.request_id,
            max_attempts=route.max_attempts,
            table_version=table.version,
            arrived_at=request.arrived_at,
            latency_objective_seconds=route.latency_objective.total_seconds(),
            rank=route.priority,
        )
    )
