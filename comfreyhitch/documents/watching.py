"""Follow documents in the platform's store, and detect when it is unreachable.

While the store is unreachable, the daemon gets newer documents by syncing with peers.
"""

from random import Random

from comfreyhitch.core.clock import Clock
from comfreyhitch.documents.models import DocumentKind, DocumentSource, RawDocument, dump_document
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.platform.models import FRESH, STALE, ObjectChange, ObjectList, PlatformObject
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact, merge_facts
from comfreyhitch.watching.follower import Follower
from comfreyhitch.watching.outages import Outage

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
        facts = [_make_fact(source, item, item.metadata.revision) for item in listed.items]
        facts.extend(_make_missing_deletions(source, store, listed))
        merge_facts(store, facts)

    def on_change(change: ObjectChange) -> None:
        item = change.object
        if change.is_deleted:
            fact = _make_deletion(
                source, item.metadata.name, _get_deletion_revision(source, store, item)
            )
        else:
            fact = _make_fact(source, item, item.metadata.revision)
        merge_facts(store, [fact])

    return Follower(
        client=client,
        kind=source.store_kind,
        clock=clock,
        random=random,
        on_list=on_list,
        on_change=on_change,
        outage=outage,
        initial_list_mode=STALE if source.allows_stale_initial_list else FRESH,
    )


def is_store_unreachable(followers: list[Follower], now: float) -> bool:
    """Return whether at least one follower gets no answers from the store."""
    return any(_is_silent(follower, now) for follower in followers)


def _is_silent(follower: Follower, now: float) -> bool:
    if not follower.is_connected or follower.last_answered_at is None:
        return True
    silent_since = max(follower.last_answered_at, follower.asked_at)
    return now - silent_since > follower.watch_timeout_seconds + SILENCE_GRACE_SECONDS


def is_watch_late(
    followers_by_kind: dict[DocumentKind, Follower], revision_by_kind: dict[DocumentKind, int]
) -> bool:
    """Return whether peers have newer documents than this daemon's own watches."""
    return any(
        follower.revision is not None and follower.revision < revision_by_kind.get(kind, 0)
        for kind, follower in followers_by_kind.items()
    )


def _make_fact(source: DocumentSource, item: PlatformObject, revision: int) -> StoredFact:
    # An object that is being deleted is treated as deleted.
    document = RawDocument(
        source.kind,
        item.metadata.name,
        item.spec,
        item.status,
        item.metadata.is_deleting,
        item.metadata.created_revision,
    )
    return StoredFact(FactKind.DOCUMENT, document.key, revision, dump_document(document))


def _make_deletion(source: DocumentSource, name: str, revision: int) -> StoredFact:
    document = RawDocument(source.kind, name, is_deleted=True)
    return StoredFact(FactKind.DOCUMENT, document.key, revision, dump_document(document))


def _get_deletion_revision(source: DocumentSource, store: FactStore, item: PlatformObject) -> int:
    key = RawDocument(source.kind, item.metadata.name).key
    stored = store.facts_by_id.get((FactKind.DOCUMENT, key))
    revision = item.metadata.revision
    # A deletion event may carry the revision of the last change before the deletion, so the
    # deletion needs a higher one. A stored document with a newer revision than the event was
    # created again after the deletion and arrived from a peer first, so it is kept.
    has_stored_revision = stored is not None and stored.version == revision
    return revision + 1 if has_stored_revision else revision


def _make_missing_deletions(
    source: DocumentSource, store: FactStore, listed: ObjectList
) -> list[StoredFact]:
    """Return a deletion for each stored document that is missing from a newer list."""
    names = {item.metadata.name for item in listed.items}
    deleted = []
    for fact in list(store.facts_by_id.values()):
        if fact.kind is not FactKind.DOCUMENT or not fact.value or fact.version > listed.revision:
            continue
        kind, _, name = fact.key.partition("/")
        if kind == source.kind.value and name not in names:
            deleted.append(_make_deletion(source, name, listed.revision))
    return deleted
