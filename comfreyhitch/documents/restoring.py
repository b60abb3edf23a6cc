"""Keep what a store has lost by coming back from a copy, while operators write it again."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from comfreyhitch.documents.models import RawDocument, load_document
from comfreyhitch.documents.versions import FIRST_ERA
from comfreyhitch.replication.facts import StoredFact

# How long a document that the store has lost stays in force while operators write it again.
HOLD_SECONDS = 30.0
MAX_REMEMBERED_REVISIONS = 1000

Revision = tuple[str, int]


@dataclass(slots=True)
class EraMemory:
    """Hold what a follower knows of the eras before the present one.

    `identities_by_key` holds the content and the identity of the documents that were in force when
    the era began. Revisions are those at which documents were read, by key. While
    `is_holding`, documents that the store lacks stay in force.
    """

    era: int = 0
    is_holding: bool = False
    # Whether this follower started in an era that began with a copy, so that it can't tell the
    # documents of the copy from those that were written since.
    is_uninformed: bool = False
    identities_by_key: dict[str, tuple[object, int]] = field(default_factory=dict)
    revisions: set[Revision] = field(default_factory=set)
    earlier_revisions: set[Revision] = field(default_factory=set)


def begin_era(memory: EraMemory, era: int, existing: Iterable[StoredFact]) -> bool:
    """Remember what was in force; return whether the store has come back from a copy."""
    if era == memory.era:
        return False
    memory.is_uninformed = memory.era == 0
    memory.era = era
    memory.is_holding = era > FIRST_ERA
    memory.earlier_revisions = memory.revisions
    memory.revisions = set()
    for fact in existing if memory.is_holding else ():
        document = load_document(fact.key, fact.value).unwrap()
        memory.identities_by_key[fact.key] = (document.spec, document.identity_revision)
    return memory.is_holding


def end_hold(memory: EraMemory) -> None:
    """Let the store's content replace all that it has lost, from the next list on."""
    memory.is_holding = False
    memory.is_uninformed = False


def remember_revision(memory: EraMemory, key: str, revision: int) -> None:
    """Remember a revision at which a document was read in the present era."""
    if len(memory.revisions) < MAX_REMEMBERED_REVISIONS:
        memory.revisions.add((key, revision))


def is_earlier_document(memory: EraMemory, document: RawDocument, revision: int) -> bool:
    """Return whether a listed document is one of the copy, in whose place another is lost.

    An older state of the document that was in force is not: it only lacks a status.
    """
    if not memory.is_holding or (document.key, revision) not in memory.earlier_revisions:
        return False
    present = (document.spec, document.created_revision)
    return memory.identities_by_key.get(document.key) != present


def find_origin_revision(memory: EraMemory, document: RawDocument) -> int | None:
    """Return the identity of the lost document that a document continues, or None.

    An order that an operator writes again after the store has lost it continues the lost one.
    """
    spec, identity = memory.identities_by_key.get(document.key, (None, 0))
    if spec != document.spec or identity == document.created_revision:
        return None
    return identity


def forget_document(memory: EraMemory, key: str) -> None:
    """Forget a document that an operator has deleted: a later one does not continue it."""
    memory.identities_by_key.pop(key, None)
