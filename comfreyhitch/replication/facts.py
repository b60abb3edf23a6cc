"""Replicated facts; for each kind and key the highest version wins."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import StrEnum

from result import Result

from comfreyhitch.core.clock import Clock
from comfreyhitch.utils.hashing import hash_text
from comfreyhitch.wire.generated.ttypes import BucketDigest, Fact, FactHead

logger = logging.getLogger(__name__)

BUCKET_COUNT = 64
MAX_FACTS = 20_000
# A fact this close to its expiry is not accepted from a peer. Otherwise a peer that expires it
# later could send it back to a daemon that has removed it already.
MIN_REMAINING_LIFETIME = timedelta(seconds=5)
MAX_LIFETIME = timedelta(days=7)


class FactKind(StrEnum):
    """Name the kinds of facts."""

    MEMBER = "member"
    SECTION = "section"
    VETO = "veto"
    COMPLETION = "completion"
    CRASH = "crash"
    EVIDENCE = "evidence"
    STAGE = "stage"
    DOCUMENT = "document"
    DEADLINE = "deadline"


# Facts of these kinds are only useful for a short time. Observers get them, but they are neither
# stored nor propagated nor synced.
EPHEMERAL_KINDS = frozenset({FactKind.EVIDENCE})


FactId = tuple[str, str]


@dataclass(frozen=True, slots=True)
class StoredFact:
    """Hold a fact: a versioned value under a kind and key, which all daemons replicate.

    The fact is removed at `expires_at`; without it, the fact never expires.
    """

    kind: FactKind
    key: str
    version: int
    value: bytes
    expires_at: datetime | None = None

    @property
    def fact_id(self) -> FactId:
        """Return the kind and key, which identify the fact among all versions."""
        return self.kind, self.key


Validator = Callable[[str, int, bytes], Result[object, str]]
Observer = Callable[[list[StoredFact]], None]
Propagate = Callable[[list[StoredFact], bool], None]


@dataclass(slots=True)
class FactStore:
    """Hold this daemon's replica of all facts in memory.

    Facts are hashed into buckets. Each bucket has a checksum, so that two daemons find out
    cheaply which buckets differ.
    """

    clock: Clock
    validators_by_kind: dict[FactKind, Validator] = field(default_factory=dict)
    observers: list[Observer] = field(default_factory=list)
    # Called to propagate new facts to peers; the second argument tells whether a peer sent them.
    propagate: Propagate = lambda facts, is_from_peer: None
    facts_by_id: dict[FactId, StoredFact] = field(default_factory=dict)
    ids_by_bucket: list[set[FactId]] = field(
        default_factory=lambda: [set() for _ in range(BUCKET_COUNT)]
    )
    checksums: list[int] = field(default_factory=lambda: [0] * BUCKET_COUNT)

    @classmethod
    def from_clock(cls, clock: Clock) -> "FactStore":
        """Return an empty store."""
        return cls(clock)


def merge_facts(
    store: FactStore, facts: Iterable[StoredFact], *, is_from_peer: bool = False
) -> list[StoredFact]:
    """Store the facts that are new, notify observers, propagate them, and return them."""
    newer = [fact for fact in facts if _merge_fact(store, fact)]
    if newer:
        for observer in store.observers:
            observer(newer)
        store.propagate(newer, is_from_peer)
    return newer


def parse_fact_messages(store: FactStore, messages: Iterable[Fact]) -> list[StoredFact]:
    """Return the valid facts in messages from peers; log and drop invalid ones."""
    facts = []
    for message in messages:
        fact = _parse_fact_message(store, message)
        if fact is not None:
            facts.append(fact)
    return facts


def make_fact_message(fact: StoredFact, now: datetime) -> Fact:
    """Convert a fact to its wire message, with the lifetime that remains."""
    lifetime_seconds = None
    if fact.expires_at is not None:
        lifetime_seconds = (fact.expires_at - now).total_seconds()
    return Fact(
        kind=fact.kind,
        key=fact.key,
        version=fact.version,
        value=fact.value,
        lifetime_seconds=lifetime_seconds,
    )


def is_newer(store: FactStore, head: FactHead) -> bool:
    """Return whether a peer's fact is newer than the stored one, or is not stored here."""
    stored = store.facts_by_id.get((head.kind, head.key))
    return stored is None or head.version > stored.version


