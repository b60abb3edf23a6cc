"""Route a request within the budgets, and run a non-idempotent request at most once."""

from result import Err

from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict, describe_outcome
from comfreyhitch.egress.attempts import start_attempt
from comfreyhitch.egress.candidates import choose_for_call, count_exposure, end_trial
from comfreyhitch.egress.classify import AttemptRecord, OutgoingCall
from comfreyhitch.egress.fencing import await_answer_with_fencing
from comfreyhitch.egress.hedging import await_answer_with_hedging
from comfreyhitch.egress.models import Candidate
from comfreyhitch.egress.retries import (
    RequestProgress,
    allow_slow_targets,
    back_off,
    get_pace_wait_seconds,
    make_final_outcome,
    record_attempt,
    should_retry,
)
from comfreyhitch.egress.state import REFUSAL_RETRY_RATIO, Egress, get_retry_budget
from comfreyhitch.egress.stopping import DaemonStoppingError, make_interrupted_failure
from comfreyhitch.egress.views import estimate_in_flight, get_or_create_view
from comfreyhitch.utils.token_bucket import deposit_tokens
from comfreyhitch.wire.exceptions import PeerError


def route(egress: Egress, call: OutgoingCall) -> Outcome:
    """Return a target's response, or a failure that says whether the request may have run."""
    deposit_tokens(get_retry_budget(egress, call.service), egress.settings.retry_budget)
    deposit_tokens(egress.hedge_budget, egress.settings.hedge_budget)
    deposit_tokens(egress.refusal_retry_budget, REFUSAL_RETRY_RATIO)
    progress = RequestProgress(call)
    try:
        return _attempt_until_final(egress, progress)
    except DaemonStoppingError:
        may_have_run = progress.may_have_run or progress.is_attempt_pending
        return Err(make_interrupted_failure(may_have_run=may_have_run))


def _attempt_until_final(egress: Egress, progress: RequestProgress) -> Outcome:
    call = progress.call
    while True:
        candidate = choose_for_call(egress, call, progress.tried_addresses)
        if candidate is None and allow_slow_targets(egress, progress):
            candidate = choose_for_call(egress, call, progress.tried_addresses)
        if candidate is None:
            return make_final_outcome(progress)
        call.patience_seconds = get_pace_wait_seconds(egress, progress)
        progress.attempts += 1
        progress.is_attempt_pending = True
        progress.tried_addresses.add(candidate.address)
        record_attempt(progress, candidate.address, _attempt_candidate(egress, progress, candidate))
        if not should_retry(egress, progress):
            return make_final_outcome(progress)
        call.attempt_number += 1
        back_off(egress, progress)


def _attempt_candidate(egress: Egress, progress: RequestProgress, candidate: Candidate) -> Outcome:
    call = progress.call
    now = egress.blackboard.clock.monotonic()
    view = get_or_create_view(egress.blackboard.views_by_address, candidate.address)
    count_exposure(egress, call.service, candidate.version)
    record = AttemptRecord(
        target=candidate.address,
        zone=candidate.zone,
        version=candidate.version,
        in_flight=estimate_in_flight(view, now),
        report_age_seconds=now - view.reported_at,
        sent_at=now,
    )
    call.attempt_records.append(record)
    outcome = _send_and_wait(egress, progress, candidate)
    if outcome.is_err() and outcome.err_value.refusal is Refusal.VERSION_ON_TRIAL:
        end_trial(egress, call.service)
    record.seconds = egress.blackboard.clock.monotonic() - now
    record.outcome = describe_outcome(outcome)
    return outcome


def _send_and_wait(egress: Egress, progress: RequestProgress, candidate: Candidate) -> Outcome:
    call = progress.call
    try:
        attempt = start_attempt(egress, call, candidate)
    except PeerError as error:
        return Err(Failure(Verdict.NOT_RUN, Refusal.PEER_UNREACHABLE, str(error)))
    if call.is_idempotent:
        return await_answer_with_hedging(egress, progress, attempt)
    return await_answer_with_fencing(egress, progress, attempt)
