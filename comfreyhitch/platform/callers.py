"""The platform's interface for callers: how requests are read, and which headers are set."""

from datetime import timedelta

from result import Err, Result

from comfreyhitch.accounts.authentication import KeyFault
from comfreyhitch.core.verdicts import Failure, Headers, Refusal, Verdict
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.interface import (
    NOT_FORWARDED_HEADERS,
    CallerInterface,
    CallerRequest,
    drop_headers,
    get_retry_after,
    read_timeout_seconds,
)
from comfreyhitch.egress.nested_calls import NestedCallDetector, observe_arrival
from comfreyhitch.egress.routed_calls import RoutedRequest, classify_routed
from comfreyhitch.egress.state import Egress
from comfreyhitch.platform.names import (
    HEADER_ACCOUNT,
    HEADER_CALLER_SERVICE,
    HEADER_DEADLINE_MS,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
    PLATFORM_TARGET_HEADERS,
)
from comfreyhitch.routing.splitting import Splitter

MAX_DEADLINE_MS = 600_000
KEY_CHALLENGE = ("WWW-Authenticate", "Bearer")
# Headers that this daemon sets itself; values from a caller are dropped.
RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        HEADER_CALLER_SERVICE,
        HEADER_DEADLINE_MS,
        PLATFORM_TARGET_HEADERS.expected_instance,
    )
)


def make_platform_interface(egress: Egress) -> CallerInterface:
    """Return the interface in which the host and path of a request select the service."""
    splitter = Splitter(egress.random)
    blackboard = egress.blackboard
    detector = None
    if egress.settings.overload_control == "cost":
        detector = NestedCallDetector(blackboard.target_activity, blackboard.clock.monotonic())

    def classify_request(request: CallerRequest) -> Result[OutgoingCall, Failure]:
        values = {name.lower(): value for name, value in request.headers}
        deadline_text = values.get(HEADER_DEADLINE_MS.lower(), "")
        timeout_seconds = egress.settings.default_timeout.total_seconds()
        if deadline_text:
            if not deadline_text.isascii() or not deadline_text.isdigit():
                detail = f"{HEADER_DEADLINE_MS} is not a count: {deadline_text!r}"
                return Err(Failure(Verdict.NOT_RUN, Refusal.BAD_REQUEST, detail))
            timeout_seconds = min(int(deadline_text), MAX_DEADLINE_MS) / 1000
        headers = drop_headers(request.headers, NOT_FORWARDED_HEADERS | RESERVED_HEADERS)
        headers.append((HEADER_CALLER_SERVICE, egress.settings.service or ""))
        result = classify_routed(
            blackboard,
            splitter,
            RoutedRequest(
                method=request.method,
                host=values.get("host", ""),
                path=request.path,
                headers=headers,
                body=request.body,
                request_id=values.get(HEADER_REQUEST_ID.lower(), ""),
                timeout_seconds=timeout_seconds,
                arrived_at=request.arrived_at,
                account_header=HEADER_ACCOUNT,
            ),
            count_key_fault,
        )
        if detector is not None and result.is_ok():
            _mark_if_nested(egress, detector, result.ok_value)
        return result

    def count_key_fault(fault: KeyFault) -> None:
        egress.metrics.egress.key_faults.inc({"cause": fault.value})

    return CallerInterface(
        classify=classify_request,
        make_response_headers=lambda response: [],
        make_failure_headers=_make_failure_headers,
        get_limits=lambda: (
            None if blackboard.route_table is None else blackboard.route_table.limits
        ),
        get_timeout_seconds=lambda headers: read_timeout_seconds(
            headers,
            HEADER_DEADLINE_MS.lower(),
            timedelta(milliseconds=MAX_DEADLINE_MS),
            egress.settings.default_timeout,
        ),
        request_id_field=HEADER_REQUEST_ID,
    )


def _mark_if_nested(egress: Egress, detector: NestedCallDetector, call: OutgoingCall) -> None:
    now = egress.blackboard.clock.monotonic()
    call.is_nested = observe_arrival(detector, call.service, call.route, now)
    if call.is_nested:
        egress.metrics.egress.nested_calls.inc({"service": call.service, "route": call.route})


def _make_failure_headers(failure: Failure) -> Headers:
    if failure.refusal is Refusal.UNAUTHENTICATED:
        return [KEY_CHALLENGE]
    if failure.status != 503:
        return []
    return [(HEADER_RETRY_AFTER, f"{get_retry_after(failure).total_seconds():g}")]
