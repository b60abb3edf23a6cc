"""Determine the service, route, tenant and deadline of a caller's request."""

from dataclasses import dataclass, field
from datetime import timedelta

from result import Err, Ok, Result

from comfreyhitch.accounts.models import DEFAULT_TENANT
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.headers import (
    HEADER_ATTEMPT,
    HEADER_IDEMPOTENCY_KEY,
    HEADER_SERVICE,
    HEADER_TENANT,
    HEADER_TIMEOUT,
)
from comfreyhitch.core.verdicts import Body, Failure, Headers, Refusal, Verdict
from comfreyhitch.sections.models import (
    IDEMPOTENT_METHODS,
    RoutePolicy,
    ServicePolicy,
    TrafficClass,
)
from comfreyhitch.utils.hashing import compute_fingerprint

DEFAULT_ROUTE = "/"
MAX_NAME_LENGTH = 64
MAX_ATTEMPTS = 4
MAX_KEY_LENGTH = 255
MAX_TIMEOUT = timedelta(seconds=60)
SERVICE_FIELD = HEADER_SERVICE.lower()
TENANT_FIELD = HEADER_TENANT.lower()
TIMEOUT_FIELD = HEADER_TIMEOUT.lower()
ATTEMPT_FIELD = HEADER_ATTEMPT.lower()
KEY_FIELD = HEADER_IDEMPOTENCY_KEY.lower()
CONTROL_HEADERS = frozenset({SERVICE_FIELD, TIMEOUT_FIELD, ATTEMPT_FIELD})


@dataclass(slots=True)
class AttemptRecord:
    """Hold one attempt of a call, as it is logged."""

    target: str
    zone: str
    version: str
    # Estimated requests in flight at the target and age of its last load report, both at the
    # time of the choice.
    in_flight: float
    report_age_seconds: float
    sent_at: float
    is_hedge: bool = False
    seconds: float = 0.0
    # Empty while the answer is awaited.
    outcome: str = ""

    def describe(self) -> dict[str, object]:
        """Return the log fields of this attempt."""
        fields: dict[str, object] = {
            "target": self.target,
            "zone": self.zone,
            "version": self.version,
            "in_flight": round(self.in_flight, 1),
            "report_age_ms": round(self.report_age_seconds * 1000),
            "ms": round(self.seconds * 1000, 1),
            "outcome": self.outcome,
        }
        if self.is_hedge:
            fields["is_hedge"] = True
        return fields


@dataclass(slots=True)
class OutgoingCall:
    """Hold a caller's request; `deadline` is in monotonic seconds."""

    service: str
    method: str
    path: str
    headers: Headers
    body: Body
    # Name of the client account, or `NO_ACCOUNT` on a public route where accounts are in force.
    tenant: str
    traffic_class: TrafficClass
    is_idempotent: bool
    idempotency_key: str
    fingerprint: str
    route: str
    attempt_number: int
    deadline: float
    caller_request_id: str = ""
    # Attempts that are refused before they reach a target do not count.
    max_attempts: int = MAX_ATTEMPTS
    table_version: int = 0
    # Monotonic seconds at which the caller's request began to arrive.
    arrived_at: float = 0.0
    # Response time objective of the route; None if the configuration sets none.
    latency_objective_seconds: float | None = None
    # How long an ingress may delay the request while its instance is slow; None to run at once.
    patience_seconds: float | None = None
    # Rank among all requests; 0 is the most urgent. None if the configuration ranks no requests.
    rank: int | None = None
    # Whether the target of this daemon makes the request while it runs another one.
    is_nested: bool = False
    # Whether the caller sends the request again at the time that an earlier refusal named.
    has_returned: bool = False
    # Bytes of the response that are counted as held while the call is routed.
    expected_bytes: int = 0
    # Whether the answer to an attempt is being received.
    is_receiving: bool = False
    attempt_records: list[AttemptRecord] = field(default_factory=list)
    last_request_id: str = ""
    last_version: str = ""


