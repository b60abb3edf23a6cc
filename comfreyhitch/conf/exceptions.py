"""Errors of settings."""

from dataclasses import dataclass


class SettingsError(Exception):
    """Report settings that can't be used; the message names them and, if known, the remedy."""


@dataclass(frozen=True, slots=True)
class InvalidSetting:
    """Hold the name and value of an invalid setting, and why it is invalid."""

    name: str
    value: object
    reason: str


class InvalidSettingsError(SettingsError):
    """Report all invalid settings."""

    def __init__(self, invalid_settings: list[InvalidSetting]) -> None:
        super().__init__("; ".join(f"{item.name}: {item.reason}" for item in invalid_settings))
        self.invalid_settings = invalid_settings
