"""Order the versions of documents, although the store may come back from an older copy.

Each time it does, the store starts a new era: changes since the copy are lost, and their
revisions are given out again. A later era is newer than an earlier one, whatever the revisions.
"""

from comfreyhitch.documents.models import DocumentSource, RawDocument

# The era of a store that has never come back from a copy.
FIRST_ERA = 1
MAX_ERA = (1 << 17) - 1
MAX_NUMBER = (1 << 61) - 1
# A version holds the era above the revision, and in the lowest bit whether the document is known
# to continue one of an earlier era.
_ERA_SHIFT_BITS = 45
# Versions of documents that operators number themselves are higher than those by era and revision.
_NUMBERED_BASE = 1 << 62


def make_version(era: int, revision: int, *, continues: bool = False) -> int:
    """Return the version of a document that the store holds at a revision of an era."""
    return (min(era, MAX_ERA) << _ERA_SHIFT_BITS) | (revision << 1) | continues


def make_numbered_version(number: int) -> int:
    """Return the version of a document by the operator's own number."""
    return _NUMBERED_BASE + min(number, MAX_NUMBER)


def get_era(version: int) -> int:
    """Return the era of a version that was made from era and revision."""
    return version >> _ERA_SHIFT_BITS


def make_document_version(
    source: DocumentSource, document: RawDocument, era: int, revision: int
) -> int:
    """Return the version of a document as the store holds it."""
    if source.get_number is not None and not document.is_deleted:
        return make_numbered_version(source.get_number(document))
    return make_version(era, revision, continues=document.origin_revision is not None)
