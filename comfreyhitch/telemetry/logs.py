"""Logging as JSON lines."""

import json
import logging
import sys
from datetime import UTC, datetime

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


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


def configure_logging(level: str, daemon: str) -> None:
    """Send all logs of the process to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(daemon))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
