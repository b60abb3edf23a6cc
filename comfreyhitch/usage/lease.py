"""Decide who holds the duty of reporting: pure functions over what one daemon knows.

All times are seconds of a clock that counts suspended time, unless they are called true time.
"""

from dataclasses import dataclass, field

from comfreyhitch.usage.models import DutyRecord, DutyTerms, FoundRecord, StoredReport
from comfreyhitch.usage.true_time import get_window_end

# Added to the token for each era of the store that the record has not seen. A store that has come
# back from a copy may have lost as many takeovers.
ERA_TOKEN_STEP = 1000
FIRST_ERA = 1


@dataclass(slots=True)
class Lease:
    """Hold what one process knows about the duty.

    `record` is the latest one known, from the store or from another candidate; the store may hold
    an older one after it came back from a copy.
    """

    holder_name: str
    writer: str
    record: DutyRecord | None = None
    revision: int = 0
    era: int = 0
    exists: bool = False
    # When the present state of the store was first seen; None before the first read.
    seen_at: float | None = None
    is_holder: bool = False
    held_until: float = 0.0
    lost_at: float | None = None
    # Whether a write had no usable answer, so that the store has to be read.
    must_read: bool = False
    # Whether the store has come back from a copy, and may have lost a later record.
    is_from_copy: bool = False
    write_number: int = 0
    # Own writes without an answer, which may take effect late, with the time before each was sent.
    sent_at_by_write: dict[int, float] = field(default_factory=dict)


def observe(
    lease: Lease, found: FoundRecord, terms: DutyTerms, now: float, true_now: float
) -> None:
    """Take in what a read or a watch of the store showed, unless it is older than what is known."""
    is_new_era = found.era > lease.era
    is_older = not is_new_era and found.revision < lease.revision
    if found.era < lease.era or is_older:
        return
    is_known = (found.era, found.revision, found.exists) == (
        lease.era,
        lease.revision,
        lease.exists,
    )
    if lease.seen_at is None or not is_known:
        lease.seen_at = now
    lease.era, lease.revision, lease.exists = found.era, found.revision, found.exists
    if found.is_fresh:
        lease.must_read = False
    known = lease.record
    # A record of an earlier era that appears within an era is from a writer that did not know of
    # it. The same record again says nothing about later ones that the store has lost.
    is_current = found.record is not None and (is_new_era or found.record.era == found.era)
    if is_current and (known is None or found.record.order > known.order):
        learn_record(lease, found.record, now)
    if is_new_era and lease.record is not None:
        _doubt_record(lease, lease.record is known, terms, now, true_now)
    if found.record is not None:
        _settle_own_write(lease, found.record, terms)


def learn_record(lease: Lease, record: DutyRecord, now: float) -> None:
    """Take in a record that the store holds, or another candidate is sure of, if it is later."""
    if lease.record is not None and record.order < lease.record.order:
        return
    lease.record = record
    lease.is_from_copy = False
    if record.writer != lease.writer:
        _lose(lease, now)


def begin_write(lease: Lease, record: DutyRecord, now: float) -> None:
    """Note a write that is about to be sent; until it is confirmed, its outcome is unknown."""
    lease.write_number = record.write_number
    lease.sent_at_by_write[record.write_number] = now
    lease.must_read = True


def confirm_write(
    lease: Lease, record: DutyRecord, revision: int, era: int, terms: DutyTerms, now: float
) -> bool:
    """Note the store's answer to the last write; return whether this daemon holds the duty."""
    if era != lease.era:
        # The store came back from a copy, and the revision that the write named may have meant
        # another state of the object since.
        _lose(lease, now)
        return False
    if revision < lease.revision:
        # A watch has shown a later write of another daemon before this answer arrived.
        return False
    lease.must_read = False
    if revision > lease.revision:
        lease.revision, lease.exists, lease.seen_at = revision, True, now
        lease.record = record
        lease.is_from_copy = False
        _settle_own_write(lease, record, terms)
    return lease.is_holder


