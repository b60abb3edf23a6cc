"""Test what a daemon that stops decides about requests; times are seconds after its signal."""

from behave import given, then
from result import Err

from comfreyhitch.core.verdicts import Failure, Refusal, Verdict
from comfreyhitch.egress.retries import (
    MAX_SLOW_REFUSALS,
    PACE_WAIT_SHARE,
    RequestProgress,
    allow_slow_targets,
    count_delivered_attempts,
    get_pace_wait_seconds,
    make_final_outcome,
    record_attempt,
)
from comfreyhitch.egress.state import record_latency
from comfreyhitch.egress.stopping import StopPlan, find_hedge_time, find_stop_refusal
from features.fakes import FakeClock
from features.steps.retry_budget_steps import make_call, make_egress

SEND_SECONDS = 0.6
OBJECTIVE_SECONDS = 2.0
REFUSALS = 2 * MAX_SLOW_REFUSALS


def read_seconds(text):
    """Return the seconds in a cell of a table, or None if they are not known."""
    return None if text in ("unknown", "never") else float(text)


@then("in a stop that answers until {until:g} s, a request is sent once more at these times")
def check_hedge_times(context, until):
    plan = StopPlan(serves_until=2.7, answers_until=until, ends_at=until + SEND_SECONDS)
    for row in context.table:
        found = find_hedge_time(plan, float(row["sent"]), read_seconds(row["usual latency"]))
        expected = read_seconds(row["sent once more"])
        assert found == expected or abs(found - expected) < 1e-9, (row, found)


@then(
    "in a stop that serves until {serves:g} s and answers until {until:g} s, these requests are "
    "taken"
)
def check_taken(context, serves, until):
    plan = StopPlan(serves_until=serves, answers_until=until, ends_at=until + SEND_SECONDS)
    for row in context.table:
        usual_seconds = read_seconds(row["usual latency"])
        found = find_stop_refusal(plan, float(row["deadline"]), float(row["sent"]), usual_seconds)
        assert (found is None) is (row["taken"] == "yes"), (row, found)
        assert found is None or found.verdict is Verdict.NOT_RUN


@given("a daemon that stops at {until:g} s, for whose route {usual:g} s is the usual latency")
def make_stopping_egress(context, until, usual):
    context.clock = FakeClock()
    context.egress = make_egress(context.clock.make_clock())
    record_latency(context.egress, make_call(3), usual)
    now = context.egress.blackboard.clock.monotonic()
    context.started_at = now
    context.egress.stop_plan = StopPlan(now + 2.7, now + until, now + until + SEND_SECONDS)


def make_refused_progress(context, deadline):
    """Return the progress of a request that targets have refused as slow."""
    call = make_call(3)
    call.latency_objective_seconds = OBJECTIVE_SECONDS
    call.deadline = context.started_at + deadline
    progress = RequestProgress(call)
    refuse_as_slow(progress, REFUSALS)
    return progress


def refuse_as_slow(progress, count):
    """Record attempts that targets have refused as slow."""
    for number in range(count):
        address = f"127.0.0.{number + 2}:8081"
        progress.attempts += 1
        progress.tried_addresses.add(address)
        failure = Failure(Verdict.NOT_RUN, Refusal.TARGET_SLOW, "")
        record_attempt(progress, address, Err(failure))


@then(
    "a request with a deadline of {deadline:g} s waits for the usual pace however often targets "
    "refuse"
)
def check_waits(context, deadline):
    context.progress = make_refused_progress(context, deadline)
    wait_seconds = get_pace_wait_seconds(context.egress, context.progress)
    assert wait_seconds == PACE_WAIT_SHARE * OBJECTIVE_SECONDS, wait_seconds


@then("it may try slow targets again until {until:g} s, and is refused as not run then")
def check_tries_again(context, until):
    context.clock.seconds += until - 0.01
    assert allow_slow_targets(context.egress, context.progress)
    assert not context.progress.tried_addresses
    assert get_pace_wait_seconds(context.egress, context.progress) is not None
    refuse_as_slow(context.progress, 1)
    context.clock.seconds += 0.02
    assert not allow_slow_targets(context.egress, context.progress)
    failure = make_final_outcome(context.progress).err_value
    assert (failure.status, failure.verdict) == (503, Verdict.NOT_RUN), failure


@then("a request with a deadline of {deadline:g} s runs on a slow target after {count:d} refusals")
def check_runs_on_slow_target(context, deadline, count):
    assert count == MAX_SLOW_REFUSALS
    progress = make_refused_progress(context, deadline)
    assert allow_slow_targets(context.egress, progress)
    assert get_pace_wait_seconds(context.egress, progress) is None


@then(
    "of {attempts:d} attempts of which {refused:d} were refused as slow, {delivered:d} counts as "
    "delivered"
)
def check_delivered(context, attempts, refused, delivered):
    progress = RequestProgress(make_call(attempts))
    refuse_as_slow(progress, refused)
    progress.attempts += attempts - refused
    assert count_delivered_attempts(progress) == delivered
