"""Durations as the platform writes them: a number and its unit, `ms` or `s`."""

import re
from datetime import timedelta

_PATTERN = re.compile(r"(\d+(?:\.\d+)?)(ms|s)")
_MILLISECONDS_BY_UNIT = {"ms": 1.0, "s": 1000.0}
MAX_MILLISECONDS = 366 * 24 * 3600 * 1000.0


def parse_duration(text: object) -> timedelta:
    """Parse a duration; raise `ValueError` if it is malformed or longer than a year."""
    if isinstance(text, timedelta):
        return text
    match = _PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is not a number with the unit ms or s")
    milliseconds = float(match[1]) * _MILLISECONDS_BY_UNIT[match[2]]
    if milliseconds > MAX_MILLISECONDS:
        raise ValueError(f"{text!r} is longer than a year")
    return timedelta(milliseconds=milliseconds)


class Duration(timedelta):
    """Mark fields that hold a duration as the platform writes it."""


def decode_duration(wanted_type: type, value: object) -> object:
    """Decode a field of type `Duration` for msgspec; raise `ValueError` if it is invalid."""
    if wanted_type is not Duration:
        raise NotImplementedError(wanted_type)
    return Duration(seconds=parse_duration(value).total_seconds())
