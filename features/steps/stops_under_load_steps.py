"""Define steps that stop daemons while callers of several kinds send requests."""

from behave import then, when

from comfreyhitch.testing.stops.records import CallerKind
from comfreyhitch.testing.stops.report import describe_run
from comfreyhitch.testing.stops.runner import run_stops

RATE_PER_SECOND = 450.0
GRACE_SECONDS = 3.0


@when("daemons are stopped {count:d} times under the load of {kinds} callers")
def stop_daemons(context, count, kinds):
    context.kinds = {CallerKind(kind) for kind in kinds.replace(" and ", ", ").split(", ")}
    context.stop_run = run_stops(
        context.seed,
        count,
        context.folder,
        rate=RATE_PER_SECOND,
        grace_seconds=GRACE_SECONDS,
        kinds=sorted(context.kinds),
    )
    context.stop_count = count


@then("requests waited for targets, and others were sent during stops")
def check_load(context):
    run = context.stop_run
    assert len(run.stops) == context.stop_count, run.stops
    assert all(stop.exit_code == 0 for stop in run.stops), run.stops
    assert {item.kind for item in run.load.exchanges} == context.kinds
    late = [
        item
        for item in run.load.exchanges
        for started_at in run.run_times.get(item.request_id, [])[:1]
        if started_at - item.last_sent_at > item.work_seconds / 2
    ]
    assert late, "no request waited for a target"
    during = [
        item
        for item in run.load.exchanges
        for stop in run.stops
        if stop.instance == item.instance
        and stop.terminated_at <= item.first_sent_at <= stop.exited_at
    ]
    assert len(during) > len(run.stops), len(during)


@then("no request was left without an end")
def check_all_ended(context):
    assert not context.stop_run.findings.unended, describe_run(context.stop_run)
