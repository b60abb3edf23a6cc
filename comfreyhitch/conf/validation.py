"""Check the values of settings one by one, so that each wrong one is told."""

from collections.abc import Mapping
from dataclasses import fields
from datetime import timedelta
from typing import get_args

import msgspec

from comfreyhitch.conf.exceptions import InvalidSetting, InvalidSettingsError
from comfreyhitch.conf.models import Settings

UNKNOWN_SETTING = "no such setting"


def make_settings(values: Mapping[str, object]) -> Settings:
    """Return settings with some values; raise `BadSettingsError` that holds each wrong one.

    Numbers may stand in texts, and durations are seconds.
    """
    types_by_name = {item.name: item.type for item in fields(Settings)}
    invalid_settings = []
    checked = {}
    for name, value in values.items():
        if name not in types_by_name:
            invalid_settings.append(InvalidSetting(name, value, UNKNOWN_SETTING))
            continue
        try:
            checked[name] = _check(value, types_by_name[name])
        except ValueError as error:
            invalid_settings.append(InvalidSetting(name, value, str(error)))
    if invalid_settings:
        raise InvalidSettingsError(invalid_settings)
    return Settings(**checked)


def _check(value: object, wanted: object) -> object:
    if get_args(wanted)[0] is timedelta:
        seconds = msgspec.convert(value, float, strict=False)
        if not 0 < seconds <= timedelta.max.total_seconds():
            raise ValueError("a duration is a positive number of seconds")
        return timedelta(seconds=seconds)
    return msgspec.convert(value, wanted, strict=False)
