"""Run the daemon beside a target."""

import os
import sys
from dataclasses import fields
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import option

import comfreyhitch.conf.checks  # noqa: F401  Registers the checks.
from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.conf.loader import export_settings, get_flag_name, load_settings
from comfreyhitch.conf.models import Settings
from comfreyhitch.core.checks import run_checks
from comfreyhitch.management.common import report_input_errors


def make_settings_options() -> list:
    """Return one option for each setting."""
    return [
        option(get_flag_name(item.name), None, item.type.__metadata__[-1].description, flag=False)
        for item in fields(Settings)
    ]


class DaemonCommand(Command):
    """Check the settings, then replace this process by the daemon."""

    name = "daemon"
    description = "Run the daemon beside a target"
    options: ClassVar = make_settings_options()
    help = """Each option can also be given as an environment variable, such as
COMFREYHITCH_HTTP_PORT for --http-port. Durations are in seconds.

    comfreyhitch daemon --zone za-1 --platform-url http://10.0.0.5:7000"""

    def handle(self) -> int:
        """Replace this process by the daemon, which needs less memory than the CLI."""
        names = [get_flag_name(item.name) for item in fields(Settings)]
        flags = {name: value for name in names if (value := self.option(name)) is not None}
        try:
            settings = load_settings(os.environ, flags)
        except SettingsError as error:
            return report_input_errors(self, str(error).splitlines())
        errors = run_checks(settings)
        if errors:
            return report_input_errors(self, [str(error) for error in errors])
        environment = {**os.environ, **export_settings(settings)}
        arguments = [sys.executable, "-m", "comfreyhitch.daemon"]
        os.execve(sys.executable, arguments, environment)
        return 0
