"""Change one section in the platform by conditional update."""

import getpass
import secrets
from dataclasses import dataclass, replace
from typing import Any

from result import Err, Ok, Result

from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.sections.storage import (
    StoredSection,
    create_section,
    get_section,
    update_section,
)

MAX_WRITE_ATTEMPTS = 5
MAX_READ_ATTEMPTS = 3
READ_BACK_FAILURES = frozenset({PlatformFailure.CONFLICT, PlatformFailure.UNAVAILABLE})


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
    base: StoredSection | None,
) -> Result[StoredSection, EditError]:
    """Write a section if its content is still as it was read, and settle a lost answer."""
    writer_mark = secrets.token_hex(8)
    for _ in range(MAX_WRITE_ATTEMPTS):
        written = _write_once(client, name, content, base, writer_mark)
        if written.is_ok() or written.err_value.failure not in READ_BACK_FAILURES:
            return written
        found = _read_back(client, name)
        if found.is_err():
            return written
        item = found.ok_value
        if item is not None and item.writer_mark == writer_mark:
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
    base: StoredSection | None,
    writer_mark: str,
) -> Result[StoredSection, PlatformError]:
    writer = _get_writer()
    if base is None:
        first = StoredSection(name, 0, content, writer=writer, writer_mark=writer_mark)
        return create_section(client, first)
    changed = replace(base, content=content, writer=writer, writer_mark=writer_mark)
    return update_section(client, changed)


def read_section(client: PlatformClient, name: str) -> Result[StoredSection | None, PlatformError]:
    """Return a section, or None if there is none of this name."""
    match get_section(client, name):
        case Err(PlatformError(failure=PlatformFailure.NOT_FOUND)):
            return Ok(None)
        case found:
            return found


def _read_back(client: PlatformClient, name: str) -> Result[StoredSection | None, PlatformError]:
    """Return the section as it is now: the writer's mark tells whose edit it holds."""
    for _ in range(MAX_READ_ATTEMPTS):
        found = read_section(client, name)
        if found.is_ok():
            return found
    return found


def _get_generation(item: StoredSection | None) -> int:
    return 0 if item is None else item.generation


def _make_conflict(item: StoredSection | None, error: PlatformError) -> Result[Any, EditError]:
    if item is None:
        return Err(error)
    return Err(EditConflict(item.writer or "unknown", item.generation, item.content))


def _get_writer() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
