"""Acquire, settle and release claims at the registrars of a key."""

import logging
from dataclasses import dataclass, field, replace
from datetime import timedelta

import gevent
from gevent.queue import Queue
from result import Err

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.headers import HEADER_REPLAYED
from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.idempotency.registrars import RegistrarRing, choose_registrars, get_majority
from comfreyhitch.idempotency.registry import (
    MAX_ANSWER_BYTES,
    Claim,
    ClaimRegistry,
    remove_claim,
    write_claim,
    write_outcome,
)
from comfreyhitch.ingress.models import make_answer, parse_answer
from comfreyhitch.wire.connections import PeerPool, call_peer
from comfreyhitch.wire.exceptions import PeerError
from comfreyhitch.wire.generated.ttypes import (
    CallAnswer,
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    ClaimState,
    FenceAnswer,
    FenceQuery,
    FenceState,
    LoadReport,
)

logger = logging.getLogger(__name__)

CLAIM_TIMEOUT_SECONDS = 0.5
OWNER_POLL_INTERVAL_SECONDS = 0.1
SETTLE_ATTEMPTS = 3
SETTLE_BACKOFF_STEP_SECONDS = 0.5
MAX_TAKEOVERS = 2

_NO_LOAD = LoadReport(in_flight=0, queued=0, limit=0, latency_seconds=0.0, accepting=False)


@dataclass(slots=True)
class ClaimClient:
    """Hold this daemon's claim registry and its connections to the other registrars.

    `rings_by_service` caches each ring with the members revision that it was built from.
    """

    blackboard: Blackboard
    pool: PeerPool
    registry: ClaimRegistry
    rings_by_service: dict[str, tuple[int, RegistrarRing]] = field(default_factory=dict)
    pending_settlements: int = 0
    is_recovering: bool = True

    @classmethod
    def from_retention(
        cls, blackboard: Blackboard, pool: PeerPool, retention: timedelta
    ) -> "ClaimClient":
        """Return a client with an empty registry."""
        registry = ClaimRegistry.from_retention(retention.total_seconds())
        return cls(blackboard, pool, registry)


def make_claim(
    client: ClaimClient, scope: str, service: str, claim_id: str, fingerprint: str
) -> Claim:
    """Return the claim of a request that this daemon is about to run."""
    own = client.blackboard.own_member
    now = client.blackboard.clock.monotonic()
    return Claim(scope, service, claim_id, own.address, own.boot_id, fingerprint, now)


def acquire_claim(client: ClaimClient, claim: Claim, deadline: float) -> Outcome | None:
    """Return None once a majority has granted the claim, else the outcome for the caller."""
    replaces = None
    for claim_round in range(MAX_TAKEOVERS + 1):
        claim = replace(claim, round=claim_round)
        registrars = get_registrars(client, claim)
        answers = _request_claims(client, registrars, claim, replaces)
        granted = sum(answer.state == ClaimState.GRANTED for answer in answers)
        conflict = _find_conflict(answers)
        if conflict is None and granted >= get_majority(len(registrars)):
            return None
        _release_round(client, claim)
        if conflict is None:
            detail = f"{granted} of {len(registrars)} registrars of the key can be reached"
            return Err(Failure(Verdict.NOT_RUN, Refusal.NO_KEY_QUORUM, detail))
        outcome = _resolve_conflict(client, claim, conflict, deadline)
        if outcome is not None:
            return outcome
        replaces = conflict.claim_id
    return Err(Failure(Verdict.NOT_RUN, Refusal.KEY_HELD, "other requests claim the same key"))


def settle_claim(client: ClaimClient, claim: Claim, outcome: Outcome) -> None:
    """Send the outcome to the registrars of the claim in the background."""
    is_too_large = outcome.is_ok() and len(outcome.ok_value.body) > MAX_ANSWER_BYTES
    stored_answer = None if is_too_large else make_answer(claim.claim_id, outcome, _NO_LOAD)
    client.pending_settlements += 1
    gevent.spawn(_settle_with_retries, client, replace(claim, answer=stored_answer))


def release_claim(client: ClaimClient, claim: Claim) -> None:
    """Release the claim of a request that is known not to have run."""
    _release_round(client, replace(claim, round=MAX_TAKEOVERS))


