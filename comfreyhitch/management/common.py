"""Options and error reports shared by several commands."""

import os

from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.option import Option

from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.conf.loader import load_settings
from comfreyhitch.management.documents import format_document
from comfreyhitch.management.editing import EditConflict, EditError
from comfreyhitch.management.exit_codes import ExitCode
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure


def make_platform_options() -> list[Option]:
    """Return the options that locate the platform."""
    return [
        option("platform-url", None, "base URL of the platform's object API", flag=False),
    ]


def make_client(command: Command) -> PlatformClient:
    """Return a client for the platform; raise `SettingsError` if its URL is not set."""
    url = command.option("platform-url")
    flags = {} if url is None else {"platform-url": url}
    settings = load_settings(os.environ, flags)
    if settings.platform_url is None:
        raise SettingsError("COMFREYHITCH_PLATFORM_URL (--platform-url): missing; set it")
    return PlatformClient.from_url(settings.platform_url)


def report_input_errors(command: Command, errors: list[str]) -> int:
    """Print the errors in a command's input, and return the exit code for them."""
    for error in errors:
        command.line_error(error)
    return ExitCode.BAD_INPUT


def report_section_error(command: Command, name: str, error: EditError) -> int:
    """Print why a section could not be read or written, and return the exit code for it."""
    if isinstance(error, EditConflict):
        command.line_error(
            f"{name}: {error.writer} changed the section first, to generation {error.generation}. "
            "Your change was not written. The section is now:"
        )
        command.line_error(format_document({name: error.content}))
        return ExitCode.CONFLICT
    command.line_error(f"{name}: {error}")
    return _get_exit_code(error)


def _get_exit_code(error: PlatformError) -> int:
    if error.failure is PlatformFailure.UNAVAILABLE:
        return ExitCode.UNAVAILABLE
    return ExitCode.FAILED
