"""Trace one request through the logs of several daemons."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# These messages report changes of a daemon's state that may explain its decisions.
CONTEXT_MESSAGES = frozenset(
    {
        "configuration in force",
        "zone is out",
        "zone is back",
        "rollout's stage",
        "rollout was vetoed",
        "target's state",
        "store is lost",
        "store is back",
        "member is suspected",
        "member is unreachable",
        "process was paused",
        "daemon started",
        "draining",
        "signal received",
        "settings reloaded",
    }
)
CONTEXT_LINES_PER_DAEMON = 5
HIDDEN_FIELDS = frozenset({"time", "level", "logger", "daemon", "message"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one decoded line of a daemon's log."""

    time: str
    daemon: str
    message: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Return the line as text for operators."""
        details = ", ".join(
            f"{name}={json.dumps(value)}"
            for name, value in self.fields.items()
            if name not in HIDDEN_FIELDS
        )
        return f"{self.time} {self.daemon} {self.message}: {details}"


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """Hold the lines about a request, and earlier state changes of the daemons that wrote them."""

    lines: list[LogLine]
    context: list[LogLine]
    suppressed_line_count: int


def parse_log_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parse log lines, and skip other texts; a prefix before the JSON of a line is ignored."""
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            # A line of another program, or one that was cut off when the daemon was killed.
            continue
        if isinstance(fields, dict) and {"time", "daemon", "message"} <= fields.keys():
            lines.append(LogLine(fields["time"], fields["daemon"], fields["message"], fields))
    return lines


def build_request_trace(lines: list[LogLine], request_id: str) -> RequestTrace:
    """Return the trace of a request and of the calls its target made for it, in order of time."""
    request_lines = sorted(
        (line for line in lines if _belongs_to_request(line, request_id)),
        key=lambda line: line.time,
    )
    daemons = {line.daemon for line in request_lines}
    suppressed_line_count = sum(line.fields.get("lines_left_out", 0) for line in request_lines)
    context: list[LogLine] = []
    if request_lines:
        state_changes = [
            line
            for line in lines
            if line.daemon in daemons
            and line.message in CONTEXT_MESSAGES
            and line.time <= request_lines[-1].time
        ]
        state_changes.sort(key=lambda line: line.time)
        for daemon in sorted(daemons):
            daemon_lines = [line for line in state_changes if line.daemon == daemon]
            context.extend(daemon_lines[-CONTEXT_LINES_PER_DAEMON:])
    return RequestTrace(request_lines, context, suppressed_line_count)


def _belongs_to_request(line: LogLine, request_id: str) -> bool:
    found = str(line.fields.get("caller_request_id", ""))
    # Calls that a target makes for a request carry the id of the request and a suffix.
    return found == request_id or found.startswith(f"{request_id}.")