def _release_round(client: ClaimClient, claim: Claim) -> None:
    request = _make_request(claim, None)
    for address in get_registrars(client, claim):
        if address == client.blackboard.own_member.address:
            remove_claim(client.registry, claim.scope, claim.claim_id, claim.round)
        else:
            gevent.spawn(_try_release, client, address, request)


def handle_claim_request(client: ClaimClient, request: ClaimRequest) -> ClaimAnswer:
    """Grant a claim as a registrar, or return the claim that holds the key."""
    if client.is_recovering:
        # Until a restarted registrar has recovered its earlier claims, it could grant
        # a key that another request holds.
        return ClaimAnswer(state=ClaimState.REFUSED, age_seconds=0.0)
    now = client.blackboard.clock.monotonic()
    requested = Claim(
        scope=request.scope,
        service=request.service_name,
        claim_id=request.claim_id,
        owner=request.owner,
        owner_boot_id=request.owner_boot_id,
        fingerprint=request.fingerprint,
        claimed_at=now,
        round=request.round,
    )
    existing = write_claim(client.registry, requested, request.replaces)
    if existing is None:
        return ClaimAnswer(state=ClaimState.REFUSED, age_seconds=0.0)
    if existing.claim_id == requested.claim_id and existing.answer is None:
        return ClaimAnswer(state=ClaimState.GRANTED, age_seconds=0.0)
    return ClaimAnswer(
        state=ClaimState.HELD if existing.answer is None else ClaimState.FINISHED,
        claim_id=existing.claim_id,
        owner=existing.owner,
        owner_boot_id=existing.owner_boot_id,
        fingerprint=existing.fingerprint,
        answer=existing.answer,
        age_seconds=now - existing.claimed_at,
    )


def store_outcomes(client: ClaimClient, outcomes: list[ClaimOutcome]) -> None:
    """Store, as a registrar, outcomes from the owners of claims or from a leaving daemon."""
    now = client.blackboard.clock.monotonic()
    for outcome in outcomes:
        settled = Claim(
            scope=outcome.scope,
            service=outcome.service_name,
            claim_id=outcome.claim_id,
            owner=outcome.owner,
            owner_boot_id=outcome.owner_boot_id,
            fingerprint=outcome.fingerprint,
            claimed_at=now - outcome.age_seconds,
            answer=outcome.answer,
        )
        write_outcome(client.registry, settled)


def get_registrars(client: ClaimClient, claim: Claim) -> list[str]:
    """Return the addresses of the registrars of a claim."""
    ring = _get_ring(client, claim.service)
    return [member.address for member in choose_registrars(ring, claim.scope)]


def _get_ring(client: ClaimClient, service: str) -> RegistrarRing:
    blackboard = client.blackboard
    cached = client.rings_by_service.get(service)
    if cached is not None and cached[0] == blackboard.members_revision:
        return cached[1]
    ring = RegistrarRing.from_members(service, blackboard.members_by_address.values())
    client.rings_by_service[service] = (blackboard.members_revision, ring)
    return ring


def _request_claims(
    client: ClaimClient, registrars: list[str], claim: Claim, replaces: str | None
) -> list[ClaimAnswer]:
    request = _make_request(claim, replaces)
    answers: Queue = Queue()
    for address in registrars:
        if address == client.blackboard.own_member.address:
            answers.put(handle_claim_request(client, request))
        else:
            gevent.spawn(_request_claim, client, address, request, answers)
    return _collect_answers(answers, len(registrars))


def _collect_answers(answers: Queue, registrar_count: int) -> list[ClaimAnswer]:
    collected: list[ClaimAnswer] = []
    for _ in range(registrar_count):
        answer = answers.get()
        if answer is None:
            continue
        collected.append(answer)
        granted = sum(item.state == ClaimState.GRANTED for item in collected)
        if granted >= get_majority(registrar_count):
            break
    return collected


def _request_claim(
    client: ClaimClient, address: str, request: ClaimRequest, answers: Queue
) -> None:
    answer = None
    try:
        answer = call_peer(
            client.pool, address, CLAIM_TIMEOUT_SECONDS, lambda peer: peer.claim(request)
        )
    except PeerError as error:
        logger.info(
            "registrar did not respond to a claim request",
            extra={"peer": address, "error": str(error)},
        )
    finally:
        answers.put(answer)


