"""Record the attempts of a call for the log."""

from comfreyhitch.core.verdicts import Outcome, describe_outcome
from comfreyhitch.egress.classify import AttemptRecord, OutgoingCall
from comfreyhitch.egress.models import Candidate
from comfreyhitch.egress.state import Egress
from comfreyhitch.egress.views import estimate_in_flight, get_or_create_view

# Outcome of an attempt whose answer is not awaited any longer, since another one has it.
ANSWERED_ELSEWHERE = "answered elsewhere"


def add_attempt_record(
    egress: Egress, call: OutgoingCall, candidate: Candidate, *, is_hedge: bool = False
) -> AttemptRecord:
    """Record that an attempt at a target begins now."""
    now = egress.blackboard.clock.monotonic()
    view = get_or_create_view(egress.blackboard.views_by_address, candidate.address)
    record = AttemptRecord(
        target=candidate.address,
        zone=candidate.zone,
        version=candidate.version,
        in_flight=estimate_in_flight(view, now),
        report_age_seconds=now - view.reported_at,
        sent_at=now,
        is_hedge=is_hedge,
    )
    call.attempt_records.append(record)
    return record


def end_attempt_record(record: AttemptRecord, outcome: Outcome, now: float) -> None:
    """Record how an attempt ended, unless that is known."""
    if not record.outcome:
        record.outcome = describe_outcome(outcome)
        record.seconds = now - record.sent_at


def give_up_attempt_record(record: AttemptRecord, now: float) -> None:
    """Record that the answer to an attempt is awaited no longer, since another one has come."""
    record.outcome = ANSWERED_ELSEWHERE
    record.seconds = now - record.sent_at
