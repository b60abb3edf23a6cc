"""Test the call handler of the ingress with non-idempotent requests and events in any order."""

from contextlib import contextmanager
from dataclasses import replace

import gevent
from behave import then
from gevent.event import AsyncResult
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from comfreyhitch.admission.work_estimates import record_work
from comfreyhitch.conf.models import Settings
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.verdicts import Failure, Refusal, Response, Verdict
from comfreyhitch.ingress import call_handler, execution
from comfreyhitch.ingress.call_handler import handle_call
from comfreyhitch.ingress.fence import handle_fence_query
from comfreyhitch.ingress.lifecycle import TargetState
from comfreyhitch.ingress.load_reports import make_load_report
from comfreyhitch.ingress.models import MAX_TIMEOUT_SECONDS, IncomingCall
from comfreyhitch.ingress.state import Ingress, attach_target
from comfreyhitch.rollouts.evidence import EvidenceLog
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.telemetry.metrics import Metrics, render_metrics
from comfreyhitch.wire.generated.ttypes import FenceQuery, FenceState
from features.fakes import FakeClock, make_member, run_state_machine

SLOTS = 2
DEADLINE_SECONDS = 30.0
REQUEST_IDS = [f"r{number}" for number in range(6)]
TARGET_OUTCOMES = {
    "answer": Ok(Response(200, "OK", [], b"done")),
    "failure": Ok(Response(500, "Failed", [], b"")),
    "reset": Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.TARGET_FAILED, "reset")),
    "refused": Err(Failure(Verdict.NOT_RUN, Refusal.TARGET_UNREACHABLE, "refused")),
}


class CallHandlerMachine(RuleBasedStateMachine):
    """Drive a call handler whose target runs each request until a rule ends it.

    Guards against a request that runs twice, or that runs although a caller or the sender of a
    fence query was told that it has not run and never will. Resends, fence queries and the states
    of the target come in any order here, so that each of them meets requests that are new, running
    or ended.
    """

    overload_control = "class"

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        blackboard = Blackboard(clock=self.clock.make_clock(), own_member=make_member())
        self.ingress = Ingress.from_settings(
            Settings(limit_rule="slots", overload_control=self.overload_control),
            blackboard,
            None,
            EvidenceLog.from_clock(blackboard.clock),
            Metrics.create(),
            lambda fingerprint: None,
        )
        attach_target(self.ingress, "127.0.0.1", 1, SLOTS)
        self.ingress.lifecycle.state = TargetState.READY
        self.ingress.lifecycle.is_suspected = False
        self.sent = 0
        # The results that requests running at the target wait for, by request id.
        self.running = {}
        # Requests that ran or may have run, one entry for each time.
        self.executed = []
        # Requests that a caller or the sender of a fence query was told will never run.
        self.reported_not_run = set()
        self.outcomes = []
        self.calls = []
        self.first_seen_at = {}

    def send_to_target(self, connections, request, cancel_socket, before_send):
        """Run a request as the target does, until a rule ends it."""
        before_send()
        request_id = request.body.decode()
        result = AsyncResult()
        self.running[request_id] = result
        outcome = result.get()
        if outcome.is_ok() or outcome.err_value.verdict is not Verdict.NOT_RUN:
            self.executed.append(request_id)
        return outcome

    def call(self, request_id):
        """Handle one call as the peer server does, and record its outcome."""
        now = self.clock.seconds
        outcome = handle_call(self.ingress, make_call(request_id, now))
        self.outcomes.append((request_id, outcome))
        if outcome.is_err() and outcome.err_value.verdict is Verdict.NOT_RUN:
            self.reported_not_run.add(request_id)

    @rule(request_id=st.sampled_from(REQUEST_IDS))
    def arrive(self, request_id):
        """Let a request arrive, for the first time or again under the same id."""
        first_seen_at = self.first_seen_at.setdefault(request_id, self.clock.seconds)
        is_past_deadline = self.clock.seconds - first_seen_at > MAX_TIMEOUT_SECONDS
        if request_id in self.reported_not_run or is_past_deadline:
            # The egress gives each attempt an id of its own, and sends none after its deadline.
            return
        self.calls.append(gevent.spawn(self.call, request_id))
        gevent.idle()

    @rule(request_id=st.sampled_from(REQUEST_IDS), withdraw=st.booleans())
    def fence_request(self, request_id, withdraw):
        """Send a fence query for a request, whether or not it has arrived."""
        sent_at = self.first_seen_at.setdefault(request_id, self.clock.seconds)
        query = FenceQuery(
            request_id=request_id,
            boot_id=self.ingress.blackboard.own_member.boot_id,
            age_seconds=self.clock.seconds - sent_at,
            withdraw=withdraw,
        )
        state = handle_fence_query(self.ingress, query).state
        if state == FenceState.NEVER_RAN:
            self.reported_not_run.add(request_id)
        if request_id in self.running:
            assert state == FenceState.RUNNING, state
        gevent.idle()

    @rule(data=st.data(), end=st.sampled_from(sorted(TARGET_OUTCOMES)))
    def end_request(self, data, end):
        """Let the target respond to, fail, refuse or reset one of the requests that it runs."""
        if not self.running:
            return
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        self.running.pop(request_id).set(TARGET_OUTCOMES[end])
        gevent.idle()

    @rule(seconds=st.floats(0.0, 40.0))
    def wait_seconds(self, seconds):
        """Let time pass, sometimes beyond deadlines."""
        self.clock.seconds += seconds

    @rule(is_draining=st.booleans())
    def change_state(self, is_draining):
        """Mark the target as draining, or as ready once another has taken its place."""
        self.ingress.lifecycle.state = TargetState.DRAINING if is_draining else TargetState.READY

    @invariant()
    def check_at_most_once(self):
        """Check that no request ran twice, and none that was reported as not run."""
        started = [*self.executed, *self.running]
        assert len(started) == len(set(started)), started
        assert not self.reported_not_run & set(self.executed), (
            self.reported_not_run,
            self.executed,
        )
        for request_id in self.reported_not_run & set(self.running):
            raise AssertionError(f"{request_id} runs although it was reported as not run")

    def teardown(self):
        """End the calls that still run."""
        gevent.killall(self.calls)


