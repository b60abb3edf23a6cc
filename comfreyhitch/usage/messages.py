"""Convert counts and records of the duty from and to the messages between daemons."""

from collections.abc import Mapping

from comfreyhitch.usage.counts import CountsByAccount, SourceCounts, SourceId
from comfreyhitch.usage.models import DutyRecord, StoredReport
from comfreyhitch.wire.generated import ttypes


def make_source_message(
    source_id: SourceId, counts_by_window: Mapping[int, CountsByAccount], closed_through: int
) -> ttypes.SourceUsage:
    """Return the message that carries counts of a process."""
    address, boot_id = source_id
    windows = [
        ttypes.WindowUsage(
            window,
            [
                ttypes.AccountUsage(account, started, withdrawn)
                for account, (started, withdrawn) in counts.items()
            ],
        )
        for window, counts in counts_by_window.items()
    ]
    return ttypes.SourceUsage(address, boot_id, closed_through, windows)


def parse_source_message(message: ttypes.SourceUsage, heard_at: float) -> SourceCounts:
    """Return the counts that a message carries, without those that no process can have."""
    counts_by_window: dict[int, CountsByAccount] = {}
    for window in message.windows:
        counts = counts_by_window.setdefault(window.window, {})
        for item in window.accounts:
            if 0 <= item.withdrawn <= item.started and item.account:
                counts[item.account] = (item.started, item.withdrawn)
    return SourceCounts(counts_by_window, message.closed_through, heard_at)


def make_record_message(record: DutyRecord) -> ttypes.DutyRecord:
    """Return the message that carries a record of the duty."""
    reports = [ttypes.StoredReport(report.window, report.body) for report in record.reports]
    return ttypes.DutyRecord(
        record.holder,
        record.writer,
        record.write_number,
        record.token,
        record.window,
        record.era,
        reports,
    )


def parse_record_message(message: ttypes.DutyRecord) -> DutyRecord:
    """Return the record of the duty that a message carries."""
    return DutyRecord(
        holder=message.holder,
        writer=message.writer,
        write_number=message.write_number,
        token=message.token,
        window=message.window,
        era=message.era,
        reports=tuple(StoredReport(report.window, report.body) for report in message.reports),
    )
