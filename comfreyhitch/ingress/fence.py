"""Handle fence queries, which get a request's state and stop it if it has not started."""

from comfreyhitch.ingress.load_reports import make_load_report
from comfreyhitch.ingress.models import make_answer
from comfreyhitch.ingress.records import RecordState, RequestRecord, add_record, get_record
from comfreyhitch.ingress.state import REQUEST_RECORD_RETENTION_SECONDS, Ingress
from comfreyhitch.wire.generated.ttypes import FenceAnswer, FenceQuery, FenceState

# The record of an older request may have expired, so its absence proves nothing.
MAX_FENCED_REQUEST_AGE_SECONDS = REQUEST_RECORD_RETENTION_SECONDS / 2


def handle_fence_query(ingress: Ingress, query: FenceQuery) -> FenceAnswer:
    """Return the state of a request, and fence it if it has not started.

    A fenced request never runs at this target. A request that waits for admission is
    fenced only if the query asks to withdraw it.
    """
    if query.boot_id != ingress.blackboard.own_member.boot_id:
        return FenceAnswer(state=FenceState.UNKNOWN)
    record = get_record(ingress.records, query.request_id)
    if record is None:
        return _fence_unseen_request(ingress, query)
    if record.state is RecordState.WAITING:
        is_withdrawn = query.withdraw and record.withdraw is not None and record.withdraw()
        return FenceAnswer(state=FenceState.NEVER_RAN if is_withdrawn else FenceState.RUNNING)
    if record.state in (RecordState.CLAIMING, RecordState.FENCED):
        record.state = RecordState.FENCED
        return FenceAnswer(state=FenceState.NEVER_RAN)
    if record.state is RecordState.RUNNING:
        return FenceAnswer(state=FenceState.RUNNING)
    if record.outcome is None:
        return FenceAnswer(state=FenceState.UNKNOWN)
    answer = make_answer(query.request_id, record.outcome, make_load_report(ingress))
    answer.body = bytes(answer.body)
    return FenceAnswer(state=FenceState.FINISHED, answer=answer)


def _fence_unseen_request(ingress: Ingress, query: FenceQuery) -> FenceAnswer:
    if query.age_seconds > MAX_FENCED_REQUEST_AGE_SECONDS:
        return FenceAnswer(state=FenceState.UNKNOWN)
    now = ingress.blackboard.clock.monotonic()
    tombstone = RequestRecord(RecordState.FENCED, "", now)
    if not add_record(ingress.records, query.request_id, tombstone):
        return FenceAnswer(state=FenceState.UNKNOWN)
    return FenceAnswer(state=FenceState.NEVER_RAN)
