"""Classify requests by a route table of hosts and paths."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from comfreyhitch.accounts.authentication import KeyFault, authenticate, replace_credentials
from comfreyhitch.accounts.models import DEFAULT_TENANT, NO_ACCOUNT, Account
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.verdicts import Body, Failure, Headers, Refusal, Verdict
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.routing.matching import find_route
from comfreyhitch.routing.models import Route, RouteTable
from comfreyhitch.routing.splitting import Splitter, choose_service
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.utils.hashing import compute_fingerprint

_CLASS_BY_PRIORITY = {0: TrafficClass.CRITICAL, 1: TrafficClass.NORMAL}
_DETAIL_BY_KEY_FAULT = {
    KeyFault.MISSING: "send a key as Authorization: Bearer KEY",
    KeyFault.MALFORMED: "Authorization is not one value of the form Bearer KEY",
    KeyFault.UNKNOWN: "no account holds the key",
}


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Hold a request to classify; the timeout of its route may lower `timeout_seconds`.

    `account_header` is the header in which a target gets the name of the client account.
    """

    method: str
    host: str
    path: str
    headers: Headers
    body: Body
    request_id: str
    timeout_seconds: float
    arrived_at: float
    account_header: str


def classify_routed(
    blackboard: Blackboard,
    splitter: Splitter,
    request: RoutedRequest,
    count_key_fault: Callable[[KeyFault], None],
) -> Result[OutgoingCall, Failure]:
    """Return the call for a request, or the failure if the request is refused.

    The key is checked by the same table that routes the request.
    """
    table = blackboard.route_table
    if table is None:
        detail = "no configuration is known yet"
        return Err(Failure(Verdict.NOT_RUN, Refusal.NO_CONFIGURATION, detail))
    route = find_route(table, request.host, request.path)
    if route is None:
        detail = f"no route of {request.host} in version {table.version}"
        return Err(Failure(Verdict.NOT_RUN, Refusal.NO_ROUTE, detail))
    authenticated = _find_account(table, route, request.headers)
    if authenticated.is_err():
        fault = authenticated.err_value
        count_key_fault(fault)
        detail = f"{_DETAIL_BY_KEY_FAULT[fault]} (version {table.version})"
        return Err(Failure(Verdict.NOT_RUN, Refusal.UNAUTHENTICATED, detail))
    account = authenticated.ok_value
    headers = request.headers
    if table.accounts is not None:
        headers = replace_credentials(headers, account, request.account_header)
    priority = _get_priority(route, account)
    limit_seconds = min(request.timeout_seconds, route.timeout.total_seconds())
    service = choose_service(splitter, route)
    return Ok(
        OutgoingCall(
            service=service,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            tenant=_get_tenant(table, account),
            traffic_class=_CLASS_BY_PRIORITY.get(priority, TrafficClass.BACKGROUND),
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
            rank=priority,
        )
    )


def _find_account(
    table: RouteTable, route: Route, headers: Headers
) -> Result[Account | None, KeyFault]:
    """Return the account of a request, or None if it needs none."""
    if table.accounts is None or route.is_public:
        return Ok(None)
    return authenticate(table.accounts, headers)


def _get_tenant(table: RouteTable, account: Account | None) -> str:
    if account is not None:
        return account.name
    return DEFAULT_TENANT if table.accounts is None else NO_ACCOUNT


def _get_priority(route: Route, account: Account | None) -> int:
    if account is None or account.priority is None:
        return route.priority
    return account.priority
