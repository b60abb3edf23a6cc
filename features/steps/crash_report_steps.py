"""Test when the reports of crashed targets quarantine a request."""

import os

from behave import given, then, when

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.blackboard import is_quarantined
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.replication.facts import merge_facts
from features.fakes import FakeClock

FINGERPRINT = "f1"


def make_daemon(context, number):
    """Return a daemon whose servers and controllers are not started."""
    settings = Settings(host=f"127.{os.getpid() % 250 + 1}.9.{number}")
    daemon = Daemon.from_settings(settings, context.fake_clock.make_clock())
    context.add_cleanup(daemon.detector.sock.close)
    return daemon


@given("two daemons that report the crashes of their targets to each other")
def make_daemons(context):
    context.fake_clock = FakeClock()
    context.daemons = [make_daemon(context, number) for number in (1, 2)]


@when(
    "{copies:d} copies of a request are lost in {crashes:d} crashes of the target of daemon "
    "{number:d}"
)
def crash(context, copies, crashes, number):
    reporter = context.daemons[number - 1]
    for _ in range(crashes):
        context.fake_clock.seconds += 2.0
        for _ in range(copies):
            reporter.ingress.report_crash(FINGERPRINT)
            context.fake_clock.seconds += 0.01
    for daemon in context.daemons:
        merge_facts(daemon.store, list(reporter.store.facts_by_id.values()), is_from_peer=True)


@then("both daemons refuse the request as quarantined")
def check_quarantined(context):
    assert all(is_quarantined(item.blackboard, FINGERPRINT) for item in context.daemons)


@then("no daemon refuses the request as quarantined")
def check_not_quarantined(context):
    assert not any(is_quarantined(item.blackboard, FINGERPRINT) for item in context.daemons)
