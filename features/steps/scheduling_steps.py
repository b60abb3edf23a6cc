"""Test the order of waiting requests by cost, and that each of them is resolved in time."""

from behave import then
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from comfreyhitch.admission.models import AdmissionDecision, QueueEntry, SchedulingTerms
from comfreyhitch.admission.ordering import choose_cheapest, sort_by_cost
from comfreyhitch.admission.queue import (
    AdmissionQueue,
    get_scheduled_capacity,
    release,
    request_scheduled_admission,
    withdraw,
)
from comfreyhitch.admission.schedule import Schedule, record_started
from comfreyhitch.admission.scheduling import MAX_HOLD_SHARE, estimate_wait
from comfreyhitch.admission.service_shares import record_refused, record_served
from comfreyhitch.admission.work_estimates import (
    ESTIMATE_LIFETIME_SECONDS,
    MAX_ROUTES,
    WorkEstimates,
    get_expected_work,
    record_work,
)
from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.sections.models import TrafficClass
from features.fakes import run_state_machine

LIMIT = 3
WORK_SECONDS = 0.1


class Requests:
    """Hold a scheduled queue, the requests made of it, and what became of the waiting ones."""

    def __init__(self, limit=LIMIT):
        self.queue = AdmissionQueue.from_slots(limit)
        self.queue.limit.limit = limit
        self.queue.schedule = Schedule()
        self.now = 0.0
        self.entries = []
        self.refusals = {}

    def learn(self, route="r", seconds=WORK_SECONDS):
        """Record enough responses of a route for its work to be known."""
        for _ in range(10):
            record_work(self.queue.schedule.estimates, route, seconds, 1.0, self.now)

    def make(self, **changes):
        """Return an entry that has not arrived yet; times are relative to now."""
        values = {"objective": 0.4, "deadline": 1.0, "rank": 1, "tenant": "default", "route": "r"}
        values.update(changes)

        def resolve(refusal):
            assert entry not in self.refusals, "resolved twice"
            self.refusals[entry] = refusal

        deadline = self.now + values["deadline"]
        entry = QueueEntry(values["tenant"], TrafficClass.NORMAL, deadline, resolve)
        entry.terms = SchedulingTerms(
            route=values["route"],
            rank=values["rank"],
            arrived_at=self.now,
            objective_at=self.now + values["objective"],
            is_nested=values.get("is_nested", False),
            has_returned=values.get("has_returned", False),
        )
        return entry

    def arrive(self, **changes):
        """Request admission, and return the entry and the decision."""
        entry = self.make(**changes)
        self.entries.append(entry)
        decision, refusal = request_scheduled_admission(self.queue, entry, self.now)
        assert (decision is AdmissionDecision.REFUSE) == (refusal is not None)
        assert refusal in (None, Refusal.OVERLOADED)
        return entry, decision

    def fill(self):
        """Let requests run up to the limit."""
        for _ in range(self.queue.limit.limit - self.queue.running):
            assert self.arrive()[1] is AdmissionDecision.RUN

    def finish_one(self):
        """Release the oldest running request."""
        release(self.queue, next(entry for entry in self.entries if entry.is_running), self.now)

    def give_up(self, until):
        """Advance the time, and resolve waiting requests as the timers of their calls do."""
        while self.queue.waiting:
            entry = min(self.queue.waiting, key=lambda waiting: waiting.terms.give_up_at)
            if entry.terms.give_up_at > until:
                break
            self.now = max(self.now, entry.terms.give_up_at)
            assert withdraw(self.queue, entry, Refusal.OVERLOADED, self.now)
        self.now = until


