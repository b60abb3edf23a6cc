"""Follow documents in the platform's store, and detect when it is unreachable.

While the store is unreachable, the daemon gets newer documents by syncing with peers.
"""

import logging
from dataclasses import replace
from random import Random

import gevent

from comfreyhitch.core.clock import Clock
from comfreyhitch.documents.models import DocumentKind, DocumentSource, RawDocument, dump_document
from comfreyhitch.documents.versions import (
    find_origin_revision,
    get_era,
    make_document_version,
    make_version,
)
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.platform.models import FRESH, STALE, ObjectChange, ObjectList, PlatformObject
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact, merge_facts
from comfreyhitch.watching.follower import Follower
from comfreyhitch.watching.outages import Outage

logger = logging.getLogger(__name__)

# How long a document that the store has lost stays in force while operators write it again.
LOST_DOCUMENT_HOLD_SECONDS = 30.0
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

    def on_list(listed: ObjectList) -> None:
        facts = [_make_fact(source, store, item, follower.era) for item in listed.items]
        facts.extend(_make_missing_deletions(source, store, listed, follower.era))
        _merge(facts)
        covered = make_version(follower.era, listed.revision, continues=True)
        follower.latest_version = max(follower.latest_version, covered)
        if _list_lost(source, store, follower.era):
            gevent.spawn_later(LOST_DOCUMENT_HOLD_SECONDS, remove_lost, follower.era)

    def on_change(change: ObjectChange) -> None:
        item = change.object
        if change.is_deleted:
            revision = _get_deletion_revision(source, store, item, follower.era)
            fact = _make_deletion(source, item.metadata.name, follower.era, revision)
        else:
            fact = _make_fact(source, store, item, follower.era)
        _merge([fact])

    def remove_lost(era: int) -> None:
        if follower.era == era:
            lost = _list_lost(source, store, era)
            merge_facts(store, [_make_deletion(source, name, era, 0) for name in lost])

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
    source: DocumentSource, store: FactStore, item: PlatformObject, era: int
) -> StoredFact:
    if source.get_number is not None:
        document = RawDocument(source.kind, item.metadata.name, item.spec)
    else:
        # An object that is being deleted is treated as deleted.
        document = RawDocument(
            source.kind,
            item.metadata.name,
            item.spec,
            item.status,
            item.metadata.is_deleting,
            item.metadata.created_revision,
        )
        known = store.facts_by_id.get((FactKind.DOCUMENT, document.key))
        origin = find_origin_revision(known, document, era)
        document = replace(document, origin_revision=origin)
    version = make_document_version(source, document, era, item.metadata.revision)
    return StoredFact(FactKind.DOCUMENT, document.key, version, dump_document(document))


def _make_deletion(source: DocumentSource, name: str, era: int, revision: int) -> StoredFact:
    document = RawDocument(source.kind, name, is_deleted=True)
    version = make_version(era, revision)
    return StoredFact(FactKind.DOCUMENT, document.key, version, dump_document(document))


def _get_deletion_revision(
    source: DocumentSource, store: FactStore, item: PlatformObject, era: int
) -> int:
    key = RawDocument(source.kind, item.metadata.name).key
    stored = store.facts_by_id.get((FactKind.DOCUMENT, key))
    revision = item.metadata.revision
    # A deletion event may carry the revision of the last change before the deletion, so the
    # deletion needs a higher one. A stored document with a newer revision than the event was
    # created again after the deletion and arrived from a peer first, so it is kept.
    versions = {make_version(era, revision, continues=continues) for continues in (False, True)}
    has_stored_revision = stored is not None and stored.version in versions
    return revision + 1 if has_stored_revision else revision


def _make_missing_deletions(
    source: DocumentSource, store: FactStore, listed: ObjectList, era: int
) -> list[StoredFact]:
    """Return a deletion for each stored document of this era that is missing from a newer list."""
    names = {item.metadata.name for item in listed.items}
    covered = make_version(era, listed.revision, continues=True)
    return [
        _make_deletion(source, name, era, listed.revision)
        for name, fact in _list_existing(source, store)
        if name not in names and get_era(fact.version) == era and fact.version <= covered
    ]


def _list_lost(source: DocumentSource, store: FactStore, era: int) -> list[str]:
    """Return the names of the documents that the store has lost by coming back from a copy.

    A document that the store still holds has been given a version of the new era.
    """
    return [name for name, fact in _list_existing(source, store) if get_era(fact.version) < era]


def _list_existing(source: DocumentSource, store: FactStore) -> list[tuple[str, StoredFact]]:
    """Return name and fact of each stored document of a kind that is ordered by the store."""
    if source.get_number is not None:
        return []
    prefix = f"{source.kind.value}/"
    return [
        (fact.key.removeprefix(prefix), fact)
        for fact in store.facts_by_id.values()
        if fact.kind is FactKind.DOCUMENT and fact.value and fact.key.startswith(prefix)
    ]
