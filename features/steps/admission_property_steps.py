"""Properties of limits, queues and probe budgets."""

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
from features.fakes import SLOTS, run_machine


@then("a probe budget is never overdrawn, whatever the times between probes")
def check_budget(context):
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


class LimitMachine(RuleBasedStateMachine):
    """Drive a concurrency limit with starts, answers and resets."""

    def __init__(self):
        super().__init__()
        self.state = ConcurrencyLimit(slots=SLOTS)
        self.now = 0.0
        self.running = []
        self.answers_since_change = 0
        self.highest = INITIAL_LIMIT

    @rule(gap=st.floats(0, 0.01))
    def start(self, gap):
        """Start a request if the limit allows."""
        self.now += gap
        if len(self.running) < self.state.limit:
            self.running.append(self.now)
            record_start(self.state, len(self.running))

    @rule(seconds=st.floats(0, 1), is_failure=st.booleans())
    def answer(self, seconds, is_failure):
        """Answer the oldest request."""
        if not self.running:
            return
        self.now += seconds
        before = self.state.limit
        proven = self.state.recovery_limit
        record_response(self.state, self.running.pop(0), self.now, is_failure=is_failure)
        self.answers_since_change += 1
        if self.state.limit > before:
            self.check_growth(before, proven)
        if self.state.limit != before:
            self.answers_since_change = 0

    def check_growth(self, before, proven):
        """Check that only what was proved before is granted faster than step by step."""
        if before < proven:
            assert self.state.limit <= min(proven, ceil(before * 1.5))
            assert self.answers_since_change >= max(3, before)
            assert proven <= self.highest * 0.7
        else:
            assert self.state.limit == before + 1
            assert self.answers_since_change >= max(6, 2 * before)
        self.highest = max(self.highest, self.state.limit)

    @rule(rounds=st.integers(1, 12))
    def serve_well(self, rounds):
        """Fill the limit and answer all again and again, as a healthy target does."""
        for _ in range(rounds):
            while len(self.running) < self.state.limit:
                self.start(0.0)
            for _ in range(len(self.running)):
                self.answer(0.01, False)

    @rule()
    def lose_target(self):
        """Reset the limit, as after a refused connection."""
        restart_from_initial_limit(self.state, self.now)
        self.highest = INITIAL_LIMIT
        self.answers_since_change = 0
        assert self.state.limit == INITIAL_LIMIT

    @invariant()
    def stays_within_slots(self):
        """Check the bounds of the limit."""
        assert INITIAL_LIMIT <= self.state.limit <= SLOTS


@then("a limit starts at 1, grows step by step beyond what was proved, and never passes the slots")
def check_limit(context):
    run_machine(context, LimitMachine)


class QueueMachine(RuleBasedStateMachine):
    """Drive an admission queue with requests of two tenants and all classes."""

    def __init__(self):
        super().__init__()
        self.queue = AdmissionQueue.from_slots(SLOTS)
        self.queue.limit.limit = 3
        self.now = 0.0
        self.entries = []
        self.settled = {}

    @rule(
        tenant=st.sampled_from(["a", "b"]),
        traffic_class=st.sampled_from(list(TrafficClass)),
        patience=st.floats(0.01, 1),
    )
    def arrive(self, tenant, traffic_class, patience):
        """Let a request arrive."""
        number = len(self.entries)

        def settle(refusal):
            assert number not in self.settled, "settled twice"
            self.settled[number] = refusal

        entry = QueueEntry(tenant, traffic_class, self.now + patience, settle)
        self.entries.append(entry)
        decision, refusal = request_admission(self.queue, entry, 0.75)
        assert (decision is AdmissionDecision.REFUSE) == (refusal is not None)
        if decision is AdmissionDecision.RUN:
            self.settled[number] = None

    @rule(gap=st.floats(0, 0.5))
    def finish(self, gap):
        """Let the oldest running request end."""
        self.now += gap
        running = [entry for entry in self.entries if entry.is_running]
        if running:
            release(self.queue, running[0], self.now)

    @rule()
    def cancel(self):
        """Let the caller of a waiting request leave."""
        if self.queue.waiting:
            assert withdraw(self.queue, self.queue.waiting[0], Refusal.CANCELLED)

    @invariant()
    def counts_agree(self):
        """Check that no place is lost or used twice."""
        running = sum(entry.is_running for entry in self.entries)
        assert running == self.queue.running <= self.queue.limit.limit
        held = running + len(self.queue.waiting)
        assert self.queue.requests_by_tenant.total() == held
        classes = [entry.traffic_class for entry in self.queue.waiting]
        assert classes == sorted(classes, reverse=True)


@then("admission never runs more than the limit, and settles each request once")
def check_queue(context):
    run_machine(context, QueueMachine)
