"""Define steps that stop daemons while callers of several kinds send requests."""

from collections import Counter
from dataclasses import fields

from behave import then, when

from comfreyhitch.testing.stops.checker import Findings, check_exchanges
from comfreyhitch.testing.stops.records import (
    CallerKind,
    Ending,
    Exchange,
    Run,
    SentSignal,
    Stop,
)
from comfreyhitch.testing.stops.report import describe_run, list_bad_stops
from comfreyhitch.testing.stops.runner import run_stops

RATE_PER_SECOND = 450.0
GRACE_SECONDS = 3.0
TERMINATED_AT = 100.0


@when("daemons are stopped {count:d} times under the load of {kinds} callers")
def stop_daemons(context, count, kinds):
    run_with_kinds(context, count, kinds, grace_seconds=GRACE_SECONDS)


@when(
    "daemons are stopped {count:d} times by series of signals within {grace:g} s "
    "under the load of {kinds} callers"
)
def stop_daemons_by_series(context, count, grace, kinds):
    run_with_kinds(context, count, kinds, grace_seconds=grace, has_series=True)


def run_with_kinds(context, count, kinds, **arguments):
    """Run stops under callers of the kinds that a step names."""
    context.kinds = {CallerKind(kind) for kind in kinds.replace(" and ", ", ").split(", ")}
    context.stop_run = run_stops(
        context.seed,
        count,
        context.folder,
        rate=RATE_PER_SECOND,
        kinds=sorted(context.kinds),
        **arguments,
    )
    context.stop_count = count


@then(
    "processes got several signals, and each ended by itself within the grace period of its "
    "first one"
)
def check_series(context):
    run = context.stop_run
    names = Counter(item.name for stop in run.stops for item in stop.signals)
    assert any(len(stop.signals) > 2 for stop in run.stops), run.stops
    assert set(names) == {"SIGTERM", "SIGINT", "SIGHUP"}, names
    assert not list_bad_stops(run), describe_run(run)


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
    check_lists(context, grace, Stop("catalogue-1", TERMINATED_AT, TERMINATED_AT + end))


@then(
    "with a grace period of {grace:g} s and a process that got SIGTERM again after {again:g} s "
    "and ended {end:g} s after the first, these are told apart"
)
def check_findings_of_series(context, grace, again, end):
    # A SIGHUP later than the last SIGTERM changes nothing.
    times = [("SIGTERM", 0.0), ("SIGTERM", again), ("SIGHUP", again + 1.0)]
    signals = [SentSignal(name, TERMINATED_AT + at) for name, at in times]
    stop = Stop("catalogue-1", TERMINATED_AT, TERMINATED_AT + end, signals=signals)
    check_lists(context, grace, stop)


def check_lists(context, grace, stop):
    """Check that each request of the table is in the list that its row names."""
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
