"""Decide what the holder of the duty does next, and which reports it writes: pure functions."""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from comfreyhitch.usage.counts import (
    RETAINED_WINDOWS,
    UsageTable,
    list_open_sources,
    list_windows,
    sum_window,
)
from comfreyhitch.usage.lease import Lease, may_post, may_take_over
from comfreyhitch.usage.models import DutyRecord, DutyTerms, StoredReport
from comfreyhitch.usage.true_time import get_window, get_window_end

MIN_POST_BACKOFF_SECONDS = 0.2
MAX_POST_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_EXPONENT = 8


class DutyStep(Enum):
    """Name what a candidate does next."""

    WAIT = "wait"
    READ = "read"
    TAKE_OVER = "take over"
    REPORT = "report"
    POST = "post"


@dataclass(slots=True)
class Delivery:
    """Hold what became of the reports that this process has sent.

    `next_post_at` is in seconds of the clock that counts suspended time.
    """

    acknowledged: set[int] = field(default_factory=set)
    attempts_by_window: dict[int, int] = field(default_factory=dict)
    given_up: set[int] = field(default_factory=set)
    failures: int = 0
    next_post_at: float = 0.0
    last_window: int | None = None
    last_acknowledged_at: float | None = None


def choose_step(
    lease: Lease,
    table: UsageTable,
    delivery: Delivery,
    terms: DutyTerms,
    rank: int,
    now: float,
    true_now: float,
) -> DutyStep:
    """Return what this candidate does next; `rank` is its place among the candidates."""
    if lease.must_read:
        return DutyStep.READ
    if not lease.is_holder:
        can_take_over = may_take_over(lease, terms, rank, now, true_now)
        return DutyStep.TAKE_OVER if can_take_over else DutyStep.WAIT
    if is_report_due(table, lease.record.window + 1, terms, now, true_now):
        return DutyStep.REPORT
    report = choose_post(lease, delivery, terms, true_now)
    if report is None or now < delivery.next_post_at:
        return DutyStep.WAIT
    return DutyStep.POST if may_post(lease, lease.record.token, now) else DutyStep.WAIT


def is_report_due(
    table: UsageTable, window: int, terms: DutyTerms, now: float, true_now: float
) -> bool:
    """Return whether the counts of a window are written now.

    This waits for daemons that have not sent all counts yet, but not for long: a daemon that was
    killed or cut off sends nothing.
    """
    after_seconds = true_now - get_window_end(window, terms.window_seconds)
    if after_seconds < terms.report_after_seconds:
        return False
    if after_seconds >= terms.report_by_seconds:
        return True
    return not list_open_sources(table, window, now, terms.window_seconds)


def choose_windows(
    lease: Lease, table: UsageTable, terms: DutyTerms, true_now: float, *, is_takeover: bool
) -> range:
    """Return the windows whose counts the next write makes final.

    Windows whose counts are kept no more are left out. Where the store came back from a copy and
    no candidate knows what was reported since, nothing that ended before is reported.
    """
    current = get_window(true_now, terms.window_seconds)
    end = get_window(true_now - terms.report_after_seconds, terms.window_seconds)
    if lease.record is None or (is_takeover and lease.is_from_copy):
        counted = list_windows(table.sources_by_id.values())
        is_new = lease.record is None and lease.era <= 1
        first = counted[0] if is_new and counted else current
    else:
        first = lease.record.window + 1
    return range(max(first, current - RETAINED_WINDOWS + 1), end)


def make_reports(
    table: UsageTable, windows: range, complete_since: int
) -> tuple[StoredReport, ...]:
    """Return the reports of windows.

    A window without any request has one only if a daemon that receives counts has run since the
    begin of the window, which is since the window `complete_since`.
    """
    reports = []
    for window in windows:
        counts = sum_window(table, window)
        if counts or window >= complete_since:
            reports.append(StoredReport(window, dump_report(window, counts)))
    return tuple(reports)


def dump_report(window: int, counts: Mapping[str, int]) -> str:
    """Return the body of a report; the same counts always give the same text."""
    content = {"Window": window, "Counts": dict(sorted(counts.items()))}
    return json.dumps(content, separators=(",", ":"))


def list_undelivered(
    record: DutyRecord | None, delivery: Delivery, terms: DutyTerms, true_now: float
) -> tuple[StoredReport, ...]:
    """Return the reports of the record that still have to be sent.

    Each is sent at least once, and again without an acknowledgement until it is too late.
    """
    if record is None:
        return ()
    return tuple(
        report
        for report in record.reports
        if report.window not in delivery.acknowledged
        and (
            not delivery.attempts_by_window.get(report.window)
            or not is_late(report.window, terms, true_now)
        )
    )


def is_late(window: int, terms: DutyTerms, true_now: float) -> bool:
    """Return whether it is too late to report a window in time."""
    return true_now > get_window_end(window, terms.window_seconds) + terms.late_seconds


def choose_post(
    lease: Lease, delivery: Delivery, terms: DutyTerms, true_now: float
) -> StoredReport | None:
    """Return the report that is sent next: the least often sent one, and of these the oldest."""
    reports = list_undelivered(lease.record, delivery, terms, true_now)
    attempts = delivery.attempts_by_window
    return min(reports, key=lambda item: (attempts.get(item.window, 0), item.window), default=None)


def begin_term(delivery: Delivery) -> None:
    """Forget what was sent under an earlier token, so that the record's reports are sent again."""
    delivery.acknowledged.clear()
    delivery.attempts_by_window.clear()
    delivery.given_up.clear()
    delivery.failures = 0
    delivery.next_post_at = 0.0


def record_post(
    delivery: Delivery,
    window: int,
    now: float,
    *,
    is_acknowledged: bool,
    spread: float,
    interval_seconds: float,
) -> None:
    """Note the result of a post, and when the next one may be sent.

    That is at least `interval_seconds` later; `spread` from 0 to 1 varies it after a failure.
    """
    delivery.attempts_by_window[window] = delivery.attempts_by_window.get(window, 0) + 1
    if is_acknowledged:
        delivery.acknowledged.add(window)
        delivery.failures = 0
        delivery.next_post_at = now + interval_seconds
        delivery.last_window = max(window, delivery.last_window or window)
        delivery.last_acknowledged_at = now
        return
    backoff_seconds = MIN_POST_BACKOFF_SECONDS * 2 ** min(delivery.failures, MAX_BACKOFF_EXPONENT)
    backoff_seconds = min(MAX_POST_BACKOFF_SECONDS, backoff_seconds) * (0.5 + 0.5 * spread)
    delivery.failures += 1
    delivery.next_post_at = now + max(interval_seconds, backoff_seconds)


def list_given_up(
    record: DutyRecord, delivery: Delivery, terms: DutyTerms, true_now: float
) -> list[int]:
    """Return the windows whose reports are not sent again although none was acknowledged.

    Each is returned once.
    """
    undelivered = {report.window for report in list_undelivered(record, delivery, terms, true_now)}
    found = [
        report.window
        for report in record.reports
        if report.window not in undelivered | delivery.acknowledged | delivery.given_up
    ]
    delivery.given_up.update(found)
    return found


def remove_old_deliveries(delivery: Delivery, record: DutyRecord) -> None:
    """Forget deliveries of windows that the record no longer holds."""
    kept = {report.window for report in record.reports}
    delivery.acknowledged &= kept
    delivery.given_up &= kept
    for window in delivery.attempts_by_window.keys() - kept:
        del delivery.attempts_by_window[window]