def get_facts(store: FactStore, heads: Iterable[FactHead]) -> list[StoredFact]:
    """Return the stored facts that the heads name."""
    found = (store.facts_by_id.get((head.kind, head.key)) for head in heads)
    return [fact for fact in found if fact is not None]


def expire_facts(store: FactStore) -> list[StoredFact]:
    """Remove and return the expired facts."""
    now = store.clock.now()
    expired = [
        fact
        for fact in store.facts_by_id.values()
        if fact.expires_at is not None and fact.expires_at <= now
    ]
    for fact in expired:
        _remove_fact(store, fact)
    return expired


def make_digests(store: FactStore) -> list[BucketDigest]:
    """Return the checksum of each bucket."""
    return [BucketDigest(bucket, checksum) for bucket, checksum in enumerate(store.checksums)]


def find_differing_buckets(store: FactStore, digests: Iterable[BucketDigest]) -> list[int]:
    """Return the buckets whose checksums differ from those of a peer."""
    return [
        digest.bucket
        for digest in digests
        if 0 <= digest.bucket < BUCKET_COUNT and store.checksums[digest.bucket] != digest.checksum
    ]


def get_bucket_facts(store: FactStore, buckets: Iterable[int]) -> list[StoredFact]:
    """Return the facts in the given buckets; bucket numbers out of range are ignored."""
    return [
        store.facts_by_id[fact_id]
        for bucket in buckets
        if 0 <= bucket < BUCKET_COUNT
        for fact_id in store.ids_by_bucket[bucket]
    ]


def make_fact_head(fact: StoredFact) -> FactHead:
    """Return the head of a fact: its kind, key and version without the value."""
    return FactHead(kind=fact.kind, key=fact.key, version=fact.version)


def _parse_fact_message(store: FactStore, message: Fact) -> StoredFact | None:
    try:
        kind = FactKind(message.kind)
    except ValueError:
        _log_refusal(message, "unknown kind")
        return None
    validate = store.validators_by_kind.get(kind)
    checked = None if validate is None else validate(message.key, message.version, message.value)
    if checked is not None and checked.is_err():
        _log_refusal(message, checked.err_value)
        return None
    expires_at = None
    if message.lifetime_seconds is not None:
        lifetime = timedelta(seconds=min(message.lifetime_seconds, MAX_LIFETIME.total_seconds()))
        expires_at = store.clock.now() + lifetime
        if lifetime < MIN_REMAINING_LIFETIME:
            return None
    return StoredFact(kind, message.key, message.version, message.value, expires_at)


def _log_refusal(message: Fact, reason: object) -> None:
    logger.warning(
        "refused a fact of a peer",
        extra={"kind": message.kind, "key": message.key, "reason": str(reason)},
    )


def _merge_fact(store: FactStore, fact: StoredFact) -> bool:
    if fact.kind in EPHEMERAL_KINDS:
        return True
    stored = store.facts_by_id.get(fact.fact_id)
    if stored is not None:
        # Equal versions with different values only result from a fault. Comparing the values
        # as well makes all daemons converge on the same one.
        if (fact.version, fact.value) <= (stored.version, stored.value):
            return False
        _remove_fact(store, stored)
    elif len(store.facts_by_id) >= MAX_FACTS:
        return False
    store.facts_by_id[fact.fact_id] = fact
    bucket = _get_bucket(fact)
    store.ids_by_bucket[bucket].add(fact.fact_id)
    store.checksums[bucket] ^= _get_checksum(fact)
    return True


def _remove_fact(store: FactStore, fact: StoredFact) -> None:
    del store.facts_by_id[fact.fact_id]
    bucket = _get_bucket(fact)
    store.ids_by_bucket[bucket].discard(fact.fact_id)
    store.checksums[bucket] ^= _get_checksum(fact)


def _get_bucket(fact: StoredFact) -> int:
    return hash_text(fact.kind, fact.key) % BUCKET_COUNT


def _get_checksum(fact: StoredFact) -> int:
    return hash_text(fact.kind, fact.key, str(fact.version), fact.value.hex())
