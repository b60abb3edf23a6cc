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

SETTLE_TRIES = 3


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
    """Write a section if it is still as it was read, and settle a lost answer."""
    mark = secrets.token_hex(8)
    annotations = {WRITER_MARK_ANNOTATION: mark, WRITER_ANNOTATION: _get_writer()}
    if base is None:
        metadata = Metadata(name=name, annotations=annotations)
        written = create_object(client, SECTIONS, PlatformObject(metadata=metadata, spec=content))
    else:
        metadata = base.metadata.model_copy(update={"annotations": annotations})
        changed = PlatformObject(metadata=metadata, spec=content, status=base.status)
        written = update_object(client, SECTIONS, changed)
    match written:
        case Ok(item):
            return Ok(item)
        case Err(PlatformError(failure=PlatformFailure.CONFLICT | PlatformFailure.UNAVAILABLE)):
            return _settle(client, name, mark, written.err_value)
        case Err(error):
            return Err(error)


def read_section(client: PlatformClient, name: str) -> Result[PlatformObject | None, PlatformError]:
    """Return a section, or None if there is none of this name."""
    match get_object(client, SECTIONS, name):
        case Err(PlatformError(failure=PlatformFailure.NOT_FOUND)):
            return Ok(None)
        case found:
            return found


def _settle(
    client: PlatformClient, name: str, mark: str, error: PlatformError
) -> Result[PlatformObject, EditError]:
    """Read the section back: the writer's mark tells whether the write took effect."""
    for _ in range(SETTLE_TRIES):
        found = read_section(client, name)
        if found.is_err():
            continue
        item = found.ok_value
        if item is not None and item.metadata.annotations.get(WRITER_MARK_ANNOTATION) == mark:
            return Ok(item)
        if item is not None and error.failure is PlatformFailure.CONFLICT:
            writer = item.metadata.annotations.get(WRITER_ANNOTATION, "unknown")
            return Err(EditConflict(writer, item.metadata.generation, item.spec))
        return Err(error)
    return Err(error)


def _get_writer() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
