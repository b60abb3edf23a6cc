"""The budget of repeats that all daemons share, and what draws on it."""

from datetime import timedelta

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st
from result import Err

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.verdicts import Failure, Refusal, Verdict
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.retries import (
    UNDELIVERED_REFUSALS,
    RequestProgress,
    record_attempt,
    should_retry,
)
from comfreyhitch.egress.state import Egress, get_retry_budget
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.telemetry.metrics import Metrics
from comfreyhitch.utils.token_bucket import deposit_tokens, take_tokens
from comfreyhitch.wire.connections import PeerPool
from features.fakes import FakeClock, make_member

RATIO = 0.16
EXTRA = 30.0
WINDOW = timedelta(seconds=10)


def make_egress(clock, daemons=1):
    """Return the egress of one of several daemons."""
    settings = Settings(
        retry_budget=RATIO,
        retry_extra=EXTRA,
        retry_window=WINDOW,
        is_repeat_budget_shared=True,
        hedge_budget=0.0,
    )
    blackboard = Blackboard(clock=clock, own_member=make_member())
    for number in range(daemons):
        member = make_member(address=f"127.0.0.{number + 1}:8081")
        blackboard.members_by_address[member.address] = member
    pool = PeerPool.from_address("127.0.0.1:8081", "127.0.0.1", clock)
    return Egress.from_settings(settings, blackboard, pool, Metrics.create())


def make_call(max_attempts):
    """Return an idempotent call."""
    return OutgoingCall(
        service="s1",
        method="GET",
        path="/",
        headers=[],
        body=b"",
        tenant="default",
        traffic_class=TrafficClass.NORMAL,
        is_idempotent=True,
        idempotency_key="",
        fingerprint="f",
        route="r",
        attempt_number=1,
        deadline=100.0,
        max_attempts=max_attempts,
    )


@then("in any window all daemons together repeat no more than the share and the extra allow")
def check_shared(context):
    event = st.tuples(st.integers(0, 4), st.floats(0.0, 0.3), st.integers(0, 5))

    @seed(context.seed)
    @given(st.lists(event, min_size=1, max_size=150))
    def check(events):
        clock = FakeClock()
        egresses = [make_egress(clock.make(), daemons=5) for _ in range(5)]
        requests, repeats = [], []
        for position, pause, wanted in events:
            clock.seconds += pause
            budget = get_retry_budget(egresses[position], "s1")
            deposit_tokens(budget, RATIO)
            requests.append(clock.seconds)
            granted = sum(take_tokens(budget, clock.seconds) for _ in range(wanted))
            repeats.extend([clock.seconds] * granted)
        for start in repeats:
            end = start + WINDOW.total_seconds()
            # What was saved up before the window is at most one part of the extra.
            allowed = RATIO * sum(start <= at <= end for at in requests) + 2 * EXTRA
            assert sum(start <= at <= end for at in repeats) <= allowed + 1e-6

    check()


@then("a refusal by a gate costs no target and no repeat, and a route's targets are never exceeded")
def check_tries(context):
    refusals = st.lists(st.sampled_from(sorted(Refusal)), min_size=1, max_size=12)

    @seed(context.seed)
    @given(refusals, st.integers(1, 3))
    def check(causes, max_attempts):
        egress = make_egress(FakeClock().make())
        budget = get_retry_budget(egress, "s1")
        budget.tokens = budget.capacity
        progress = RequestProgress(make_call(max_attempts))
        reached = 0
        for number, cause in enumerate(causes):
            progress.attempts += 1
            reached += cause not in UNDELIVERED_REFUSALS
            before = budget.tokens
            failure = Failure(Verdict.NOT_RUN, cause)
            record_attempt(progress, f"t{number}", Err(failure))
            is_tried_again = should_retry(egress, progress)
            if cause in UNDELIVERED_REFUSALS:
                assert budget.tokens == before, cause
            if not is_tried_again:
                break
            progress.call.attempt_number += 1
            assert reached < max_attempts or cause in UNDELIVERED_REFUSALS
        assert reached <= max_attempts

    check()
