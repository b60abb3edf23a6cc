"""Documents of the operators as the daemons replicate them."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Any

from result import Err, Ok, Result

from comfreyhitch.routing.models import RouteTable


class DocumentKind(StrEnum):
    """Name what a document is about."""

    ROUTES = "routes"
    ROLLOUT = "rollout"
    ZONE_OUT = "zone-out"


class RolloutState(StrEnum):
    """Name how far the system has said that a rollout has come."""

    NEW = "new"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled-back"


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Hold the order to move a service to a version within a duration."""

    rollout_id: str
    service: str
    to_version: str
    duration: timedelta
    state: RolloutState


@dataclass(frozen=True, slots=True)
class ZoneOutOrder:
    """Hold the order to send nothing to the targets of an availability zone."""

    zone: str


Document = RouteTable | RolloutOrder | ZoneOutOrder


@dataclass(frozen=True, slots=True)
class RawDocument:
    """Hold a document as it stands in the store, or that it was deleted there."""

    kind: DocumentKind
    name: str
    spec: Any = None
    status: Any = None
    is_deleted: bool = False
    created_revision: int = 0

    @property
    def key(self) -> str:
        """Return the key of the document among all kinds."""
        return f"{self.kind.value}/{self.name}"


_REPLICATED_FIELDS = {"spec", "status", "created"}

DecodeDocument = Callable[[RawDocument], Result[Document, str]]


@dataclass(frozen=True, slots=True)
class DocumentSource:
    """Hold under which kind the store keeps documents, and how they are read."""

    kind: DocumentKind
    store_kind: str
    decode: DecodeDocument
    # Whether a daemon that starts may begin with a list that is seconds old.
    allows_stale_first_list: bool = False
    # Returns the status that tells an operator how far a rollout has come.
    encode_status: "Callable[[RolloutOrder, RolloutState], dict[str, Any]] | None" = None


def dump_document(document: RawDocument) -> bytes:
    """Return the bytes that daemons replicate; a deleted document has none."""
    if document.is_deleted:
        return b""
    content = {
        "spec": document.spec,
        "status": document.status,
        "created": document.created_revision,
    }
    return json.dumps(content, sort_keys=True, separators=(",", ":")).encode()


def load_document(key: str, value: bytes) -> Result[RawDocument, str]:
    """Return the document in replicated bytes, or why there is none."""
    kind_name, _, name = key.partition("/")
    try:
        kind = DocumentKind(kind_name)
    except ValueError:
        return Err(f"{key}: unknown kind of document")
    if not value:
        return Ok(RawDocument(kind, name, is_deleted=True))
    try:
        content = json.loads(value)
    except ValueError as error:
        return Err(f"{key}: {error}")
    if not isinstance(content, dict) or content.keys() != _REPLICATED_FIELDS:
        return Err(f"{key}: a document has a spec, a status and the revision of its creation")
    if not isinstance(content["created"], int):
        return Err(f"{key}: the revision of its creation is a number")
    return Ok(
        RawDocument(
            kind,
            name,
            content["spec"],
            content["status"],
            created_revision=content["created"],
        )
    )