def make_call(request_id, now):
    """Return a non-idempotent call without an idempotency key."""
    return IncomingCall(
        request_id=request_id,
        service="payments",
        method="POST",
        path="/",
        headers=[],
        body=request_id.encode(),
        arrived_at=now,
        deadline=now + DEADLINE_SECONDS,
        tenant="default",
        traffic_class=TrafficClass.NORMAL,
        is_idempotent=False,
        idempotency_key="",
        fingerprint=request_id,
        route="/",
        attempt_number=1,
    )


@contextmanager
def patched_call_target(overload_control="class"):
    """Replace `call_target`, so that the handler sends to the state machine, not to a socket."""
    selected = overload_control
    original = execution.call_target
    machine = None

    class Machine(CallHandlerMachine):
        overload_control = selected

        def __init__(self):
            nonlocal machine
            super().__init__()
            machine = self

    def call_target(connections, *arguments):
        assert machine.ingress.connections is connections
        return machine.send_to_target(connections, *arguments)

    execution.call_target = call_target
    try:
        yield Machine
    finally:
        execution.call_target = original


@then("no request runs twice, and none that was reported as not-run has run or runs later")
def check_call_handler(context):
    with patched_call_target() as machine:
        run_state_machine(context, machine)


@then("arrivals, resends, fences and ends in any order run no scheduled request twice")
def check_scheduled_call_handler(context):
    with patched_call_target("cost") as machine:
        run_state_machine(context, machine)


@then("a call that can't be served in time is refused by the call handler as not run")
def check_refused_calls(context):
    # Guards against a call that is refused although it runs, that waits until its deadline only to
    # be refused, or whose refusal does not say why.
    with patched_call_target("cost") as make_machine:
        machine = make_machine()
        ingress = machine.ingress
        for _ in range(10):
            record_work(ingress.queue.schedule.estimates, "/", 0.1, 1.0, 0.0)
        for number in range(SLOTS):
            machine.calls.append(gevent.spawn(machine.call, f"running-{number}"))
        gevent.idle()
        # It is expected to start after 100 ms, and its objective ends 90 ms after that.
        refused = replace(make_call("refused", 0.0), rank=1, objective_at=0.19)
        outcome = handle_call(ingress, refused)
        assert outcome.err_value.verdict is Verdict.NOT_RUN, outcome
        assert outcome.err_value.refusal is Refusal.OVERLOADED, outcome
        assert refused.refusal_fields["expected_wait_ms"] == 100, refused.refusal_fields
        assert refused.refusal_fields["expected_work_ms"] == 100, refused.refusal_fields
        # This one may wait, and is refused when it would miss its objective and half its deadline.
        late = replace(make_call("late", 0.0), rank=1, objective_at=0.21, deadline=0.4)
        handling = gevent.spawn(handle_call, ingress, late)
        gevent.idle()
        assert not handling.ready()
        assert abs(make_load_report(ingress).wait_seconds - 0.1) < 1e-6
        outcome = handling.get(timeout=5.0)
        assert outcome.err_value.refusal is Refusal.OVERLOADED, outcome
        assert set(machine.running) == {"running-0", "running-1"}
        text = render_metrics(ingress.metrics)[0].decode()
        assert (
            'comfreyhitch_scheduling_refusals_total{cause="overloaded",nested="no",rank="1"} 2'
            in text
        )
        assert ingress.blackboard.target_activity.running == SLOTS
        machine.teardown()


@then("the request is refused as fenced, and never reaches the target")
def check_fence_during_pace_wait(context):
    machine = CallHandlerMachine()
    sent = []

    def wait_for_pace(ingress, call):
        gevent.sleep(0.05)

    def send(*arguments):
        sent.append(arguments)
        return TARGET_OUTCOMES["answer"]

    replacements = (
        (call_handler, "acquire_claim", lambda *arguments: None),
        (call_handler, "make_claim", lambda *arguments: None),
        (call_handler, "settle_claim", lambda *arguments: None),
        (call_handler, "release_claim", lambda *arguments: None),
        (execution, "wait_for_usual_pace", wait_for_pace),
        (execution, "call_target", send),
    )
    with replaced(replacements):
        call = replace(make_call("r0", machine.clock.seconds), idempotency_key="key")
        handling = gevent.spawn(handle_call, machine.ingress, call)
        gevent.sleep(0.01)
        query = FenceQuery(
            request_id="r0", boot_id=machine.ingress.blackboard.own_member.boot_id, age_seconds=0.0
        )
        answer = handle_fence_query(machine.ingress, query)
        outcome = handling.get()
    assert answer.state == FenceState.NEVER_RAN, answer
    assert not sent, "the request reached the target"
    assert outcome.err_value.refusal is Refusal.FENCED, outcome


@contextmanager
def replaced(replacements):
    """Replace attributes of modules, and restore them afterwards."""
    originals = [getattr(module, name) for module, name, _ in replacements]
    for module, name, replacement in replacements:
        setattr(module, name, replacement)
    try:
        yield
    finally:
        for (module, name, _), original in zip(replacements, originals, strict=True):
            setattr(module, name, original)
