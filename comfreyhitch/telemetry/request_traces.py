"""Tell what became of one request from the logs of many daemons."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

# What a daemon believed changed by these lines.
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
        """Return the line for a reader."""
        details = ", ".join(
            f"{name}={json.dumps(value)}"
            for name, value in self.fields.items()
            if name not in HIDDEN_FIELDS
        )
        return f"{self.time} {self.daemon} {self.message}: {details}"


@dataclass(frozen=True, slots=True)
class RequestTrace:
    """Hold the lines about a request and those of what its daemons believed before."""

    lines: list[LogLine]
    context: list[LogLine]
    suppressed_line_count: int


def parse_log_lines(texts: Iterable[str]) -> list[LogLine]:
    """Return the log lines among texts, whatever stands before the JSON on a line."""
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            # Lines of other programs, or cut by a kill.
            continue
        if isinstance(fields, dict) and {"time", "daemon", "message"} <= fields.keys():
            lines.append(LogLine(fields["time"], fields["daemon"], fields["message"], fields))
    return lines


def build_request_trace(lines: list[LogLine], request_id: str) -> RequestTrace:
    """Return what became of a request, its calls of its own included, in order of time."""
    about = sorted(
        (line for line in lines if _is_about(line, request_id)), key=lambda line: line.time
    )
    daemons = {line.daemon for line in about}
    suppressed_line_count = sum(line.fields.get("lines_left_out", 0) for line in about)
    context: list[LogLine] = []
    if about:
        before = [
            line
            for line in lines
            if line.daemon in daemons
            and line.message in CONTEXT_MESSAGES
            and line.time <= about[-1].time
        ]
        before.sort(key=lambda line: line.time)
        for daemon in sorted(daemons):
            own = [line for line in before if line.daemon == daemon]
            context.extend(own[-CONTEXT_LINES_PER_DAEMON:])
    return RequestTrace(about, context, suppressed_line_count)


def _is_about(line: LogLine, request_id: str) -> bool:
    found = str(line.fields.get("caller_request_id", ""))
    # The calls that a target makes for a request bear its id and a part of their own.
    return found == request_id or found.startswith(f"{request_id}.")
