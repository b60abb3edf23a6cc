"""Check settings and a document without contacting a daemon or the platform."""

import os
from pathlib import Path
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option

import comfreyhitch.conf.checks  # noqa: F401  Registers the checks.
from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.conf.loader import load_settings
from comfreyhitch.core.checks import run_checks
from comfreyhitch.management.common import report_input_errors
from comfreyhitch.management.documents import check_document, read_document
from comfreyhitch.management.exit_codes import ExitCode
from comfreyhitch.platform.settings import get_addresses, make_settings, read_file


class CheckCommand(Command):
    """Check the settings in the environment and, if given, a document."""

    name = "check"
    description = "Check settings and a document, offline"
    arguments: ClassVar = [argument("document", "path of a YAML document", optional=True)]
    options: ClassVar = [
        option("platform-file", None, "path of a settings file written by the platform", flag=False)
    ]
    help = """Exit code 0 means that no errors were found, 2 that something must be corrected.

    comfreyhitch check document.yaml"""

    def handle(self) -> int:
        """Print every error with its location."""
        path = self.option("platform-file")
        settings_errors = _check_settings() if path is None else _check_platform_file(Path(path))
        errors = [*settings_errors, *_check_document(self.argument("document"))]
        if errors:
            return report_input_errors(self, errors)
        self.line("no errors")
        return ExitCode.OK


def _check_settings() -> list[str]:
    try:
        settings = load_settings(os.environ, {})
    except SettingsError as error:
        return str(error).splitlines()
    return [str(error) for error in run_checks(settings)]


def _check_platform_file(path: Path) -> list[str]:
    try:
        values = read_file(path)
        settings = make_settings(values, os.environ)
        get_addresses(values)
    except SettingsError as error:
        return str(error).splitlines()
    except KeyError as error:
        return [f"{path}: {error.args[0]} is missing; the platform must set it"]
    return [str(error) for error in run_checks(settings)]


def _check_document(path: str | None) -> list[str]:
    if path is None:
        return []
    document = read_document(Path(path))
    if document.is_err():
        return document.err_value
    return check_document(path, document.ok_value)
