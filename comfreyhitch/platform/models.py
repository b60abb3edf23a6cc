"""Objects of the platform's store, in the product's own words."""

from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

WRITER_MARK_ANNOTATION = "writer-mark"
WRITER_ANNOTATION = "writer"


class Metadata(BaseModel):
    """Validate the metadata of an object; `revision` is that of its last change."""

    model_config = ConfigDict(extra="ignore", populate_by_name=True)

    name: str = Field(alias="Name")
    revision: int = Field(0, alias="Rev")
    created_revision: int = Field(0, alias="CreateRevision")
    finalizers: list[str] = Field([], alias="Finalizers")
    is_deleting: bool = Field(False, alias="Deleting")


class PlatformObject(BaseModel):
    """Validate an object with a spec and a status."""

    model_config = ConfigDict(extra="ignore", populate_by_name=True)

    metadata: Metadata = Field(alias="Metadata")
    spec: Any = Field(None, alias="Spec")
    status: Any = Field(None, alias="Status")


class ObjectList(BaseModel):
    """Validate one page of a list; `revision` is that of the whole store."""

    model_config = ConfigDict(extra="ignore", populate_by_name=True)

    items: list[PlatformObject] = []
    has_more: bool = Field(False, alias="HasMore")
    revision: int = Field(alias="StoreRevision")


class ObjectChange(BaseModel):
    """Validate one event of a watch."""

    model_config = ConfigDict(extra="ignore", populate_by_name=True)

    object: PlatformObject = Field(alias="Object")
    is_deleted: bool = Field(False, alias="Deleted")


class ChangeBatch(BaseModel):
    """Validate the answer of a watch, which goes on from `revision`."""

    model_config = ConfigDict(extra="ignore", populate_by_name=True)

    events: list[ObjectChange] = []
    revision: int = Field(alias="StoreRevision")


@dataclass(frozen=True, slots=True)
class ReadMode:
    """Say whether a read may return data that is seconds old, at a tenth of the price."""

    may_be_stale: bool = False


FRESH = ReadMode()
STALE = ReadMode(may_be_stale=True)


def dump_object(item: PlatformObject) -> dict[str, Any]:
    """Return the JSON content of an object; an unknown revision is left out."""
    content = item.model_dump(by_alias=True)
    if not item.metadata.revision:
        del content["Metadata"]["Rev"]
    return content
