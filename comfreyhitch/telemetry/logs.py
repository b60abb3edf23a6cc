"""Logging as JSON lines that never blocks the process."""

import json
import logging
import os
import sys
from collections import deque
from datetime import UTC, datetime

import gevent
from gevent.os import make_nonblocking, nb_write

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
MAX_QUEUED_LINES = 5_000
FLUSH_INTERVAL_SECONDS = 0.05


class JsonFormatter(logging.Formatter):
    """Format each record as one JSON object."""

    def __init__(self, daemon: str) -> None:
        super().__init__()
        self.daemon = daemon

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as a JSON line, with its extra fields."""
        entry = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(),
            "level": record.levelname,
            "logger": record.name,
            "daemon": self.daemon,
            "message": record.getMessage(),
        }
        fields = vars(record).items()
        entry.update({name: value for name, value in fields if name not in _STANDARD_ATTRIBUTES})
        if record.exc_info:
            entry["traceback"] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str)


class QueuedHandler(logging.Handler):
    """Queue lines until a greenlet writes them; drop and count lines when the queue is full."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._dropped += 1
            return
        try:
            self._lines.append(self.format(record))
        except Exception:
            self.handleError(record)

    def run(self) -> None:
        """Write queued lines at intervals, for as long as the process runs."""
        make_nonblocking(self._descriptor)
        while True:
            gevent.sleep(FLUSH_INTERVAL_SECONDS)
            if not self._lines:
                continue
            data = self._drain()
            while data:
                data = data[nb_write(self._descriptor, data) :]

    def flush_at_exit(self) -> None:
        """Write the queued lines in one call, without waiting for a slow reader."""
        data = self._drain()
        try:
            os.write(self._descriptor, data)
        except OSError as error:
            # Standard output accepts no more lines, so the error goes to standard error.
            sys.stderr.write(f"can't write the last log lines: {error}\n")

    def _drain(self) -> bytes:
        lines = [*self._lines, ""]
        self._lines.clear()
        if self._dropped:
            lines.insert(0, json.dumps({"message": "log lines dropped", "count": self._dropped}))
            self._dropped = 0
        return "\n".join(lines).encode()


def configure_logging(level: str, daemon: str) -> QueuedHandler:
    """Send all logs of the process to standard output as JSON lines."""
    handler = QueuedHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter(daemon))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    gevent.spawn(handler.run)
    return handler
