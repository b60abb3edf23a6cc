"""Follow documents in the platform's store, and detect when it is unreachable.

While the store is unreachable, the daemon gets newer documents by syncing with peers.
"""

import logging
from dataclasses import replace
from random import Random

import gevent

from comfreyhitch.core.clock import Clock
from comfreyhitch.documents.models import DocumentKind, DocumentSource, RawDocument, dump_document
from comfreyhitch.documents.restoring import (
    HOLD_SECONDS,
    EraMemory,
    begin_era,
    end_hold,
    find_origin_revision,
    forget_document,
    is_earlier_document,
    remember_revision,
)
from comfreyhitch.documents.versions import get_era, make_document_version, make_version
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.platform.models import FRESH, STALE, ObjectChange, ObjectList, PlatformObject
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact, merge_facts
from comfreyhitch.watching.follower import Follower, list_again
from comfreyhitch.watching.outages import Outage

logger = logging.getLogger(__name__)

# A store that has not answered for this much longer than the watch timeout counts as
# unreachable.
SILENCE_GRACE_SECONDS = 0.5


def make_document_follower(
    source: DocumentSource,
    store: FactStore,
    client: PlatformClient,
    clock: Clock,
    random: Random,
    outage: Outage,
) -> Follower:
    """Return a follower that stores the documents of one kind as facts."""
    memory = EraMemory()

    def on_list(listed: ObjectList) -> None:
        existing = _list_existing(source, store)
        if begin_era(memory, follower.era, existing):
            gevent.spawn_later(HOLD_SECONDS, stop_holding, follower.era)
        facts = [
            _make_fact(source, memory, item, from_list=True)
            for item in listed.items
            if not is_order_from_copy(item)
        ]
        # An entry that can't be read takes nothing back.
        names = {item.metadata.name for item in listed.items} | listed.odd_names
        missing = [fact for fact in existing if _get_name(fact) not in names]
        facts.extend(_make_deletions(source, memory, missing, listed.revision))
        _merge(facts)
        covered = make_version(follower.era, listed.revision, continues=True)
        follower.latest_version = max(follower.latest_version, covered)

    def is_order_from_copy(item: PlatformObject) -> bool:
        # An older order would replace a lost one, whose version may be known to be bad. An older
        # evacuation is in force in case of doubt.
        has_states = source.encode_status is not None
        document = _make_document(source, item)
        return has_states and is_earlier_document(memory, document, item.metadata.revision)

    def on_change(change: ObjectChange) -> None:
        item = change.object
        if change.is_deleted:
            key = RawDocument(source.kind, item.metadata.name).key
            forget_document(memory, key)
            stored = store.facts_by_id.get((FactKind.DOCUMENT, key))
            revision = _get_deletion_revision(stored, item, follower.era)
            _merge([_make_deletion(source, item.metadata.name, follower.era, revision)])
        else:
            _merge([_make_fact(source, memory, item)])

    def stop_holding(era: int) -> None:
        if follower.era != era:
            return
        if not follower.is_connected:
            # Operators could not write anything again meanwhile.
            gevent.spawn_later(HOLD_SECONDS, stop_holding, era)
            return
        end_hold(memory)
        list_again(follower)

    def _merge(facts: list[StoredFact]) -> None:
        newer = merge_facts(store, facts)
        follower.latest_version = max([follower.latest_version, *(fact.version for fact in facts)])
        for fact in facts:
            logger.info(
                "document received",
                extra={"document": fact.key, "era": follower.era, "is_newer": fact in newer},
            )

    follower = Follower(
        client=client,
        kind=source.store_kind,
        clock=clock,
        random=random,
        on_list=on_list,
        on_change=on_change,
        outage=outage,
        initial_list_mode=STALE if source.allows_stale_initial_list else FRESH,
    )
    return follower


def is_store_unreachable(followers: list[Follower], now: float) -> bool:
    """Return whether at least one follower gets no answers from the store."""
    return any(_is_silent(follower, now) for follower in followers)


