"""The command line application."""

from cleo.application import Application

from comfreyhitch import __version__
from comfreyhitch.management.commands.apply import ApplyCommand
from comfreyhitch.management.commands.check import CheckCommand
from comfreyhitch.management.commands.daemon import DaemonCommand
from comfreyhitch.management.commands.demo import DemoCommand
from comfreyhitch.management.commands.edit import EditCommand
from comfreyhitch.management.commands.explain import ExplainCommand
from comfreyhitch.management.commands.get import GetCommand
from comfreyhitch.management.commands.members import MembersCommand
from comfreyhitch.management.commands.status import StatusCommand


def make_application() -> Application:
    """Return the application with all commands registered."""
    application = Application("comfreyhitch", __version__)
    for command in (
        ApplyCommand(),
        CheckCommand(),
        DaemonCommand(),
        DemoCommand(),
        EditCommand(),
        ExplainCommand(),
        GetCommand(),
        MembersCommand(),
        StatusCommand(),
    ):
        application.add(command)
    return application