def _find_conflict(answers: list[ClaimAnswer]) -> ClaimAnswer | None:
    for state in (ClaimState.FINISHED, ClaimState.HELD):
        for answer in answers:
            if answer.state == state:
                return answer
    return None


def _resolve_conflict(
    client: ClaimClient, claim: Claim, conflict: ClaimAnswer, deadline: float
) -> Outcome | None:
    if conflict.fingerprint != claim.fingerprint:
        detail = "the Idempotency-Key was used for a different request"
        return Err(Failure(Verdict.NOT_RUN, Refusal.KEY_MISMATCH, detail))
    if conflict.answer is not None:
        return _replay(conflict.answer)
    clock = client.blackboard.clock
    while clock.monotonic() < deadline:
        fenced = _fence_owner(client, conflict)
        if fenced is None or fenced.state == FenceState.UNKNOWN:
            break
        if fenced.state == FenceState.NEVER_RAN:
            return None
        if fenced.state == FenceState.FINISHED:
            return _replay(fenced.answer)
        gevent.sleep(OWNER_POLL_INTERVAL_SECONDS)
    detail = "an earlier request with this key has no known outcome"
    return Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.KEY_UNSETTLED, detail))


def _replay(answer: CallAnswer) -> Outcome:
    outcome = parse_answer(answer)
    if outcome.is_ok():
        outcome.ok_value.headers.append((HEADER_REPLAYED, "true"))
    return outcome


def _fence_owner(client: ClaimClient, conflict: ClaimAnswer) -> FenceAnswer | None:
    query = FenceQuery(
        request_id=conflict.claim_id,
        boot_id=conflict.owner_boot_id,
        age_seconds=conflict.age_seconds,
        withdraw=False,
    )
    try:
        return call_peer(
            client.pool, conflict.owner, CLAIM_TIMEOUT_SECONDS, lambda peer: peer.fence(query)
        )
    except PeerError:
        return None


def _settle_with_retries(client: ClaimClient, settled: Claim) -> None:
    try:
        outcome = make_outcome(settled, client.blackboard.clock.monotonic())
        pending = get_registrars(client, settled)
        for attempt in range(SETTLE_ATTEMPTS):
            pending = [address for address in pending if not try_settle(client, address, [outcome])]
            if not pending:
                return
            gevent.sleep(SETTLE_BACKOFF_STEP_SECONDS * (attempt + 1))
    finally:
        client.pending_settlements -= 1


def try_settle(client: ClaimClient, address: str, outcomes: list[ClaimOutcome]) -> bool:
    """Send outcomes to a registrar, and return whether it accepted them."""
    if address == client.blackboard.own_member.address:
        store_outcomes(client, outcomes)
        return True
    try:
        call_peer(
            client.pool, address, CLAIM_TIMEOUT_SECONDS, lambda peer: peer.settle_claims(outcomes)
        )
    except PeerError:
        return False
    return True


def _try_release(client: ClaimClient, address: str, request: ClaimRequest) -> None:
    try:
        call_peer(
            client.pool, address, CLAIM_TIMEOUT_SECONDS, lambda peer: peer.release_claim(request)
        )
    except PeerError:
        # The claim remains at the registrar, but a fence query to the owner of the claim still
        # returns that the request never ran.
        logger.info("could not release a claim at its registrar", extra={"peer": address})


def _make_request(claim: Claim, replaces: str | None) -> ClaimRequest:
    return ClaimRequest(
        scope=claim.scope,
        claim_id=claim.claim_id,
        owner=claim.owner,
        owner_boot_id=claim.owner_boot_id,
        fingerprint=claim.fingerprint,
        replaces=replaces,
        service_name=claim.service,
        round=claim.round,
    )


def make_outcome(claim: Claim, now: float) -> ClaimOutcome:
    """Return the wire message that carries a claim and its answer."""
    return ClaimOutcome(
        scope=claim.scope,
        claim_id=claim.claim_id,
        fingerprint=claim.fingerprint,
        owner=claim.owner,
        owner_boot_id=claim.owner_boot_id,
        answer=claim.answer,
        age_seconds=now - claim.claimed_at,
        service_name=claim.service,
    )
