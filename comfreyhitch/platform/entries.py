"""Read objects, lists and batches of the store, without the odd entries of other writers."""

import logging
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from comfreyhitch.platform.decoding import escape_unreadable_text, has_unreadable_text
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.platform.models import ChangeBatch, ObjectChange, ObjectList, PlatformObject

logger = logging.getLogger(__name__)

Model = TypeVar("Model", bound=msgspec.Struct)

# The field that holds the entries of a list or a batch, and their model.
_ENTRIES_BY_MODEL = {ObjectList: ("items", PlatformObject), ChangeBatch: ("events", ObjectChange)}


def parse_page(
    model: type[Model], content: Any, era: int | None, holds_unreadable_text: bool
) -> Result[Model, PlatformError]:
    """Return an object, or a list or batch without its odd entries."""
    if model is PlatformObject:
        return parse_entry(model, content)
    parsed = _parse(model, content)
    odd_names: list[str] = []
    if parsed.is_err() or holds_unreadable_text:
        content, odd_names = _separate_odd_entries(model, content)
        parsed = _parse(model, content)
    return parsed.map(
        lambda page: msgspec.structs.replace(page, era=era, odd_names=frozenset(odd_names))
    )


def parse_entry(model: type[Model], content: Any) -> Result[Model, PlatformError]:
    """Return an object or a change, or why it can't be used, sent to peers or written again."""
    if has_unreadable_text(content):
        return Err(PlatformError(PlatformFailure.REFUSED, "holds text that can't be read"))
    return _parse(model, content)


def _separate_odd_entries(model: type[Model], content: Any) -> tuple[Any, list[str]]:
    """Return a list or batch without the entries that are no objects, and the names of those.

    Another writer may have left them, and the others hold.
    """
    field, entry_model = _ENTRIES_BY_MODEL[model]
    entries = content.get(field) if isinstance(content, dict) else None
    if not isinstance(entries, list):
        return content, []
    good = []
    odd_names = []
    for entry in entries:
        parsed = parse_entry(entry_model, entry)
        if parsed.is_ok():
            good.append(entry)
            continue
        name = _find_name(entry)
        odd_names.append(name)
        logger.warning(
            "entry of the store is ignored",
            extra={
                "entry": escape_unreadable_text(name),
                "reason": escape_unreadable_text(str(parsed.err_value)[:200]),
            },
        )
    return {**content, field: good}, odd_names


def _find_name(entry: Any) -> str:
    """Return the name of an entry that may lack any field, or an empty string."""
    for field in ("Object", "Metadata", "Name"):
        if isinstance(entry, dict):
            entry = entry.get(field, entry)
    return entry if isinstance(entry, str) else ""


def _parse(model: type[Model], content: Any) -> Result[Model, PlatformError]:
    try:
        return Ok(msgspec.convert(content, model))
    except (msgspec.ValidationError, UnicodeError, RecursionError) as error:
        return Err(PlatformError(PlatformFailure.REFUSED, f"not a {model.__name__}: {error}"))