def _is_silent(follower: Follower, now: float) -> bool:
    if not follower.is_connected or follower.last_answered_at is None:
        return True
    silent_since = max(follower.last_answered_at, follower.asked_at)
    return now - silent_since > follower.watch_timeout_seconds + SILENCE_GRACE_SECONDS


def is_watch_late(
    followers_by_kind: dict[DocumentKind, Follower], version_by_kind: dict[DocumentKind, int]
) -> bool:
    """Return whether peers have newer documents than this daemon's own watches."""
    return any(
        follower.revision is not None
        and _get_covered_version(follower) < version_by_kind.get(kind, 0)
        for kind, follower in followers_by_kind.items()
    )


def _get_covered_version(follower: Follower) -> int:
    """Return the version up to which a follower has read all documents."""
    covered = make_version(follower.era, follower.revision, continues=True)
    return max(follower.latest_version, covered)


def _make_fact(
    source: DocumentSource, memory: EraMemory, item: PlatformObject, *, from_list: bool = False
) -> StoredFact:
    revision = item.metadata.revision
    document = _make_document(source, item)
    if source.get_number is None:
        origin = find_origin_revision(memory, document)
        document = replace(document, origin_revision=origin)
    remember_revision(memory, document.key, revision)
    # Without knowledge of the era before, a listed document counts as one of the copy.
    era = memory.era - (from_list and memory.is_uninformed and memory.is_holding)
    version = make_document_version(source, document, era, revision)
    return StoredFact(FactKind.DOCUMENT, document.key, version, dump_document(document))


def _make_document(source: DocumentSource, item: PlatformObject) -> RawDocument:
    metadata = item.metadata
    if source.get_number is not None:
        return RawDocument(source.kind, metadata.name, item.spec)
    # An object that is being deleted is treated as deleted.
    return RawDocument(
        source.kind,
        metadata.name,
        item.spec,
        item.status,
        metadata.is_deleting,
        metadata.created_revision,
    )


def _make_deletion(source: DocumentSource, name: str, era: int, revision: int) -> StoredFact:
    document = RawDocument(source.kind, name, is_deleted=True)
    version = make_version(era, revision)
    return StoredFact(FactKind.DOCUMENT, document.key, version, dump_document(document))


def _get_deletion_revision(stored: StoredFact | None, item: PlatformObject, era: int) -> int:
    revision = item.metadata.revision
    # A deletion event may carry the revision of the last change before the deletion, so the
    # deletion needs a higher one. A stored document with a newer revision than the event was
    # created again after the deletion and arrived from a peer first, so it is kept.
    versions = {make_version(era, revision, continues=continues) for continues in (False, True)}
    has_stored_revision = stored is not None and stored.version in versions
    return revision + 1 if has_stored_revision else revision


def _make_deletions(
    source: DocumentSource, memory: EraMemory, missing: list[StoredFact], listed_revision: int
) -> list[StoredFact]:
    """Return the deletions of documents that are missing from a newer list.

    While documents of earlier eras are held, the store lacks them because it has lost them.
    """
    covered = make_version(memory.era, listed_revision, continues=True)
    deleted = [
        fact
        for fact in missing
        if fact.version <= covered
        and (get_era(fact.version) == memory.era or not memory.is_holding)
    ]
    for fact in deleted:
        forget_document(memory, fact.key)
    return [
        _make_deletion(source, _get_name(fact), memory.era, listed_revision) for fact in deleted
    ]


def _get_name(fact: StoredFact) -> str:
    return fact.key.partition("/")[2]


def _list_existing(source: DocumentSource, store: FactStore) -> list[StoredFact]:
    """Return the facts of the documents of a kind, if the store orders them."""
    if source.get_number is not None:
        return []
    prefix = f"{source.kind.value}/"
    return [
        fact
        for fact in store.facts_by_id.values()
        if fact.kind is FactKind.DOCUMENT and fact.value and fact.key.startswith(prefix)
    ]