def reject_write(lease: Lease, write_number: int) -> None:
    """Note that the store refused a write, which then never takes effect."""
    lease.sent_at_by_write.pop(write_number, None)


def may_post(lease: Lease, token: int, now: float) -> bool:
    """Return whether a report may be sent now under a token."""
    return (
        lease.is_holder
        and not lease.must_read
        and lease.record is not None
        and lease.record.token == token
        and now < lease.held_until
    )


def may_take_over(lease: Lease, terms: DutyTerms, rank: int, now: float, true_now: float) -> bool:
    """Return whether this daemon may write a record under a new token.

    The lease of another holder has ended when the store has not changed for that time, since the
    holder counts it from before its write.
    """
    if lease.is_holder or lease.must_read or lease.seen_at is None:
        return False
    lease_end_seconds = terms.lease_seconds + terms.margin_seconds
    if lease.lost_at is not None and now - lease.lost_at <= lease_end_seconds:
        return False
    record = lease.record
    is_own = record is not None and record.holder == lease.holder_name and lease.exists
    if is_own and not lease.is_from_copy:
        # An earlier process of this machine held the duty, and has ended.
        return True
    stagger_seconds = rank * terms.stagger_seconds
    if now - lease.seen_at <= lease_end_seconds + stagger_seconds:
        return False
    if record is None:
        return True
    due_at = get_window_end(record.window + 1, terms.window_seconds) + terms.report_by_seconds
    return true_now > due_at + terms.margin_seconds + stagger_seconds


def get_next_token(lease: Lease) -> int:
    """Return the token of a takeover, which is higher than any that was used before."""
    known_token, known_era = (
        (0, min(lease.era, FIRST_ERA))
        if lease.record is None
        else (lease.record.token, lease.record.era)
    )
    return known_token + 1 + ERA_TOKEN_STEP * max(0, lease.era - known_era)


def make_next_record(
    lease: Lease, window: int, reports: tuple[StoredReport, ...], *, is_takeover: bool
) -> DutyRecord:
    """Return the record that the next write stores."""
    token = get_next_token(lease) if is_takeover else lease.record.token
    return DutyRecord(
        holder=lease.holder_name,
        writer=lease.writer,
        write_number=lease.write_number + 1,
        token=token,
        window=window,
        era=lease.era,
        reports=reports,
    )


def release(lease: Lease, now: float) -> None:
    """Give the duty up, since this daemon stops or is no candidate any more."""
    if lease.is_holder:
        _lose(lease, now)


def _doubt_record(
    lease: Lease, is_remembered: bool, terms: DutyTerms, now: float, true_now: float
) -> None:
    """Doubt the latest known record if the store may have lost a later one with its last era.

    Nobody writes before the next report or takeover is due, so a remembered record is certain
    until then.
    """
    record = lease.record
    next_write_at = get_window_end(record.window + 1, terms.window_seconds)
    is_certain = is_remembered and true_now < next_write_at + terms.report_after_seconds
    if record.era == lease.era or is_certain:
        return
    lease.is_from_copy = True
    _lose(lease, now)


def _settle_own_write(lease: Lease, record: DutyRecord, terms: DutyTerms) -> None:
    """Hold the duty if the store shows a write of this process that was sent and not lost."""
    if record.writer != lease.writer or record.order != lease.record.order:
        return
    sent_at = lease.sent_at_by_write.get(record.write_number)
    if sent_at is None:
        return
    lease.is_holder = True
    lease.held_until = sent_at + terms.lease_seconds
    for number in [item for item in lease.sent_at_by_write if item <= record.write_number]:
        del lease.sent_at_by_write[number]


def _lose(lease: Lease, now: float) -> None:
    if lease.is_holder:
        lease.lost_at = now
    lease.is_holder = False
    lease.held_until = 0.0
    lease.sent_at_by_write.clear()
