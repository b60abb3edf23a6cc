"""Outcomes of requests, which say whether a target may have run them."""

import enum
from dataclasses import dataclass, field

from result import Ok, Result


class Verdict(enum.IntEnum):
    """Say whether a request ran at a target."""

    NOT_RUN = 0
    MAY_HAVE_RUN = 1
    RAN = 2

    @property
    def header_value(self) -> str:
        """Return the value of the verdict header."""
        return _HEADER_VALUES[self]


_HEADER_VALUES = {
    Verdict.NOT_RUN: "not-run",
    Verdict.MAY_HAVE_RUN: "may-have-run",
    Verdict.RAN: "ran",
}


class Refusal(enum.StrEnum):
    """Name why a request got no response from its target."""

    BAD_REQUEST = "bad-request"
    BODY_TOO_LARGE = "body-too-large"
    UNKNOWN_SERVICE = "unknown-service"
    NO_TARGET = "no-target"
    OVERLOADED = "overloaded"
    TENANT_SHARE = "tenant-share"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    DRAINING = "draining"
    ZONE_OUT = "zone-out"
    VERSION_VETOED = "version-vetoed"
    VERSION_ON_TRIAL = "version-on-trial"
    QUARANTINED = "quarantined"
    FENCED = "fenced"
    KEY_MISMATCH = "key-mismatch"
    KEY_HELD = "key-held"
    KEY_UNSETTLED = "key-unsettled"
    NO_KEY_QUORUM = "no-key-quorum"
    RECORDS_FULL = "records-full"
    WRONG_SERVICE = "wrong-service"
    STALE_VIEW = "stale-view"
    NO_CONFIGURATION = "no-configuration"
    NO_ROUTE = "no-route"
    UNAUTHENTICATED = "unauthenticated"
    HEADER_TOO_LARGE = "header-too-large"
    TARGET_UNREACHABLE = "target-unreachable"
    TARGET_FAILED = "target-failed"
    TARGET_REFUSED = "target-refused"
    TARGET_COLD = "target-cold"
    TARGET_LIMITED = "target-limited"
    TARGET_SLOW = "target-slow"
    TARGET_STARTING = "target-starting"
    WRONG_INSTANCE = "wrong-instance"
    PEER_UNREACHABLE = "peer-unreachable"
    PEER_FAILED = "peer-failed"
    RESPONSE_TOO_LARGE = "response-too-large"
    INTERNAL_ERROR = "internal-error"


Headers = list[tuple[str, str]]
# Large bodies are kept as the buffers into which they were received.
Body = bytes | bytearray


@dataclass(slots=True)
class Response:
    """Hold a complete HTTP response of a target."""

    status: int
    reason: str
    headers: Headers = field(default_factory=list)
    body: Body = b""
    version: str = ""


@dataclass(frozen=True, slots=True)
class Failure:
    """Hold why a request has no response, and whether it may have run."""

    verdict: Verdict
    refusal: Refusal
    detail: str = ""

    @property
    def status(self) -> int:
        """Return the HTTP status that a caller receives."""
        return _STATUS_BY_REFUSAL.get(self.refusal) or _STATUS_BY_VERDICT[self.verdict]


_STATUS_BY_REFUSAL = {
    Refusal.BAD_REQUEST: 400,
    Refusal.UNAUTHENTICATED: 401,
    Refusal.UNKNOWN_SERVICE: 404,
    Refusal.NO_ROUTE: 404,
    Refusal.HEADER_TOO_LARGE: 431,
    Refusal.BODY_TOO_LARGE: 413,
    Refusal.KEY_MISMATCH: 422,
    Refusal.RESPONSE_TOO_LARGE: 502,
}
_STATUS_BY_VERDICT = {
    Verdict.NOT_RUN: 503,
    Verdict.MAY_HAVE_RUN: 504,
    Verdict.RAN: 502,
}

Outcome = Result[Response, Failure]


def describe_outcome(outcome: Outcome) -> str:
    """Return a short description of the outcome for log lines."""
    match outcome:
        case Ok(response):
            return str(response.status)
        case _:
            failure = outcome.err_value
            return f"{failure.refusal.value} ({failure.verdict.header_value})"
