"""Run the duty of reporting at one candidate: read and write the record, and send reports."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from result import Err, Ok

from comfreyhitch.usage.calls import DutyCalls, PostResult, WriteFailure
from comfreyhitch.usage.counts import UsageTable
from comfreyhitch.usage.lease import (
    Lease,
    begin_write,
    confirm_write,
    learn_record,
    make_next_record,
    may_post,
    observe,
    reject_write,
    release,
)
from comfreyhitch.usage.models import DutyRecord, DutyTerms, FoundRecord
from comfreyhitch.usage.reporting import (
    Delivery,
    DutyStep,
    begin_term,
    choose_post,
    choose_step,
    choose_windows,
    is_late,
    list_given_up,
    list_undelivered,
    make_reports,
    record_post,
    remove_old_deliveries,
)
from comfreyhitch.usage.true_time import TrueTime
from comfreyhitch.utils.backoff import get_backoff_seconds

logger = logging.getLogger(__name__)

MIN_CALL_BACKOFF_SECONDS = 0.3
MAX_CALL_BACKOFF_SECONDS = 2.0
# The first attempt to send a report; each further one may take twice as long.
FIRST_POST_TIMEOUT_SECONDS = 1.0
# Reports in the record, which grows while the platform takes none.
MAX_REPORTS = 12


@dataclass(slots=True)
class Duty:
    """Hold the state of the duty at one daemon."""

    lease: Lease
    table: UsageTable
    terms: DutyTerms
    true_time: TrueTime
    calls: DutyCalls
    random: Random
    count_event: Callable[[str], None] = lambda event: None
    delivery: Delivery = field(default_factory=Delivery)
    call_failures: int = 0
    next_call_at: float = 0.0
    # The token under which this daemon holds the duty, as far as that was logged.
    noted_token: int | None = None


def run_duty_step(duty: Duty, rank: int) -> DutyStep:
    """Do what is next at a candidate, and return what that was."""
    now = duty.true_time.read_boot()
    step = _choose(duty, rank)
    if step is DutyStep.POST:
        _post(duty)
    elif step is not DutyStep.WAIT and now >= duty.next_call_at:
        _call_store(duty, step, rank)
    _note_changes(duty)
    if duty.lease.is_holder:
        _note_given_up(duty)
    return step


def observe_record(duty: Duty, found: FoundRecord) -> None:
    """Take in what a watch or a list of the store showed."""
    true_time = duty.true_time
    observe(duty.lease, found, duty.terms, true_time.read_boot(), true_time.now())
    _note_changes(duty)


def give_up_duty(duty: Duty) -> None:
    """Stop acting as the holder, and let another candidate take over."""
    if duty.lease.is_holder:
        release(duty.lease, duty.true_time.read_boot())
        _note_changes(duty)


def _choose(duty: Duty, rank: int) -> DutyStep:
    true_time = duty.true_time
    return choose_step(
        duty.lease,
        duty.table,
        duty.delivery,
        duty.terms,
        rank,
        true_time.read_boot(),
        true_time.now(),
    )


def _call_store(duty: Duty, step: DutyStep, rank: int) -> None:
    is_done = _read(duty) if step is DutyStep.READ else _write(duty, step, rank)
    if is_done:
        duty.call_failures = 0
        return
    duty.call_failures += 1
    duty.next_call_at = duty.true_time.read_boot() + get_backoff_seconds(
        duty.call_failures, MIN_CALL_BACKOFF_SECONDS, MAX_CALL_BACKOFF_SECONDS, duty.random
    )


def _read(duty: Duty) -> bool:
    match duty.calls.read_record():
        case Err(detail):
            logger.warning("record of the usage duty was not read", extra={"error": detail})
            return False
        case Ok(found):
            observe_record(duty, replace(found, is_fresh=True))
    return True


def _write(duty: Duty, step: DutyStep, rank: int) -> bool:
    """Make counts final by writing them, which renews or begins the lease."""
    lease = duty.lease
    is_takeover = step is DutyStep.TAKE_OVER
    windows = _choose_windows(duty, is_takeover=is_takeover)
    complete_since = _learn_from_candidates(duty, windows)
    if _choose(duty, rank) is not step:
        # Another candidate knows a later record, or a watch has shown one meanwhile.
        return True
    windows = _choose_windows(duty, is_takeover=is_takeover)
    record = _make_record(duty, windows, complete_since, is_takeover=is_takeover)
    revision, exists = lease.revision, lease.exists
    begin_write(lease, record, duty.true_time.read_boot())
    written = duty.calls.write_record(record, revision, exists)
    if written.is_err():
        return _note_failed_write(duty, record, *written.err_value)
    found = written.ok_value
    now = duty.true_time.read_boot()
    if not confirm_write(lease, record, found.revision, found.era, duty.terms, now):
        duty.count_event("write-superseded")
        return False
    duty.count_event("write")
    _note_changes(duty)
    logger.info("usage report is final", extra=_describe(record))
    remove_old_deliveries(duty.delivery, record)
    return True


def _choose_windows(duty: Duty, *, is_takeover: bool) -> range:
    return choose_windows(
        duty.lease, duty.table, duty.terms, duty.true_time.now(), is_takeover=is_takeover
    )


def _learn_from_candidates(duty: Duty, windows: range) -> int:
    """Merge what other candidates know; return the window since which one received all counts."""
    complete_since = duty.table.complete_since
    now = duty.true_time.read_boot()
    # Also without a window, since another candidate may know a later record.
    for window in windows or (windows.start,):
        for answer in duty.calls.ask_candidates(window):
            complete_since = min(complete_since, answer.complete_since)
            if answer.record is not None:
                learn_record(duty.lease, answer.record, now)
    return complete_since


def _make_record(
    duty: Duty, windows: range, complete_since: int, *, is_takeover: bool
) -> DutyRecord:
    lease = duty.lease
    # Reports of a record that a copy of the store holds may not be the ones that were sent.
    is_known = lease.record is not None and not lease.is_from_copy
    known = lease.record.reports if is_known else ()
    if not is_takeover:
        true_now = duty.true_time.now()
        known = list_undelivered(lease.record, duty.delivery, duty.terms, true_now)
    reports = (*known, *make_reports(duty.table, windows, complete_since))[-MAX_REPORTS:]
    last_window = windows[-1] if windows else windows.start - 1
    known_window = last_window if lease.record is None else lease.record.window
    return make_next_record(lease, max(last_window, known_window), reports, is_takeover=is_takeover)


def _note_failed_write(duty: Duty, record: DutyRecord, failure: WriteFailure, detail: str) -> bool:
    if failure is WriteFailure.REJECTED:
        reject_write(duty.lease, record.write_number)
    duty.count_event(f"write-{failure.value}")
    logger.warning(
        "record of the usage duty was not written",
        extra={"window": record.window, "result": failure.value, "error": detail},
    )
    return False


def _post(duty: Duty) -> None:
    lease, delivery = duty.lease, duty.delivery
    token = lease.record.token
    report = choose_post(lease, delivery, duty.terms, duty.true_time.now())
    attempts = delivery.attempts_by_window.get(report.window, 0)
    posted = duty.calls.post(
        report,
        token,
        lambda: may_post(lease, token, duty.true_time.read_boot()),
        FIRST_POST_TIMEOUT_SECONDS * 2 ** min(attempts, 4),
    )
    duty.count_event(f"post-{posted.result.value}")
    if posted.result is PostResult.NOT_SENT:
        return
    is_acknowledged = posted.result is PostResult.ACKNOWLEDGED
    now = duty.true_time.read_boot()
    record_post(
        delivery,
        report.window,
        now,
        is_acknowledged=is_acknowledged,
        spread=duty.random.random(),
        interval_seconds=duty.terms.post_interval_seconds,
    )
    fields = {"window": report.window, "token": token, "attempt": attempts + 1}
    fields["is_late"] = is_late(report.window, duty.terms, duty.true_time.now())
    if is_acknowledged:
        logger.info("usage was reported", extra=fields)
    else:
        fields |= {"result": posted.result.value, "error": posted.detail}
        logger.warning("usage report was not acknowledged", extra=fields)


def _note_changes(duty: Duty) -> None:
    """Log and count that this daemon has got or lost the duty, also by a write found later."""
    lease = duty.lease
    token = lease.record.token if lease.is_holder else None
    if token == duty.noted_token:
        return
    fields = {} if lease.record is None else _describe(lease.record)
    if duty.noted_token is not None:
        duty.count_event("loss")
        logger.warning("lost the usage duty", extra={**fields, "own_token": duty.noted_token})
    if token is not None:
        begin_term(duty.delivery)
        duty.count_event("takeover")
        logger.warning("took the usage duty over", extra=fields)
    duty.noted_token = token


def _note_given_up(duty: Duty) -> None:
    true_now = duty.true_time.now()
    for window in list_given_up(duty.lease.record, duty.delivery, duty.terms, true_now):
        duty.count_event("given-up")
        logger.error("usage report is given up; it is too late", extra={"window": window})


def _describe(record: DutyRecord) -> dict[str, object]:
    return {
        "holder": record.holder,
        "token": record.token,
        "window": record.window,
        "reports": [report.window for report in record.reports],
    }
