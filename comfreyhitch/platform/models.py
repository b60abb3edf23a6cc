"""Objects as the platform's API holds them."""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field

API_VERSION = "comfreyhitch.example/v1"
WRITER_MARK_ANNOTATION = "comfreyhitch.example/writer-mark"
WRITER_ANNOTATION = "comfreyhitch.example/writer"


class Metadata(BaseModel):
    """Validate the metadata of an object."""

    model_config = ConfigDict(extra="allow")

    name: str
    resource_version: str = Field("", alias="resourceVersion")
    generation: int = 0
    annotations: dict[str, str] = {}


class PlatformObject(BaseModel):
    """Validate an object with a spec and a status."""

    model_config = ConfigDict(extra="ignore")

    metadata: Metadata
    spec: dict[str, Any] = {}
    status: dict[str, Any] = {}


class ObjectList(BaseModel):
    """Validate a list of objects."""

    model_config = ConfigDict(extra="ignore")

    metadata: dict[str, Any] = {}
    items: list[PlatformObject] = []

    @property
    def resource_version(self) -> str:
        """Return the version that a watch continues from."""
        return str(self.metadata.get("resourceVersion", "0"))


class WatchEvent(BaseModel):
    """Validate one event of a watch."""

    model_config = ConfigDict(extra="ignore")

    type: str
    object: PlatformObject


def dump_object(item: PlatformObject, kind: str) -> dict[str, Any]:
    """Return the JSON content of an object."""
    metadata = item.metadata.model_dump(by_alias=True)
    if not metadata["resourceVersion"]:
        del metadata["resourceVersion"]
    return {
        "apiVersion": API_VERSION,
        "kind": kind,
        "metadata": metadata,
        "spec": item.spec,
        "status": item.status,
    }
