"""Write sections to the platform by conditional update."""

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
    """Describe another operator's edit that was written first."""

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
    """Write a section if its generation is still that of `base`.

    After a conflict or a lost response, the section is read back: its writer mark tells
    whether this write took effect.
    """
    writer_mark = secrets.token_hex(8)
    for _ in range(MAX_WRITE_ATTEMPTS):
        written = _attempt_write(client, name, content, base, writer_mark)
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
        # The generation is unchanged: only the status was updated, or the write had no
        # effect. The edit still applies and is retried on the revision just read.
        base = item
    return written


def _attempt_write(
    client: PlatformClient,
    name: str,
    content: dict[str, Any],
    base: StoredSection | None,
    writer_mark: str,
) -> Result[StoredSection, PlatformError]:
    writer = _get_writer()
    if base is None:
        new_section = StoredSection(name, 0, content, writer=writer, writer_mark=writer_mark)
        return create_section(client, new_section)
    changed_section = replace(base, content=content, writer=writer, writer_mark=writer_mark)
    return update_section(client, changed_section)


def read_section(client: PlatformClient, name: str) -> Result[StoredSection | None, PlatformError]:
    """Return a section, or None if it does not exist."""
    match get_section(client, name):
        case Err(PlatformError(failure=PlatformFailure.NOT_FOUND)):
            return Ok(None)
        case found:
            return found


def _read_back(client: PlatformClient, name: str) -> Result[StoredSection | None, PlatformError]:
    """Return the current section, whose writer mark identifies the edit that it holds."""
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
