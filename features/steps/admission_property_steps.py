"""Properties of concurrency limits, admission queues and probe budgets."""

from math import ceil

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from comfreyhitch.admission.limiter import (
    INITIAL_LIMIT,
    ConcurrencyLimit,
    record_response,
    record_start,
    restart_from_initial_limit,
)
from comfreyhitch.admission.queue import (
    AdmissionDecision,
    AdmissionQueue,
    QueueEntry,
    release,
    request_admission,
    withdraw,
)
from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.utils.token_bucket import TokenBucket, take_tokens
from features.fakes import SLOTS, run_state_machine


@then("a probe budget is never overdrawn, whatever the times between probes")
def check_probe_budget(context):
    @seed(context.seed)
    @given(
        rate=st.floats(0.1, 100),
        gaps=st.lists(st.floats(0, 5), min_size=1, max_size=200),
    )
    def check(rate, gaps):
        capacity = max(1.0, rate)
        bucket = TokenBucket.from_rate(rate, capacity, 0.0)
        now = 0.0
        taken = 0
        for gap in gaps:
            now += gap
            taken += take_tokens(bucket, now)
            assert taken <= capacity + rate * now + 1e-6

    check()


class ConcurrencyLimitMachine(RuleBasedStateMachine):
    """Drive a concurrency limit with starts, responses and resets."""

    def __init__(self):
        super().__init__()
        self.limiter = ConcurrencyLimit(slots=SLOTS)
        self.now = 0.0
        self.start_times = []
        self.responses_since_change = 0
        self.highest_limit = INITIAL_LIMIT

    @rule(gap=st.floats(0, 0.01))
    def start(self, gap):
        """Start a request if the limit allows it."""
        self.now += gap
        if len(self.start_times) < self.limiter.limit:
            self.start_times.append(self.now)
            record_start(self.limiter, len(self.start_times))

    @rule(seconds=st.floats(0, 1), is_failure=st.booleans())
    def complete(self, seconds, is_failure):
        """Record the response to the oldest running request."""
        if not self.start_times:
            return
        self.now += seconds
        before = self.limiter.limit
        recovery_limit = self.limiter.recovery_limit
        record_response(self.limiter, self.start_times.pop(0), self.now, is_failure=is_failure)
        self.responses_since_change += 1
        if self.limiter.limit > before:
            self.check_increase(before, recovery_limit)
        if self.limiter.limit != before:
            self.responses_since_change = 0

    def check_increase(self, before, recovery_limit):
        """Check by how much the limit grew, and after how many responses.

        Up to the recovery limit, which is a share of the highest limit that the target sustained,
        it grows by at most half; above it, by 1.
        """
        if before < recovery_limit:
            assert self.limiter.limit <= min(recovery_limit, ceil(before * 1.5))
            assert self.responses_since_change >= max(3, before)
            assert recovery_limit <= self.highest_limit * 0.7
        else:
            assert self.limiter.limit == before + 1
            assert self.responses_since_change >= max(6, 2 * before)
        self.highest_limit = max(self.highest_limit, self.limiter.limit)

    @rule(rounds=st.integers(1, 12))
    def serve_rounds(self, rounds):
        """Fill the limit and complete all requests repeatedly, as a healthy target does."""
        for _ in range(rounds):
            while len(self.start_times) < self.limiter.limit:
                self.start(0.0)
            for _ in range(len(self.start_times)):
                self.complete(0.01, False)

    @rule()
    def reset_limit(self):
        """Reset the limit, as a refused connection does."""
        restart_from_initial_limit(self.limiter, self.now)
        self.highest_limit = INITIAL_LIMIT
        self.responses_since_change = 0
        assert self.limiter.limit == INITIAL_LIMIT

    @invariant()
    def check_bounds(self):
        """Check that the limit is neither below its initial value nor above the slots."""
        assert INITIAL_LIMIT <= self.limiter.limit <= SLOTS


@then("a limit is reset to 1, grows by 1 above the recovery limit, and never exceeds the slots")
def check_concurrency_limit(context):
    run_state_machine(context, ConcurrencyLimitMachine)


class AdmissionQueueMachine(RuleBasedStateMachine):
    """Drive an admission queue with requests of two tenants and of all traffic classes."""

    def __init__(self):
        super().__init__()
        self.queue = AdmissionQueue.from_slots(SLOTS)
        self.queue.limit.limit = 3
        self.now = 0.0
        self.entries = []
        self.refusals_by_number = {}

    @rule(
        tenant=st.sampled_from(["a", "b"]),
        traffic_class=st.sampled_from(list(TrafficClass)),
        max_wait_seconds=st.floats(0.01, 1),
    )
    def arrive(self, tenant, traffic_class, max_wait_seconds):
        """Request admission for a new request."""
        number = len(self.entries)

        def resolve(refusal):
            assert number not in self.refusals_by_number, "resolved twice"
            self.refusals_by_number[number] = refusal

        entry = QueueEntry(tenant, traffic_class, self.now + max_wait_seconds, resolve)
        self.entries.append(entry)
        decision, refusal = request_admission(self.queue, entry, 0.75)
        assert (decision is AdmissionDecision.REFUSE) == (refusal is not None)
        if decision is AdmissionDecision.RUN:
            self.refusals_by_number[number] = None

    @rule(gap=st.floats(0, 0.5))
    def finish(self, gap):
        """Release the oldest running request."""
        self.now += gap
        running = [entry for entry in self.entries if entry.is_running]
        if running:
            release(self.queue, running[0], self.now)

    @rule()
    def cancel(self):
        """Withdraw the first waiting request, as when its caller disconnects."""
        if self.queue.waiting:
            assert withdraw(self.queue, self.queue.waiting[0], Refusal.CANCELLED)

    @invariant()
    def check_counts(self):
        """Check the counts of running and waiting requests, and that the queue is sorted by class.

        No place in the queue or at the target may be lost or used twice.
        """
        running = sum(entry.is_running for entry in self.entries)
        assert running == self.queue.running <= self.queue.limit.limit
        admitted = running + len(self.queue.waiting)
        assert self.queue.requests_by_tenant.total() == admitted
        classes = [entry.traffic_class for entry in self.queue.waiting]
        assert classes == sorted(classes, reverse=True)


@then("admission never runs more requests than the limit, and resolves no waiting request twice")
def check_admission_queue(context):
    run_state_machine(context, AdmissionQueueMachine)
