"""Validate settings one by one, so that every invalid one is reported."""

from collections.abc import Mapping
from dataclasses import fields
from datetime import timedelta
from typing import get_args

import msgspec

from comfreyhitch.conf.exceptions import InvalidSetting, InvalidSettingsError
from comfreyhitch.conf.models import Settings

UNKNOWN_SETTING = "no such setting"


def make_settings(values: Mapping[str, object]) -> Settings:
    """Return settings with the given values, and defaults for the others.

    Numbers may be given as text; durations are in seconds. Raise `InvalidSettingsError`, which
    lists all invalid values.
    """
    types_by_name = {item.name: item.type for item in fields(Settings)}
    invalid_settings = []
    checked = {}
    for name, value in values.items():
        if name not in types_by_name:
            invalid_settings.append(InvalidSetting(name, value, UNKNOWN_SETTING))
            continue
        try:
            checked[name] = _convert_value(value, types_by_name[name])
        except ValueError as error:
            invalid_settings.append(InvalidSetting(name, value, str(error)))
    if invalid_settings:
        raise InvalidSettingsError(invalid_settings)
    return Settings(**checked)


def _convert_value(value: object, wanted_type: object) -> object:
    if get_args(wanted_type)[0] is timedelta:
        seconds = msgspec.convert(value, float, strict=False)
        if not 0 < seconds <= timedelta.max.total_seconds():
            raise ValueError("a duration is a positive number of seconds")
        return timedelta(seconds=seconds)
    return msgspec.convert(value, wanted_type, strict=False)
