"""Route a request within the budgets, and run a non-idempotent request at most once."""

from result import Err

from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.egress.attempt_records import add_attempt_record, end_attempt_record
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
    count_exposure(egress, call.service, candidate.version)
    record = add_attempt_record(egress, call, candidate)
    outcome = _send_and_wait(egress, progress, candidate, record)
    if outcome.is_err() and outcome.err_value.refusal is Refusal.VERSION_ON_TRIAL:
        end_trial(egress, call.service)
    end_attempt_record(record, outcome, egress.blackboard.clock.monotonic())
    return outcome


def _send_and_wait(
    egress: Egress, progress: RequestProgress, candidate: Candidate, record: AttemptRecord
) -> Outcome:
    call = progress.call
    try:
        attempt = start_attempt(egress, call, candidate)
    except PeerError as error:
        return Err(Failure(Verdict.NOT_RUN, Refusal.PEER_UNREACHABLE, str(error)))
    attempt.record = record
    if call.is_idempotent:
        return await_answer_with_hedging(egress, progress, attempt)
    return await_answer_with_fencing(egress, progress, attempt)
