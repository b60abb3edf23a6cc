"""Objects of the platform's store."""

from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

WRITER_MARK_ANNOTATION = "writer-mark"
WRITER_ANNOTATION = "writer"


# Revisions share 64 bits with the era.
MAX_REVISION = (1 << 44) - 1
Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]


class Metadata(Struct, frozen=True):
    """Validate the metadata of an object; `revision` is that of its last change."""

    name: str = field(name="Name")
    revision: Revision = field(default=0, name="Rev")
    created_revision: Revision = field(default=0, name="CreateRevision")
    finalizers: list[str] = field(default_factory=list, name="Finalizers")
    is_deleting: bool = field(default=False, name="Deleting")


class PlatformObject(Struct, frozen=True):
    """Validate an object with a spec and a status."""

    metadata: Metadata = field(name="Metadata")
    spec: Any = field(default=None, name="Spec")
    status: Any = field(default=None, name="Status")


class ObjectList(Struct, frozen=True):
    """Validate one page of a list; `revision` is that of the whole store.

    `era` rises each time the store comes back from an older copy; None if the store names none.
    `odd_names` are those of entries that are no objects, as far as they have names.
    """

    revision: Revision = field(name="StoreRevision")
    items: list[PlatformObject] = field(default_factory=list)
    has_more: bool = field(default=False, name="HasMore")
    era: int | None = None
    odd_names: frozenset[str] = frozenset()


class ObjectChange(Struct, frozen=True):
    """Validate one event of a watch."""

    object: PlatformObject = field(name="Object")
    is_deleted: bool = field(default=False, name="Deleted")


class ChangeBatch(Struct, frozen=True):
    """Validate the response to a watch; the next watch starts at `revision`."""

    revision: Revision = field(name="StoreRevision")
    events: list[ObjectChange] = field(default_factory=list)
    era: int | None = None
    odd_names: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class ReadMode:
    """Select whether a read may return data that is seconds old, at a tenth of the cost."""

    may_be_stale: bool = False


FRESH = ReadMode()
STALE = ReadMode(may_be_stale=True)


def dump_object(item: PlatformObject) -> dict[str, Any]:
    """Return the JSON content of an object; an unknown revision is omitted."""
    content = msgspec.to_builtins(item)
    if not item.metadata.revision:
        del content["Metadata"]["Rev"]
    return content


def replace_status(item: PlatformObject, status: Any) -> PlatformObject:
    """Return a copy of an object with another status."""
    return msgspec.structs.replace(item, status=status)
