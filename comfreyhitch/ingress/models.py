"""Calls as the ingress handles them, and their conversion from and to wire messages."""

from dataclasses import dataclass, field

import gevent.socket
from result import Err, Ok

from comfreyhitch.admission.pacing import PaceReading
from comfreyhitch.core.held_bytes import Holder
from comfreyhitch.core.verdicts import Body, Failure, Headers, Outcome, Refusal, Response, Verdict
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.wire.generated.ttypes import (
    CallAnswer,
    CallRequest,
    Header,
    LoadReport,
    WireVerdict,
)

MAX_TIMEOUT_SECONDS = 60.0
FINAL_STATUSES = range(200, 600)


@dataclass(slots=True)
class IncomingCall:
    """Represent one call; `arrived_at` and `deadline` are monotonic seconds."""

    request_id: str
    service: str
    method: str
    path: str
    headers: Headers
    body: Body
    arrived_at: float
    deadline: float
    # `accounts.models.is_account_name` tells whether this is a client account.
    tenant: str
    traffic_class: TrafficClass
    is_idempotent: bool
    idempotency_key: str
    fingerprint: str
    route: str
    attempt_number: int
    # Maximum wait for the usual pace of a slow instance, in seconds; None to run at any pace.
    patience_seconds: float | None = None
    # Rank among all requests; 0 is the most urgent. None if the egress names none.
    rank: int | None = None
    # Monotonic seconds at which the latency objective ends; None if there is none.
    objective_at: float | None = None
    # Whether a target makes the request while it runs another one.
    is_nested: bool = False
    # Whether the caller sends the request again at the time that an earlier refusal named.
    has_returned: bool = False
    cancel_socket: gevent.socket.socket | None = None
    # Monotonic seconds at which the request was sent to the target; 0 before that.
    sent_at: float = 0.0
    pace_at_send: PaceReading | None = None
    # The bytes of the request and its response that are held for it.
    holder: Holder = field(default_factory=Holder)
    # Why admission control refused the request, as it is logged.
    refusal_fields: dict[str, object] | None = None

    @classmethod
    def from_wire(
        cls, request: CallRequest, now: float, cancel_socket: gevent.socket.socket | None
    ) -> "IncomingCall":
        """Return the call that a message carries; raise `ValueError` if a field is out of range."""
        timeout_seconds = min(request.timeout_seconds, MAX_TIMEOUT_SECONDS)
        return cls(
            request_id=request.request_id,
            service=request.service_name,
            method=request.method,
            path=request.path,
            headers=[(header.name, header.value) for header in request.headers],
            body=request.body,
            arrived_at=now,
            deadline=now + timeout_seconds,
            tenant=request.tenant,
            traffic_class=TrafficClass(request.priority),
            is_idempotent=request.idempotent,
            idempotency_key=request.idempotency_key or "",
            fingerprint=request.fingerprint,
            route=request.route,
            attempt_number=request.attempt,
            patience_seconds=request.patience_seconds,
            rank=request.rank,
            objective_at=(
                None if request.objective_seconds is None else now + request.objective_seconds
            ),
            is_nested=bool(request.is_nested),
            has_returned=bool(request.has_returned),
            cancel_socket=cancel_socket,
        )


def make_answer(request_id: str, outcome: Outcome, load: LoadReport) -> CallAnswer:
    """Return the message that carries an outcome."""
    match outcome:
        case Ok(response):
            return CallAnswer(
                request_id=request_id,
                verdict=WireVerdict.RAN,
                status=response.status,
                reason=response.reason,
                headers=[Header(name, value) for name, value in response.headers],
                body=response.body,
                load=load,
                version=response.version,
            )
        case Err(failure):
            return CallAnswer(
                request_id=request_id,
                verdict=int(failure.verdict),
                status=failure.status,
                reason=failure.detail,
                headers=[],
                body=b"",
                load=load,
                refusal=failure.refusal.value,
                version="",
            )


def parse_answer(answer: CallAnswer | None) -> Outcome:
    """Return the outcome that a message carries; one that can't be read may have run."""
    if answer is None:
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.PEER_FAILED, "answer is missing"))
    try:
        verdict = Verdict(answer.verdict)
    except ValueError:
        verdict = Verdict.MAY_HAVE_RUN
    if answer.refusal is None and answer.status not in FINAL_STATUSES:
        detail = f"answer has the status {answer.status:03}"
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.PEER_FAILED, detail))
    if answer.refusal is None and verdict is Verdict.RAN:
        return Ok(
            Response(
                status=answer.status,
                reason=answer.reason,
                headers=[(header.name, header.value) for header in answer.headers],
                body=answer.body,
                version=answer.version,
            )
        )
    if answer.refusal is None:
        detail = f"answer has verdict {answer.verdict} and no refusal"
        return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.PEER_FAILED, detail))
    try:
        refusal = Refusal(answer.refusal)
    except ValueError:
        refusal = Refusal.PEER_FAILED
    return Err(Failure(verdict, refusal, answer.reason))