@then("each criterion of the order decides if all criteria before it are equal")
def check_order(context):
    # Guards against an order in which a weaker criterion outweighs a stronger one.
    requests = Requests()
    requests.learn()
    schedule = requests.queue.schedule
    busy = requests.make(tenant="busy")
    record_started(schedule, busy, 0.0)
    in_order = [
        {"is_nested": True, "rank": 2, "tenant": "busy", "objective": 0.9},
        {"rank": 0, "tenant": "busy", "objective": 0.05},
        {"rank": 1, "tenant": "idle", "objective": 0.05},
        {"rank": 1, "tenant": "busy", "has_returned": True, "objective": 0.05},
        {"rank": 1, "tenant": "busy", "objective": 0.3},
        {"rank": 1, "tenant": "busy", "objective": 0.5},
        {"rank": 1, "tenant": "busy", "objective": 0.05, "deadline": 0.5},
        {"rank": 1, "tenant": "busy", "objective": 0.04, "deadline": 0.6},
    ]
    entries = [requests.make(**changes) for changes in in_order]
    for entry in entries:
        entry.terms.expected_work_seconds = WORK_SECONDS
    order = sort_by_cost(schedule, entries[::-1], 0.0)
    assert [entries.index(entry) for entry in order.entries] == list(range(len(entries)))
    # Rank 2 is served below 0.4 of the share of all requests: one of its requests goes next.
    for _ in range(10):
        record_served(schedule.shares_by_rank, 1, 0.0)
        record_refused(schedule.shares_by_rank, 2, 0.0)
    starved = [requests.make(rank=2), requests.make(rank=2)]
    order = sort_by_cost(schedule, [*starved, *entries], 0.0)
    assert order.entries == [entries[0], starved[0], *entries[1:], starved[1]]
    # A rank is not advanced that is served as often as a more urgent one.
    for _ in range(20):
        record_refused(schedule.shares_by_rank, 0, 0.0)
    order = sort_by_cost(schedule, [*starved, *entries], 0.0)
    assert order.entries == [*entries, *starved]


@then("the request that costs least is dropped at the bound of the queue")
def check_cheapest(context):
    # Guards against a bound that drops requests whose refusal costs more than that of others.
    requests = Requests()
    in_order = [
        {"rank": 2, "objective": 0.05, "tenant": "a"},
        {"rank": 2, "objective": 0.05, "tenant": "b"},
        {"rank": 2, "tenant": "a"},
        {"rank": 1, "tenant": "a"},
        {"rank": 0, "tenant": "b"},
        {"rank": 2, "is_nested": True, "tenant": "c"},
    ]
    entries = [requests.make(**changes) for changes in in_order]
    for entry in entries:
        entry.terms.expected_work_seconds = WORK_SECONDS
    remaining = list(entries)
    while remaining:
        cheapest = choose_cheapest(remaining, 0.0)
        assert cheapest is entries[len(entries) - len(remaining)]
        remaining.remove(cheapest)
    # Without known work, nothing limits the queue but its bound.
    requests.fill()
    capacity = get_scheduled_capacity(requests.queue)
    for _ in range(capacity):
        assert requests.arrive(rank=2)[1] is AdmissionDecision.WAIT
    assert requests.arrive(rank=2)[1] is AdmissionDecision.REFUSE
    assert requests.arrive(rank=0)[1] is AdmissionDecision.WAIT
    assert len(requests.queue.waiting) == capacity
    assert list(requests.refusals.values()) == [Refusal.OVERLOADED]


class ScheduleMachine(RuleBasedStateMachine):
    """Drive a scheduled queue with requests of all kinds."""

    def __init__(self):
        super().__init__()
        self.requests = Requests()

    @rule(
        route=st.sampled_from(["r", "s", "t"]),
        rank=st.integers(0, 3),
        tenant=st.sampled_from(["a", "b", "c"]),
        objective=st.floats(-0.5, 1.0),
        deadline=st.floats(0.01, 2.0),
        is_nested=st.booleans(),
        has_returned=st.booleans(),
    )
    def arrive(self, **changes):
        """Request admission for a new request."""
        entry, decision = self.requests.arrive(**changes)
        assert entry not in self.requests.refusals
        assert entry.is_running == (decision is AdmissionDecision.RUN)

    @rule(gap=st.floats(0.0, 0.5))
    def finish(self, gap):
        """Release the oldest running request, after the timers until then."""
        requests = self.requests
        requests.give_up(requests.now + gap)
        running = [entry for entry in requests.entries if entry.is_running]
        if running:
            seconds = requests.now - running[0].terms.started_at
            route = running[0].terms.route
            record_work(requests.queue.schedule.estimates, route, seconds, 1.0, requests.now)
            release(requests.queue, running[0], requests.now)

    @rule(limit=st.integers(1, LIMIT))
    def change_limit(self, limit):
        """Change the limit, as when it is learned."""
        self.requests.queue.limit.limit = limit

    @invariant()
    def check(self):
        """Check the counts, and that each request is resolved once and in time."""
        requests = self.requests
        queue = requests.queue
        running = [entry for entry in requests.entries if entry.is_running]
        assert len(running) == queue.running == len(queue.schedule.running) <= LIMIT
        assert queue.requests_by_tenant.total() == len(running) + len(queue.waiting)
        assert len(set(map(id, queue.waiting))) == len(queue.waiting)
        for entry in queue.waiting:
            assert entry not in requests.refusals
            terms = entry.terms
            held_until = terms.arrived_at + MAX_HOLD_SHARE * (entry.deadline - terms.arrived_at)
            latest = entry.deadline if terms.is_nested else max(held_until, terms.objective_at)
            assert requests.now <= terms.give_up_at <= min(latest, entry.deadline) + 1e-9
        assert estimate_wait(queue.schedule, queue.waiting, queue.limit.limit, requests.now) >= 0.0


