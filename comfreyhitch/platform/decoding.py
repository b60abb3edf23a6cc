"""Decode JSON that the platform sends, although another writer may have left odd entries in it."""

import json
import math
import re
from typing import Any

from result import Err, Ok, Result

# Documents of operators are nested far less.
MAX_NESTING = 100
# Longer numbers have no meaning in any field, and converting them takes long.
MAX_INTEGER_DIGITS = 30
_TOKEN_PATTERN = re.compile(rb'"(?:[^"\\\\]|\\\\.)*"|[\[\]{}]', re.DOTALL)
# The start of an escaped surrogate, alone or in a pair.
_SURROGATE_PATTERN = re.compile(rb"\\u[dD][89a-fA-F]")
_OPENING = b"[{"
_CLOSING = b"]}"


def decode_json(body: bytes) -> Result[Any, str]:
    """Return the content of a body, or why it is no JSON.

    What is nested too deeply is read as null, an integer that is too long as infinity, and bytes
    that are no UTF-8 as lone surrogates, so that the rest of the body can be used.
    """
    try:
        return Ok(_load(body))
    except RecursionError:
        pass
    except ValueError as error:
        return Err(str(error))
    try:
        return Ok(_load(prune_nesting(body)))
    except (ValueError, RecursionError) as error:
        return Err(str(error))


def may_have_unreadable_text(body: bytes) -> bool:
    """Return whether a body may hold text that can't be encoded again."""
    if _SURROGATE_PATTERN.search(body):
        return True
    try:
        body.decode()
    except UnicodeDecodeError:
        return True
    return False


def has_unreadable_text(content: Any) -> bool:
    """Return whether any text in decoded JSON holds a lone surrogate, which can't be encoded."""
    pending = [content]
    while pending:
        value = pending.pop()
        if isinstance(value, dict):
            pending.extend(value.keys())
            pending.extend(value.values())
        elif isinstance(value, list):
            pending.extend(value)
        elif isinstance(value, str) and not _is_encodable(value):
            return True
    return False


def escape_unreadable_text(text: str) -> str:
    """Return a text with escapes in place of lone surrogates."""
    return text.encode(errors="backslashreplace").decode()


def prune_nesting(body: bytes) -> bytes:
    """Return JSON in which null replaces all that is nested deeper than `MAX_NESTING`."""
    pieces = []
    depth = 0
    kept_until = 0
    for token in _TOKEN_PATTERN.finditer(body):
        first = token.group()[:1]
        if first in _OPENING:
            depth += 1
            if depth == MAX_NESTING + 1:
                pieces.extend((body[kept_until : token.start()], b"null"))
        elif first in _CLOSING:
            if depth == MAX_NESTING + 1:
                kept_until = token.end()
            depth -= 1
    return b"".join([*pieces, body[kept_until:]])


def _load(body: bytes) -> Any:
    text = body.decode("utf-8-sig", errors="surrogateescape")
    return json.loads(text, parse_int=_parse_integer, parse_constant=_parse_constant)


def _is_encodable(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _parse_constant(name: str) -> None:
    """Read NaN and infinities, which are no JSON, as null."""


def _parse_integer(text: str) -> int | float:
    return int(text) if len(text) <= MAX_INTEGER_DIGITS else math.inf
