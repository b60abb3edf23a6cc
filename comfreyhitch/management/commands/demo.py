"""Show a small fleet at work on loopback."""

from cleo.commands.command import Command

from comfreyhitch.management.exit_codes import ExitCode
from comfreyhitch.testing.demo import run_demo


class DemoCommand(Command):
    """Run Kleinhuis' services, a zone out and back, a good and a bad rollout."""

    name = "demo"
    description = "Run a small fleet on loopback and show what it does"
    help = "Takes about two minutes and needs nothing else. Ends all that it started."

    def handle(self) -> int:
        """Run the demo, and print what happens."""
        return ExitCode.OK if run_demo(self.line) else ExitCode.FAILED
