"""Errors of settings."""

from dataclasses import dataclass


class SettingsError(Exception):
    """Report settings that can't be used; the message names them and the remedy."""


@dataclass(frozen=True, slots=True)
class WrongValue:
    """Hold which setting has a wrong value, and why it is wrong."""

    name: str
    value: object
    reason: str


class BadSettingsError(SettingsError):
    """Report each setting that has a wrong value."""

    def __init__(self, wrong: list[WrongValue]) -> None:
        super().__init__("; ".join(f"{item.name}: {item.reason}" for item in wrong))
        self.wrong = wrong
