"""Test the retry budget that all daemons share, and which attempts draw on it."""

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

RETRY_RATIO = 0.16
EXTRA_RETRIES = 30.0
RETRY_WINDOW = timedelta(seconds=10)


def make_egress(clock, daemons=1):
    """Return the egress of one daemon in a fleet of the given size."""
    settings = Settings(
        retry_budget=RETRY_RATIO,
        retry_extra=EXTRA_RETRIES,
        retry_window=RETRY_WINDOW,
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


@then(
    "in any window all daemons together retry no more than the ratio and twice the extra retries "
    "allow"
)
def check_shared(context):
    event = st.tuples(st.integers(0, 4), st.floats(0.0, 0.3), st.integers(0, 5))

    @seed(context.seed)
    @given(st.lists(event, min_size=1, max_size=150))
    def check(events):
        clock = FakeClock()
        egresses = [make_egress(clock.make_clock(), daemons=5) for _ in range(5)]
        request_times, retry_times = [], []
        for position, pause, requested in events:
            clock.seconds += pause
            budget = get_retry_budget(egresses[position], "s1")
            deposit_tokens(budget, RETRY_RATIO)
            request_times.append(clock.seconds)
            granted = sum(take_tokens(budget, clock.seconds) for _ in range(requested))
            retry_times.extend([clock.seconds] * granted)
        for start in retry_times:
            end = start + RETRY_WINDOW.total_seconds()
            # The buckets may be full when a window starts, which allows the extra retries twice.
            allowed = (
                RETRY_RATIO * sum(start <= at <= end for at in request_times) + 2 * EXTRA_RETRIES
            )
            assert sum(start <= at <= end for at in retry_times) <= allowed + 1e-6

    check()


@then(
    "an undelivered attempt takes no retry token, and delivered attempts never exceed the route's "
    "limit"
)
def check_attempts(context):
    refusal_lists = st.lists(st.sampled_from(sorted(Refusal)), min_size=1, max_size=12)

    @seed(context.seed)
    @given(refusal_lists, st.integers(1, 3))
    def check(refusals, max_attempts):
        egress = make_egress(FakeClock().make_clock())
        budget = get_retry_budget(egress, "s1")
        budget.tokens = budget.capacity
        progress = RequestProgress(make_call(max_attempts))
        delivered_attempts = 0
        for number, refusal in enumerate(refusals):
            progress.attempts += 1
            delivered_attempts += refusal not in UNDELIVERED_REFUSALS
            tokens_before = budget.tokens
            failure = Failure(Verdict.NOT_RUN, refusal)
            record_attempt(progress, f"t{number}", Err(failure))
            is_retried = should_retry(egress, progress)
            if refusal in UNDELIVERED_REFUSALS:
                assert budget.tokens == tokens_before, refusal
            if not is_retried:
                break
            progress.call.attempt_number += 1
            assert delivered_attempts < max_attempts or refusal in UNDELIVERED_REFUSALS
        assert delivered_attempts <= max_attempts

    check()
