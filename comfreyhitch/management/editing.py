"""Change one section in the platform by conditional update."""

import getpass
import secrets
from dataclasses import dataclass
from typing import Any

from result import Err, Ok, Result

from comfreyhitch.platform.client import (
    SECTIONS,
    PlatformClient,
    create_object,
    get_object,
    update_object,
)
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.platform.models import (
    WRITER_ANNOTATION,
    WRITER_MARK_ANNOTATION,
    Metadata,
    PlatformObject,
)

WRITE_TRIES = 5
SETTLE_TRIES = 3
SETTLED_FAILURES = frozenset({PlatformFailure.CONFLICT, PlatformFailure.UNAVAILABLE})


@dataclass(frozen=True, slots=True)
class EditConflict:
    """Hold the edit of another operator that came first."""

    writer: str
    generation: int
    content: dict[str, Any]


EditError = EditConflict | PlatformError


def write_section(
    client: PlatformClient,
    name: str,
    content: dict[str, Any],
    base: PlatformObject | None,
) -> Result[PlatformObject, EditError]:
    """Write a section if its content is still as it was read, and settle a lost answer."""
    mark = secrets.token_hex(8)
    for _ in range(WRITE_TRIES):
        written = _write_once(client, name, content, base, mark)
        if written.is_ok() or written.err_value.failure not in SETTLED_FAILURES:
            return written
        found = _read_back(client, name)
        if found.is_err():
            return written
        item = found.ok_value
        if item is not None and item.metadata.annotations.get(WRITER_MARK_ANNOTATION) == mark:
            return Ok(item)
        if _get_generation(item) != _get_generation(base):
            return _make_conflict(item, written.err_value)
        # Only the status changed, or nothing was written: the edit still applies.
        base = item
    return written


def _write_once(
    client: PlatformClient,
    name: str,
    content: dict[str, Any],
    base: PlatformObject | None,
    mark: str,
) -> Result[PlatformObject, PlatformError]:
    annotations = {WRITER_MARK_ANNOTATION: mark, WRITER_ANNOTATION: _get_writer()}
    if base is None:
        metadata = Metadata(name=name, annotations=annotations)
        return create_object(client, SECTIONS, PlatformObject(metadata=metadata, spec=content))
    metadata = base.metadata.model_copy(update={"annotations": annotations})
    changed = PlatformObject(metadata=metadata, spec=content, status=base.status)
    return update_object(client, SECTIONS, changed)


def read_section(client: PlatformClient, name: str) -> Result[PlatformObject | None, PlatformError]:
    """Return a section, or None if there is none of this name."""
    match get_object(client, SECTIONS, name):
        case Err(PlatformError(failure=PlatformFailure.NOT_FOUND)):
            return Ok(None)
        case found:
            return found


def _read_back(client: PlatformClient, name: str) -> Result[PlatformObject | None, PlatformError]:
    """Return the section as it is now: the writer's mark tells whose edit it holds."""
    for _ in range(SETTLE_TRIES):
        found = read_section(client, name)
        if found.is_ok():
            return found
    return found


def _get_generation(item: PlatformObject | None) -> int:
    return 0 if item is None else item.metadata.generation


def _make_conflict(item: PlatformObject | None, error: PlatformError) -> Result[Any, EditError]:
    if item is None:
        return Err(error)
    writer = item.metadata.annotations.get(WRITER_ANNOTATION, "unknown")
    return Err(EditConflict(writer, item.metadata.generation, item.spec))


def _get_writer() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
