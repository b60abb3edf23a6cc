"""Errors of settings."""

from dataclasses import dataclass


class SettingsError(Exception):
    """Report settings that can't be used; the message names them and the remedy."""


@dataclass(frozen=True, slots=True)
class InvalidSetting:
    """Hold which setting has a wrong value, and why it is wrong."""

    name: str
    value: object
    reason: str


class InvalidSettingsError(SettingsError):
    """Report each setting that has a wrong value."""

    def __init__(self, invalid_settings: list[InvalidSetting]) -> None:
        super().__init__("; ".join(f"{item.name}: {item.reason}" for item in invalid_settings))
        self.invalid_settings = invalid_settings
