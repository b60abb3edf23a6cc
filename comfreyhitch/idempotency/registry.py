"""Store the claims that this daemon holds as a registrar; each key is written once."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from comfreyhitch.wire.generated.ttypes import CallAnswer

MAX_CLAIMS = 20_000
MAX_ANSWER_BYTES = 64 * 1024
MAX_TOTAL_ANSWER_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Claim:
    """Represent one request's right to run under a key, with its answer once it has run.

    Times are monotonic seconds. `round` increases each time the request asks for the
    claim again, so that a delayed message of an earlier round is recognized.
    """

    scope: str
    service: str
    claim_id: str
    owner: str
    owner_boot_id: str
    fingerprint: str
    claimed_at: float
    round: int = 0
    answer: CallAnswer | None = None


@dataclass(slots=True)
class ClaimRegistry:
    """Store claims by scope, which consists of service, tenant and key."""

    retention_seconds: float
    claims_by_scope: OrderedDict[str, Claim] = field(default_factory=OrderedDict)
    answer_bytes: int = 0

    @classmethod
    def from_retention(cls, retention_seconds: float) -> "ClaimRegistry":
        """Return an empty registry that keeps claims for `retention_seconds`."""
        return cls(retention_seconds)


def make_scope(service: str, tenant: str, key: str) -> str:
    """Return the scope in which a key is claimed."""
    return f"{service}\n{tenant}\n{key}"


def write_claim(registry: ClaimRegistry, requested: Claim, replaces: str | None) -> Claim | None:
    """Store a claim unless another one holds the key, and return the claim in force.

    A claim whose id is `replaces` does not count as another one. Return None if the registry
    is full.
    """
    _expire_claims(registry, requested.claimed_at)
    existing = registry.claims_by_scope.get(requested.scope)
    if existing is not None and existing.claim_id not in (replaces, requested.claim_id):
        return existing
    if existing is None and len(registry.claims_by_scope) >= MAX_CLAIMS:
        return None
    if (
        existing is not None
        and existing.claim_id == requested.claim_id
        and existing.round > requested.round
    ):
        # The request is a delayed message of an earlier round.
        return existing
    registry.claims_by_scope[requested.scope] = requested
    return requested


def write_outcome(registry: ClaimRegistry, settled: Claim) -> None:
    """Store the answer of a claim, or a claim handed over by a registrar that leaves."""
    existing = registry.claims_by_scope.get(settled.scope)
    if existing is not None and existing.claim_id != settled.claim_id:
        return
    if existing is not None and existing.answer is not None:
        return
    if existing is None and len(registry.claims_by_scope) >= MAX_CLAIMS:
        return
    claimed_at = settled.claimed_at if existing is None else existing.claimed_at
    registry.claims_by_scope[settled.scope] = replace(settled, claimed_at=claimed_at)
    registry.answer_bytes += _get_answer_size(settled)
    _drop_old_answers(registry)


def remove_claim(registry: ClaimRegistry, scope: str, claim_id: str, claim_round: int) -> None:
    """Remove a request's claim of the given or an earlier round, unless it has an answer."""
    existing = registry.claims_by_scope.get(scope)
    if existing is None or existing.claim_id != claim_id or existing.round > claim_round:
        return
    if existing.answer is None:
        del registry.claims_by_scope[scope]


def _get_answer_size(claim: Claim) -> int:
    return 0 if claim.answer is None else len(claim.answer.body)


def _expire_claims(registry: ClaimRegistry, now: float) -> None:
    while registry.claims_by_scope:
        scope, oldest = next(iter(registry.claims_by_scope.items()))
        if now - oldest.claimed_at < registry.retention_seconds:
            return
        del registry.claims_by_scope[scope]
        registry.answer_bytes -= _get_answer_size(oldest)


def _drop_old_answers(registry: ClaimRegistry) -> None:
    # A claim without its answer still prevents a second request from running under the key.
    for scope, claim in registry.claims_by_scope.items():
        if registry.answer_bytes <= MAX_TOTAL_ANSWER_BYTES:
            return
        registry.answer_bytes -= _get_answer_size(claim)
        registry.claims_by_scope[scope] = replace(claim, answer=None)
