"""Models of operators' documents, and their encoding in replicated facts."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum
from typing import Any

from result import Err, Ok, Result

from comfreyhitch.routing.models import RouteTable


class DocumentKind(StrEnum):
    """Name the kinds of documents."""

    ROUTES = "routes"
    ROLLOUT = "rollout"
    ZONE_OUT = "zone-out"


class RolloutState(StrEnum):
    """Name the states of a rollout order; daemons write all but `NEW` to the store."""

    NEW = "new"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled-back"


@dataclass(frozen=True, slots=True)
class ServiceVersion:
    """Name a version of a service."""

    service: str
    version: str


def make_rollout_id(service: str, version: str, revision: int) -> str:
    """Return the id of the rollout that an order of a revision asks for."""
    return f"{service}:{version}:{revision}"


def parse_rollout_id(rollout_id: str) -> ServiceVersion | None:
    """Return what a rollout id of an order moves, or None for an id of another form."""
    service, _, rest = rollout_id.partition(":")
    version, _, revision = rest.rpartition(":")
    if not service or not version or not revision.isascii() or not revision.isdigit():
        return None
    return ServiceVersion(service, version)


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Hold an operator's order to roll out a version of a service within a duration.

    `created_revision` is that of the object which holds the order in the store now.
    """

    rollout_id: str
    service: str
    to_version: str
    duration: timedelta
    state: RolloutState
    created_revision: int = 0


@dataclass(frozen=True, slots=True)
class ZoneOutOrder:
    """Hold an operator's order to take an availability zone out.

    The targets of a zone that is out get no new requests.
    """

    zone: str


Document = RouteTable | RolloutOrder | ZoneOutOrder


@dataclass(frozen=True, slots=True)
class RawDocument:
    """Hold a document as stored, before decoding, or its deletion from the store."""

    kind: DocumentKind
    name: str
    spec: Any = None
    status: Any = None
    is_deleted: bool = False
    created_revision: int = 0
    # Creation of the document that this one continues, after the store has lost that one.
    origin_revision: int | None = None

    @property
    def identity_revision(self) -> int:
        """Return the revision that identifies a document, also when it is written again."""
        return self.created_revision if self.origin_revision is None else self.origin_revision

    @property
    def key(self) -> str:
        """Return the key, which is unique among the documents of all kinds."""
        return f"{self.kind.value}/{self.name}"


_REPLICATED_FIELDS = {"spec", "status", "created"}
_ORIGIN_FIELD = "origin"

DecodeDocument = Callable[[RawDocument], Result[Document, str]]


@dataclass(frozen=True, slots=True)
class DocumentSource:
    """Describe one kind of document: its object kind in the store, and how it is converted."""

    kind: DocumentKind
    store_kind: str
    decode: DecodeDocument
    # Whether the first list after a start may be a few seconds old.
    allows_stale_initial_list: bool = False
    # Returns the status that shows an operator the state of a rollout order; None for other
    # kinds of documents.
    encode_status: "Callable[[RolloutOrder, RolloutState], dict[str, Any]] | None" = None
    # Returns the number by which operators order the documents of this kind; None if only the
    # store orders them.
    get_number: Callable[[RawDocument], int] | None = None


def dump_document(document: RawDocument) -> bytes:
    """Encode a document for replication; a deletion is encoded as no bytes."""
    if document.is_deleted:
        return b""
    content = {
        "spec": document.spec,
        "status": document.status,
        "created": document.created_revision,
    }
    if document.origin_revision is not None:
        content[_ORIGIN_FIELD] = document.origin_revision
    return json.dumps(content, sort_keys=True, separators=(",", ":")).encode()


def load_document(key: str, value: bytes) -> Result[RawDocument, str]:
    """Decode a replicated document, or return why it is invalid."""
    kind_name, _, name = key.partition("/")
    try:
        kind = DocumentKind(kind_name)
    except ValueError:
        return Err(f"{key}: unknown document kind")
    if not value:
        return Ok(RawDocument(kind, name, is_deleted=True))
    try:
        content = json.loads(value)
    except (ValueError, RecursionError) as error:
        return Err(f"{key}: {error}")
    if not isinstance(content, dict) or content.keys() - {_ORIGIN_FIELD} != _REPLICATED_FIELDS:
        return Err(f"{key}: document fields must be exactly spec, status, created and maybe origin")
    origin = content.get(_ORIGIN_FIELD)
    if not isinstance(content["created"], int) or not isinstance(origin, int | None):
        return Err(f"{key}: created and origin must be integer revisions")
    return Ok(
        RawDocument(
            kind,
            name,
            content["spec"],
            content["status"],
            created_revision=content["created"],
            origin_revision=origin,
        )
    )
