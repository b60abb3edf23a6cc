"""Route a request: try targets, within budgets, and never run twice what may not."""

from result import Err

from comfreyhitch.core.verdicts import Failure, Outcome, Refusal, Verdict
from comfreyhitch.egress.attempts import start_attempt
from comfreyhitch.egress.candidates import choose_candidate
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.fencing import await_fenced
from comfreyhitch.egress.hedging import await_hedged
from comfreyhitch.egress.models import Candidate
from comfreyhitch.egress.retries import Progress, back_off, conclude, record_try, should_retry
from comfreyhitch.egress.state import REFUSAL_BUDGET, Egress, get_retry_budget
from comfreyhitch.utils.token_bucket import deposit
from comfreyhitch.wire.exceptions import PeerError


def route(egress: Egress, call: OutgoingCall) -> Outcome:
    """Return a target's response, or a failure that says whether the request may have run."""
    deposit(get_retry_budget(egress, call.service), egress.settings.retry_budget)
    deposit(egress.hedge_budget, egress.settings.hedge_budget)
    deposit(egress.refusal_budget, REFUSAL_BUDGET)
    progress = Progress(call)
    while True:
        candidate = choose_candidate(egress, call.service, progress.tried)
        if candidate is None:
            return conclude(progress)
        progress.tries += 1
        progress.tried.add(candidate.address)
        record_try(progress, _try_candidate(egress, progress, candidate))
        if not should_retry(egress, progress):
            return conclude(progress)
        call.attempt += 1
        back_off(egress, progress)


def _try_candidate(egress: Egress, progress: Progress, candidate: Candidate) -> Outcome:
    call = progress.call
    try:
        attempt = start_attempt(egress, call, candidate)
    except PeerError as error:
        return Err(Failure(Verdict.NOT_RUN, Refusal.PEER_UNREACHABLE, str(error)))
    if call.is_idempotent:
        return await_hedged(egress, progress, attempt)
    return await_fenced(egress, progress, attempt)
