"""Tell what became of one request from the logs of many daemons."""

from pathlib import Path
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument

from comfreyhitch.management.common import report_input_errors
from comfreyhitch.management.exit_codes import ExitCode
from comfreyhitch.telemetry.request_traces import build_request_trace, parse_log_lines


class ExplainCommand(Command):
    """Print the lines about a request in order, and what its daemons believed."""

    name = "explain"
    description = "Tell what became of a request, from the logs of many daemons"
    arguments: ClassVar = [
        argument("request", "id of the request, as its caller sent it"),
        argument("logs", "paths of logs", multiple=True),
    ]
    help = """Exit code 1 means that no line tells of the request.

    comfreyhitch explain 9c41d07be2a35f68 logs/*.log"""

    def handle(self) -> int:
        """Read all logs, and tell the story."""
        texts: list[str] = []
        for path in self.argument("logs"):
            try:
                texts.extend(Path(path).read_text(errors="replace").splitlines())
            except OSError as error:
                return report_input_errors(
                    self, [f"{path}: {error.strerror}; name a log that exists"]
                )
        trace = build_request_trace(parse_log_lines(texts), self.argument("request"))
        if not trace.lines:
            self.line_error(
                "no line tells of this request; successful requests are logged in part only"
            )
            return ExitCode.FAILED
        for line in trace.lines:
            self.line(line.describe())
        if trace.suppressed_line_count:
            self.line(f"before these lines {trace.suppressed_line_count} others were left out")
        self.line("what its daemons believed:")
        for line in trace.context:
            self.line(f"  {line.describe()}")
        return ExitCode.OK
