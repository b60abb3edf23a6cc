"""Trace one request through the logs of several daemons."""

from pathlib import Path
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument

from comfreyhitch.management.common import report_input_errors
from comfreyhitch.management.exit_codes import ExitCode
from comfreyhitch.telemetry.request_traces import build_request_trace, parse_log_lines


class ExplainCommand(Command):
    """Print the log lines about a request in order, and the state changes of its daemons."""

    name = "explain"
    description = "Trace a request through the logs of several daemons"
    arguments: ClassVar = [
        argument("request", "request id that the caller sent"),
        argument("logs", "paths of log files", multiple=True),
    ]
    help = """Exit code 1 means that no log line is about the request.

    comfreyhitch explain 9c41d07be2a35f68 logs/*.log"""

    def handle(self) -> int:
        """Read all logs, and print the trace of the request."""
        texts: list[str] = []
        for path in self.argument("logs"):
            try:
                texts.extend(Path(path).read_text(errors="replace").splitlines())
            except OSError as error:
                return report_input_errors(
                    self, [f"{path}: {error.strerror}; give the path of a readable log"]
                )
        trace = build_request_trace(parse_log_lines(texts), self.argument("request"))
        if not trace.lines:
            self.line_error(
                "no log line is about this request; only some successful requests are logged"
            )
            return ExitCode.FAILED
        for line in trace.lines:
            self.line(line.describe())
        if trace.suppressed_line_count:
            self.line(f"before these lines, {trace.suppressed_line_count} others were left out")
        self.line("latest state changes of its daemons:")
        for line in trace.context:
            self.line(f"  {line.describe()}")
        return ExitCode.OK
