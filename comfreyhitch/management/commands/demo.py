"""Run a small fleet on loopback."""

from cleo.commands.command import Command

from comfreyhitch.management.exit_codes import ExitCode
from comfreyhitch.testing.demo import run_demo


class DemoCommand(Command):
    """Demonstrate a zone evacuation, a successful rollout and one that is rolled back."""

    name = "demo"
    description = "Run a small fleet on loopback and show what it does"
    help = "Takes about two minutes and needs no other services. Ends all processes it started."

    def handle(self) -> int:
        """Run the demo and print its progress."""
        return ExitCode.OK if run_demo(self.line) else ExitCode.FAILED
