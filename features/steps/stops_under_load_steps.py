"""Define steps that stop daemons while callers of several kinds send requests."""

from dataclasses import fields

from behave import then, when

from comfreyhitch.testing.stops.checker import Findings, check_exchanges
from comfreyhitch.testing.stops.records import CallerKind, Ending, Exchange, Run, Stop
from comfreyhitch.testing.stops.report import describe_run
from comfreyhitch.testing.stops.runner import run_stops

RATE_PER_SECOND = 450.0
GRACE_SECONDS = 3.0
TERMINATED_AT = 100.0


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
        for first in run.runs_by_id.get(item.request_id, [])[:1]
        if first.started_at - item.last_sent_at > item.work_seconds / 2
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


@then(
    "with a grace period of {grace:g} s and a process that ended {end:g} s after SIGTERM, "
    "these are told apart"
)
def check_findings(context, grace, end):
    stop = Stop("catalogue-1", TERMINATED_AT, TERMINATED_AT + end)
    for row in context.table:
        exchange = make_exchange(row)
        findings = check_exchanges([exchange], make_runs(row), [stop], grace)
        lists = [item.name for item in fields(Findings) if getattr(findings, item.name)]
        assert lists == ([] if row["list"] == "none" else [row["list"]]), (row, lists)


def make_runs(row):
    """Return the runs of the request of a table's row."""
    if not row["run at"]:
        return {}
    started_at = TERMINATED_AT + float(row["run at"])
    return {"id": [Run(started_at, started_at + float(row["work"]))]}


def make_exchange(row):
    """Return the request of a table's row, whose times are in seconds after SIGTERM."""
    sent_at = TERMINATED_AT + float(row["sent"]) if row["sent"] else 0.0
    return Exchange(
        request_id="id",
        instance="catalogue-1",
        kind=CallerKind(row["kind"]),
        is_idempotent=True,
        work_seconds=float(row["work"]),
        limit_seconds=float(row["limit"]),
        is_new_connection=True,
        idle_seconds=0.0,
        connection_opened_at=TERMINATED_AT - 10.0,
        first_sent_at=sent_at or TERMINATED_AT,
        last_sent_at=sent_at,
        ending=Ending.ANSWERED if row["status"] else Ending.CLOSED,
        status=int(row["status"] or 0),
        ended_at=TERMINATED_AT + float(row["ended"]),
    )
