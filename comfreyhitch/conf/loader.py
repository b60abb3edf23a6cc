"""Read settings from flags and environment variables."""

from collections.abc import Mapping
from dataclasses import fields
from datetime import timedelta

from comfreyhitch.conf.exceptions import InvalidSetting, InvalidSettingsError, SettingsError
from comfreyhitch.conf.models import Settings
from comfreyhitch.conf.validation import UNKNOWN_SETTING, make_settings

ENVIRONMENT_PREFIX = "COMFREYHITCH_"


def get_environment_name(setting: str) -> str:
    """Return the name of the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + setting.upper()


def get_flag_name(setting: str) -> str:
    """Return the name of the flag of a setting, without leading dashes."""
    return setting.replace("_", "-")


def load_settings(environment: Mapping[str, str], flags: Mapping[str, str]) -> Settings:
    """Return settings, with flags overriding variables; raise `SettingsError` if any is invalid."""
    values = _read_environment(environment)
    values.update({name.replace("-", "_"): value for name, value in flags.items()})
    try:
        return make_settings(_convert_values(values))
    except InvalidSettingsError as error:
        raise SettingsError(_describe_errors(error.invalid_settings)) from None


def read_overrides(environment: Mapping[str, str], reserved: str) -> dict[str, object]:
    """Return the settings given as environment variables, except the variable `reserved`."""
    return _convert_values(
        _read_environment({key: text for key, text in environment.items() if key != reserved})
    )


def export_settings(settings: Settings) -> dict[str, str]:
    """Return the environment variables that describe settings other than the defaults."""
    variables = {}
    for item in fields(Settings):
        value = getattr(settings, item.name)
        if value == item.default:
            continue
        if isinstance(value, tuple):
            value = ",".join(value)
        if isinstance(value, timedelta):
            value = value.total_seconds()
        variables[get_environment_name(item.name)] = str(value)
    return variables


def _read_environment(environment: Mapping[str, str]) -> dict[str, str]:
    values = {}
    for variable, value in environment.items():
        if variable.startswith(ENVIRONMENT_PREFIX):
            values[variable.removeprefix(ENVIRONMENT_PREFIX).lower()] = value
    return values


def _convert_values(values: Mapping[str, str]) -> dict[str, object]:
    converted: dict[str, object] = dict(values)
    if "peers" in values:
        converted["peers"] = tuple(part for part in values["peers"].split(",") if part)
    return converted


def _describe_errors(invalid_settings: list[InvalidSetting]) -> str:
    lines = []
    for item in invalid_settings:
        flag = get_flag_name(item.name)
        variable = get_environment_name(item.name)
        if item.reason == UNKNOWN_SETTING:
            lines.append(f"{variable} (--{flag}): {UNKNOWN_SETTING}; remove it or correct its name")
            continue
        lines.append(f"{variable} (--{flag}): {item.reason}, got {item.value!r}; correct it")
    return "\n".join(lines)
