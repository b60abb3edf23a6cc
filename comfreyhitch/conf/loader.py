"""Read settings from flags and environment variables."""

from collections.abc import Mapping

from pydantic import ValidationError

from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.conf.models import Settings

ENVIRONMENT_PREFIX = "COMFREYHITCH_"


def get_environment_name(setting: str) -> str:
    """Return the environment variable of a setting."""
    return ENVIRONMENT_PREFIX + setting.upper()


def get_flag_name(setting: str) -> str:
    """Return the flag of a setting, without its dashes."""
    return setting.replace("_", "-")


def load_settings(environment: Mapping[str, str], flags: Mapping[str, str]) -> Settings:
    """Return checked settings, flags first; raise `SettingsError` if they are wrong."""
    values = _read_environment(environment)
    values.update({name.replace("-", "_"): value for name, value in flags.items()})
    try:
        return Settings.model_validate(_convert_values(values))
    except ValidationError as error:
        raise SettingsError(_describe_errors(error)) from None


def read_overrides(environment: Mapping[str, str], reserved: str) -> dict[str, object]:
    """Return the settings that stand in the environment, but for one variable's."""
    return _convert_values(
        _read_environment({key: text for key, text in environment.items() if key != reserved})
    )


def export_settings(settings: Settings) -> dict[str, str]:
    """Return the environment variables that describe settings other than the defaults."""
    variables = {}
    for name in settings.model_fields_set:
        value = getattr(settings, name)
        if value is None:
            continue
        if isinstance(value, tuple):
            value = ",".join(value)
        if hasattr(value, "total_seconds"):
            value = value.total_seconds()
        variables[get_environment_name(name)] = str(value)
    return variables


def _read_environment(environment: Mapping[str, str]) -> dict[str, str]:
    values = {}
    for variable, value in environment.items():
        if variable.startswith(ENVIRONMENT_PREFIX):
            values[variable.removeprefix(ENVIRONMENT_PREFIX).lower()] = value
    return values


def _convert_values(values: Mapping[str, str]) -> dict[str, object]:
    converted: dict[str, object] = {}
    for name, value in values.items():
        annotation = Settings.model_fields.get(name)
        if name == "peers":
            converted[name] = tuple(part for part in value.split(",") if part)
        elif annotation is not None and isinstance(annotation.default, type(_DURATION)):
            converted[name] = _parse_seconds(value)
        else:
            converted[name] = value
    return converted


_DURATION = Settings.model_fields["default_timeout"].default


def _parse_seconds(value: str) -> float | str:
    try:
        return float(value)
    except ValueError:
        return value


def _describe_errors(error: ValidationError) -> str:
    lines = []
    for item in error.errors():
        setting = str(item["loc"][0])
        flag = get_flag_name(setting)
        variable = get_environment_name(setting)
        if item["type"] == "extra_forbidden":
            lines.append(f"{variable} (--{flag}): no such setting; remove it or correct its name")
            continue
        lines.append(f"{variable} (--{flag}): {item['msg']}, got {item['input']!r}; correct it")
    return "\n".join(lines)
