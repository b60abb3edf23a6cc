"""Claims that this daemon holds as a registrar; each key is written once."""

from collections import OrderedDict
from dataclasses import dataclass, field, replace

from comfreyhitch.wire.generated.ttypes import CallAnswer

MAX_CLAIMS = 20_000
MAX_ANSWER_BYTES = 64 * 1024
MAX_TOTAL_ANSWER_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Claim:
    """Hold who may run a key, and the answer once it ran; times are monotonic seconds."""

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
    """Hold claims by scope, which names service, tenant and key."""

    retention_seconds: float
    claims_by_scope: OrderedDict[str, Claim] = field(default_factory=OrderedDict)
    answer_bytes: int = 0

    @classmethod
    def from_retention(cls, retention_seconds: float) -> "ClaimRegistry":
        """Return an empty registry that keeps claims for a time in seconds."""
        return cls(retention_seconds)


def make_scope(service: str, tenant: str, key: str) -> str:
    """Return the name under which a key is claimed."""
    return f"{service}\n{tenant}\n{key}"


def write_claim(registry: ClaimRegistry, wanted: Claim, replaces: str | None) -> Claim | None:
    """Write a claim unless another stands, and return the one in force, or None if full."""
    _expire_claims(registry, wanted.claimed_at)
    held = registry.claims_by_scope.get(wanted.scope)
    if held is not None and held.claim_id not in (replaces, wanted.claim_id):
        return held
    if held is None and len(registry.claims_by_scope) >= MAX_CLAIMS:
        return None
    if held is not None and held.claim_id == wanted.claim_id and held.round > wanted.round:
        # A message of an earlier round came late.
        return held
    registry.claims_by_scope[wanted.scope] = wanted
    return wanted


def write_outcome(registry: ClaimRegistry, settled: Claim) -> None:
    """Keep the answer of a claim, or take over a claim from a registrar that leaves."""
    held = registry.claims_by_scope.get(settled.scope)
    if held is not None and held.claim_id != settled.claim_id:
        return
    if held is not None and held.answer is not None:
        return
    if held is None and len(registry.claims_by_scope) >= MAX_CLAIMS:
        return
    claimed_at = settled.claimed_at if held is None else held.claimed_at
    registry.claims_by_scope[settled.scope] = replace(settled, claimed_at=claimed_at)
    registry.answer_bytes += _get_answer_size(settled)
    _drop_old_answers(registry)


def remove_claim(registry: ClaimRegistry, scope: str, claim_id: str, claim_round: int) -> None:
    """Remove the claim that a request made in a round and that it did not run on."""
    held = registry.claims_by_scope.get(scope)
    if held is None or held.claim_id != claim_id or held.round > claim_round:
        return
    if held.answer is None:
        del registry.claims_by_scope[scope]


def _get_answer_size(held: Claim) -> int:
    return 0 if held.answer is None else len(held.answer.body)


def _expire_claims(registry: ClaimRegistry, now: float) -> None:
    while registry.claims_by_scope:
        scope, oldest = next(iter(registry.claims_by_scope.items()))
        if now - oldest.claimed_at < registry.retention_seconds:
            return
        del registry.claims_by_scope[scope]
        registry.answer_bytes -= _get_answer_size(oldest)


def _drop_old_answers(registry: ClaimRegistry) -> None:
    # A claim without its answer still keeps the key from running again.
    for scope, held in registry.claims_by_scope.items():
        if registry.answer_bytes <= MAX_TOTAL_ANSWER_BYTES:
            return
        registry.answer_bytes -= _get_answer_size(held)
        registry.claims_by_scope[scope] = replace(held, answer=None)