def classify(
    blackboard: Blackboard,
    method: str,
    path: str,
    headers: Headers,
    body: Body,
    default_timeout: timedelta,
) -> Result[OutgoingCall, Failure]:
    """Return the call for a request, or the failure if the request is refused."""
    values_by_field = {name.lower(): value for name, value in headers}
    service = find_service(blackboard, values_by_field)
    if service is None:
        detail = "name a service by Comfreyhitch-Service or by the Host header"
        return Err(Failure(Verdict.NOT_RUN, Refusal.UNKNOWN_SERVICE, detail))
    timeout_and_attempt = _read_timeout_and_attempt(values_by_field, default_timeout)
    if isinstance(timeout_and_attempt, Err):
        return timeout_and_attempt
    timeout_seconds, attempt_number = timeout_and_attempt.ok_value
    key = values_by_field.get(KEY_FIELD, "")
    if len(key) > MAX_KEY_LENGTH:
        return Err(
            _make_bad_request(
                f"{HEADER_IDEMPOTENCY_KEY} is longer than {MAX_KEY_LENGTH} characters"
            )
        )
    policy = blackboard.services_by_name.get(service)
    route = find_route(policy, method, path)
    return Ok(
        OutgoingCall(
            service=service,
            method=method,
            path=path,
            headers=headers,
            body=body,
            tenant=values_by_field.get(TENANT_FIELD, DEFAULT_TENANT)[:MAX_NAME_LENGTH],
            traffic_class=TrafficClass.NORMAL if route is None else route.traffic_class,
            is_idempotent=is_idempotent(route, method),
            idempotency_key=key,
            fingerprint=compute_fingerprint(service, method, path, body),
            route=DEFAULT_ROUTE if route is None else route.path,
            attempt_number=attempt_number,
            deadline=blackboard.clock.monotonic() + timeout_seconds,
        )
    )


def find_service(blackboard: Blackboard, values_by_field: dict[str, str]) -> str | None:
    """Return the service named by header, configured host or first label of the host, or None."""
    named = values_by_field.get(SERVICE_FIELD)
    if named is not None:
        return named if _is_known_service(blackboard, named) else None
    host = values_by_field.get("host", "").partition(":")[0].lower()
    configured = blackboard.service_names_by_host.get(host)
    if configured is not None:
        return configured
    label = host.partition(".")[0]
    return label if _is_known_service(blackboard, label) else None


def find_route(policy: ServicePolicy | None, method: str, path: str) -> RoutePolicy | None:
    """Return the matching route with the longest path, or None."""
    if policy is None:
        return None
    matching = [
        route
        for route in policy.routes
        if _is_under_prefix(path, route.path) and (not route.methods or method in route.methods)
    ]
    return max(matching, key=lambda route: len(route.path), default=None)


def is_idempotent(route: RoutePolicy | None, method: str) -> bool:
    """Return whether a request may run more than once without harm."""
    if route is not None and route.idempotent is not None:
        return route.idempotent
    return method in IDEMPOTENT_METHODS


def _is_under_prefix(path: str, prefix: str) -> bool:
    path = path.partition("?")[0]
    if prefix.endswith("/"):
        return path.startswith(prefix)
    return path == prefix or path.startswith(prefix + "/")


def _is_known_service(blackboard: Blackboard, service: str) -> bool:
    return service in blackboard.services_by_name or service in blackboard.candidates_by_service


def _read_timeout_and_attempt(
    values_by_field: dict[str, str], default_timeout: timedelta
) -> Result[tuple[float, int], Failure]:
    timeout_text = values_by_field.get(TIMEOUT_FIELD)
    attempt_text = values_by_field.get(ATTEMPT_FIELD, "1")
    timeout_seconds = default_timeout.total_seconds()
    if timeout_text is not None:
        if not _is_short_decimal(timeout_text):
            return Err(
                _make_bad_request(f"{HEADER_TIMEOUT} is not a count of ms: {timeout_text!r}")
            )
        timeout_seconds = int(timeout_text) / 1000
    if not _is_short_decimal(attempt_text) or int(attempt_text) < 1:
        return Err(_make_bad_request(f"{HEADER_ATTEMPT} is not a count: {attempt_text!r}"))
    return Ok((min(timeout_seconds, MAX_TIMEOUT.total_seconds()), int(attempt_text)))


def _is_short_decimal(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 9


def _make_bad_request(detail: str) -> Failure:
    return Failure(Verdict.NOT_RUN, Refusal.BAD_REQUEST, detail)
