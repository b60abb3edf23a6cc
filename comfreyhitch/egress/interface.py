"""Interfaces for callers: classification of requests, and headers added to responses."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from result import Ok, Result

from comfreyhitch.core.headers import HEADER_REFUSAL, HEADER_VERDICT, HOP_BY_HOP_HEADERS
from comfreyhitch.core.verdicts import Body, Failure, Headers, Refusal, Response, Verdict
from comfreyhitch.egress.classify import (
    CONTROL_HEADERS,
    MAX_TIMEOUT,
    TIMEOUT_FIELD,
    OutgoingCall,
    classify,
)
from comfreyhitch.egress.state import Egress
from comfreyhitch.routing.models import CallerLimits

NOT_FORWARDED_HEADERS = HOP_BY_HOP_HEADERS | {"content-length", "expect"}
RETRY_AFTER_SECONDS = "1"
MAX_TIMEOUT_DIGITS = 9


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold a complete request of a caller; `arrived_at` is in monotonic seconds."""

    method: str
    path: str
    headers: Headers
    body: Body
    arrived_at: float


@dataclass(frozen=True, slots=True)
class CallerInterface:
    """Hold how one interface classifies requests, limits them, and adds headers to responses."""

    classify: Callable[[CallerRequest], Result[OutgoingCall, Failure]]
    make_response_headers: Callable[[Response], Headers]
    make_failure_headers: Callable[[Failure], Headers]
    get_limits: Callable[[], CallerLimits | None]
    # Returns the seconds after which a request with these headers is of no use to its caller.
    get_timeout_seconds: Callable[[Headers], float]
    request_id_field: str = ""


def make_default_interface(egress: Egress) -> CallerInterface:
    """Return the interface used without a platform; a header or the host names the service."""

    def classify_request(request: CallerRequest) -> Result[OutgoingCall, Failure]:
        classified = classify(
            egress.blackboard,
            request.method,
            request.path,
            request.headers,
            request.body,
            egress.settings.default_timeout,
        )
        if classified.is_err():
            return classified
        call = classified.ok_value
        call.headers = drop_headers(call.headers, NOT_FORWARDED_HEADERS | CONTROL_HEADERS)
        return Ok(call)

    return CallerInterface(
        classify=classify_request,
        make_response_headers=lambda response: [(HEADER_VERDICT, Verdict.RAN.header_value)],
        make_failure_headers=_make_failure_headers,
        get_limits=lambda: None,
        get_timeout_seconds=lambda headers: read_timeout_seconds(
            headers, TIMEOUT_FIELD, MAX_TIMEOUT, egress.settings.default_timeout
        ),
    )


def read_timeout_seconds(
    headers: Headers, field: str, maximum: timedelta, default: timedelta
) -> float:
    """Return the timeout that a header gives in milliseconds, or a default in seconds.

    `field` is in lower case. A header that is no number is refused after the body was read.
    """
    text = next((value for name, value in headers if name.lower() == field), "")
    if not text.isascii() or not text.isdigit():
        return default.total_seconds()
    if len(text) > MAX_TIMEOUT_DIGITS:
        return maximum.total_seconds()
    return min(int(text) / 1000, maximum.total_seconds())


def drop_headers(headers: Headers, names: frozenset[str]) -> Headers:
    """Return the headers except those in `names`, which are in lower case."""
    return [item for item in headers if item[0].lower() not in names]


def _make_failure_headers(failure: Failure) -> Headers:
    headers = [
        (HEADER_VERDICT, failure.verdict.header_value),
        (HEADER_REFUSAL, failure.refusal.value),
    ]
    if failure.status == 503:
        headers.append(("Retry-After", RETRY_AFTER_SECONDS))
    return headers


# Time after which the condition behind a refusal has usually ended, and a resend may succeed.
_RETRY_AFTER_BY_REFUSAL = {
    Refusal.TARGET_COLD: timedelta(milliseconds=200),
    Refusal.OVERLOADED: timedelta(milliseconds=200),
    # Targets in need take few requests a second, and name their limits for seconds.
    Refusal.TARGET_LIMITED: timedelta(seconds=1),
    Refusal.TARGET_STARTING: timedelta(milliseconds=300),
    Refusal.NO_CONFIGURATION: timedelta(milliseconds=500),
    # No target may serve the request, and a short wait does not change that.
    Refusal.NO_TARGET: timedelta(seconds=2),
    Refusal.ZONE_OUT: timedelta(seconds=2),
}
_DEFAULT_RETRY_AFTER = timedelta(milliseconds=300)


def get_retry_after(failure: Failure) -> timedelta:
    """Return how long a caller should wait before it resends a request that has not run."""
    return _RETRY_AFTER_BY_REFUSAL.get(failure.refusal, _DEFAULT_RETRY_AFTER)
