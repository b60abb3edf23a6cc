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
_OPENING = b"[{"
_CLOSING = b"]}"


def decode_json(body: bytes) -> Result[Any, str]:
    """Return the content of a body, or why it is no JSON.

    What is nested too deeply is read as null, and an integer that is too long as infinity, so that
    the rest of the body can be used.
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
    return json.loads(body, parse_int=_parse_integer)


def _parse_integer(text: str) -> int | float:
    return int(text) if len(text) <= MAX_INTEGER_DIGITS else math.inf
