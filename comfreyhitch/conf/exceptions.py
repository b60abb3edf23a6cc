"""Errors of settings."""


class SettingsError(Exception):
    """Report settings that stop the start; the message names setting and remedy."""
