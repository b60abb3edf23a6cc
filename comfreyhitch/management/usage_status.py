"""Describe who reports usage, and up to which window."""

from datetime import timedelta

from result import Result

from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.platform.usage_duty import read_record
from comfreyhitch.usage.models import DutyRecord
from comfreyhitch.usage.true_time import get_window_end


def read_usage_status(
    client: PlatformClient, window: timedelta, now: float
) -> Result[dict[str, object] | None, str]:
    """Return the holder, its token and the last window, or None if nobody has reported yet.

    `now` is in seconds since the start of 1970.
    """
    return read_record(client).map(
        lambda found: None if found.record is None else _describe(found.record, window, now)
    )


def _describe(record: DutyRecord, window: timedelta, now: float) -> dict[str, object]:
    ended_at = get_window_end(record.window, window.total_seconds())
    return {
        "holder": record.holder,
        "token": record.token,
        "last_window": record.window,
        "last_window_age_seconds": round(now - ended_at, 1),
        "reports": [report.window for report in record.reports],
    }


def format_usage_status(status: dict[str, object] | None) -> str:
    """Return the status as one line."""
    if status is None:
        return "usage: nobody has reported yet"
    return (
        f"usage: reported by {status['holder']} with token {status['token']}, last window "
        f"{status['last_window']}, which ended {status['last_window_age_seconds']} s ago"
    )