@then(
    "a schedule never runs more than the limit, resolves no request twice, and holds none too long"
)
def check_schedule(context):
    run_state_machine(context, ScheduleMachine)


@then("waiting requests are refused in time while a target hangs, and others run when it is back")
def check_hanging_target(context):
    # Guards against requests that are held until their deadlines by a target that does not answer.
    requests = Requests()
    requests.learn()
    requests.fill()
    waiting, decision = requests.arrive()
    assert decision is AdmissionDecision.WAIT
    nested, decision = requests.arrive(is_nested=True)
    assert decision is AdmissionDecision.WAIT
    requests.give_up(0.5)
    assert requests.refusals == {waiting: Refusal.OVERLOADED}
    requests.give_up(1.0)
    assert requests.refusals[nested] is Refusal.OVERLOADED
    # The longer the requests run, the longer they are expected to go on: nothing waits in vain.
    requests.now = 5.0
    assert requests.arrive()[1] is AdmissionDecision.REFUSE
    assert estimate_wait(requests.queue.schedule, [], LIMIT, requests.now) > 1.0
    for _ in range(LIMIT):
        requests.finish_one()
    assert estimate_wait(requests.queue.schedule, [], LIMIT, requests.now) == 0.0
    requests.learn()
    assert requests.arrive()[1] is AdmissionDecision.RUN


@then("a displaced request is refused when the arrival that displaces it comes")
def check_displacement(context):
    # Guards against displaced requests that wait although it is clear that they are too late.
    requests = Requests(limit=1)
    requests.learn()
    requests.fill()
    displaced, decision = requests.arrive(rank=2, objective=0.35, deadline=0.5)
    assert decision is AdmissionDecision.WAIT
    for _ in range(2):
        assert requests.arrive(is_nested=True)[1] is AdmissionDecision.WAIT
    assert requests.refusals == {displaced: Refusal.OVERLOADED}


@then("calls that end without being sent to the target do not make the expected wait shorter")
def check_unsent_calls(context):
    # Guards against waits that look short after a cold target has refused calls by its rate, so
    # that requests wait that can't be served in time.
    requests = Requests()
    requests.learn()
    for _ in range(40):
        entry, decision = requests.arrive()
        assert decision is AdmissionDecision.RUN
        entry.terms.was_sent = False
        requests.now += 0.001
        requests.finish_one()
    requests.fill()
    wait_seconds = estimate_wait(requests.queue.schedule, [], LIMIT, requests.now)
    assert wait_seconds >= WORK_SECONDS, wait_seconds


@then("no request is refused because its work is unknown or an estimate is old")
def check_unknown_work(context):
    # Guards against a target that refuses all requests of a route by an estimate that can't be
    # corrected, because none of them runs.
    requests = Requests()
    assert requests.arrive(deadline=0.05)[1] is AdmissionDecision.RUN
    requests.finish_one()
    requests.learn(seconds=3.0)
    assert requests.arrive()[1] is AdmissionDecision.REFUSE
    # The mean of the target orders a request of another route, and does not refuse it.
    entry, decision = requests.arrive(route="other")
    assert decision is AdmissionDecision.RUN
    assert entry.terms.expected_work_seconds > 1.0
    requests.now += ESTIMATE_LIFETIME_SECONDS + 0.1
    assert requests.arrive()[1] is AdmissionDecision.RUN
    # Nor is one refused that waits for others whose work is unknown or whose estimate is old.
    requests.fill()
    assert requests.arrive()[1] is AdmissionDecision.WAIT
    requests = Requests()
    requests.learn(seconds=3.0)
    for _ in range(LIMIT):
        assert requests.arrive(route="other")[1] is AdmissionDecision.RUN
    assert requests.arrive(route="other")[1] is AdmissionDecision.WAIT
    estimates = WorkEstimates()
    for number in range(2 * MAX_ROUTES):
        record_work(estimates, f"r{number}", 1.0, 2.0, float(number))
    assert len(estimates.by_route) == MAX_ROUTES
    assert abs(get_expected_work(estimates, "unknown") - 0.5) < 1e-9
