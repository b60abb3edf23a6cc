"""Test usage reports of running daemons, and the settings that ask for them."""

import json
import os
import subprocess
import sys
import time
from collections import Counter
from unittest.mock import patch

import gevent
from behave import given, then, when
from result import Err, Ok

from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.conf.models import Settings
from comfreyhitch.conf.validation import make_settings
from comfreyhitch.core.clock import Clock
from comfreyhitch.core.verdicts import Failure, Refusal, Response, Verdict
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.usage import make_usage_service
from comfreyhitch.ingress.execution import send_to_target
from comfreyhitch.ingress.models import IncomingCall
from comfreyhitch.platform import settings as platform_settings
from comfreyhitch.testing.fleet import (
    PLATFORM_PORT,
    call_service,
    get_admin,
    set_platform_faults,
    start_fleet,
)
from comfreyhitch.testing.http_requests import request
from comfreyhitch.testing.processes import is_running, kill, resume, suspend, wait_until
from comfreyhitch.usage.counts import UsageTable
from comfreyhitch.usage.models import DutyTerms
from comfreyhitch.usage.recorder import UsageRecorder
from comfreyhitch.wire.generated.ttypes import CallRequest
from features.steps.fleet_steps import make_fleet
from features.steps.request_life_steps import CallHandlerMachine
from features.steps.usage_property_steps import assert_nothing_forbidden
from features.usage_emulation import Call

WINDOW_SECONDS = 2.0
LEASE_SECONDS = 1.0
LATE_SECONDS = 7.0
ACCOUNTS = ("pulo780", "kabo51")
# A daemon that is killed takes the counts of about its last second along.
LOST_SECONDS = 1.5
PLATFORM_VALUES = {
    "Node": "sidecar-za-1",
    "Zone": "za",
    "Region": "r",
    "Listen.Outbound": "127.0.0.1:8304",
    "AppAddr": "127.0.0.1:8301",
    "PortRange": "7620,7635",
    "Service": "shop",
    "Platform.Address": "127.0.0.1:7000",
    "Bounds.Grace": "4s",
    "Bounds.BudgetRatio": "0.2",
    "Bounds.BudgetExtra": "60",
    "Bounds.BudgetWindow": "10s",
    "Bounds.ProbesPerS": "60",
}
DUTY_VALUES = {
    "Cloud.Address": "127.0.0.1:7100",
    "Cloud.Duties": "other, usage_report",
    "Cloud.DutyPerS": "40",
    "Bounds.UsageWindow": "4s",
    "Bounds.UsageLate": "9s",
    "Bounds.Lease_time": "2500ms",
}


@then("usage reports are on only if the settings of the platform name an address and the duty")
def check_settings(context):
    for values in (
        {},
        {**DUTY_VALUES, "Cloud.Address": ""},
        {**DUTY_VALUES, "Cloud.Duties": "other"},
    ):
        made = platform_settings.make_settings({**PLATFORM_VALUES, **values}, {})
        assert made.usage_address is None
    made = platform_settings.make_settings({**PLATFORM_VALUES, **DUTY_VALUES}, {})
    assert (made.usage_address, made.node_name) == ("127.0.0.1:7100", "sidecar-za-1")
    seconds = (made.usage_window, made.usage_lease, made.usage_report_limit)
    assert [item.total_seconds() for item in seconds] == [4.0, 2.5, 9.0]
    assert made.usage_call_rate == 40.0
    try:
        values = {**PLATFORM_VALUES, **DUTY_VALUES, "Cloud.Address": "cloud"}
        platform_settings.make_settings(values, {})
        raise AssertionError("an address without a port was taken")
    except SettingsError as error:
        assert "Cloud.Address" in str(error)
    check_daemon_without_reports()


def check_daemon_without_reports():
    """Check that a daemon without the settings counts nothing, and has no part in the duty."""
    daemon = Daemon.from_settings(
        make_settings({"peer_port": 17_620, "platform_url": "http://127.0.0.1:7000"}),
        Clock.from_system(),
    )
    daemon.detector.sock.close()
    assert Settings().usage_address is None
    assert make_usage_service(daemon) is None
    assert daemon.ingress.usage.start("pulo780") is None


OUTCOMES_AND_COUNTS = (
    (Ok(Response(200, "OK")), (1, 0)),
    (Err(Failure(Verdict.MAY_HAVE_RUN, Refusal.TARGET_FAILED)), (1, 0)),
    (Err(Failure(Verdict.NOT_RUN, Refusal.TARGET_REFUSED)), (1, 1)),
)


def is_account(tenant):
    """Return whether requests of a tenant are counted."""
    return tenant != "default"


@then(
    "a request counts for its account when it is sent, and no more if the target proves that it "
    "did not run"
)
def check_ingress_counts(context):
    """Guard against refused requests that are charged, and requests that are charged late."""
    for outcome, count in OUTCOMES_AND_COUNTS:
        ingress = CallHandlerMachine().ingress
        table = UsageTable.from_window(("own", "1"), 6)
        windows = iter((7, 8))
        ingress.usage = UsageRecorder(table, lambda windows=windows: next(windows), is_account)

        def run(connections, request, cancel_socket, before_send, outcome=outcome):
            before_send()
            return outcome

        with patch("comfreyhitch.ingress.execution.call_target", run):
            for tenant in ("pulo780", "default"):
                call = IncomingCall.from_wire(make_call_request(tenant), 0.0, None)
                send_to_target(ingress, call, None)
        assert table.own.counts_by_window == {7: {"pulo780": count}}

    def refuse_connection(connections, request, cancel_socket, before_send):
        return Err(Failure(Verdict.NOT_RUN, Refusal.TARGET_UNREACHABLE))

    ingress = CallHandlerMachine().ingress
    table = UsageTable.from_window(("own", "1"), 6)
    ingress.usage = UsageRecorder(table, lambda: 7, is_account)
    with patch("comfreyhitch.ingress.execution.call_target", refuse_connection):
        send_to_target(ingress, IncomingCall.from_wire(make_call_request("a"), 0.0, None), None)
    assert table.own.counts_by_window == {}


def make_call_request(tenant):
    """Return a call of an account."""
    return CallRequest(
        request_id="r1",
        service_name="payments",
        method="GET",
        path="/",
        headers=[],
        body=b"",
        timeout_seconds=5.0,
        tenant=tenant,
        priority=0,
        idempotent=True,
        fingerprint="f",
        route="/",
        attempt=1,
    )


@given("a running fleet that reports usage")
def start_reporting_fleet(context):
    context.fleet_settings = {
        "usage_window": str(WINDOW_SECONDS),
        "usage_lease": str(LEASE_SECONDS),
        "usage_report_limit": str(LATE_SECONDS),
    }
    make_fleet(context, context.table, has_platform=True)
    fleet = context.fleet
    fleet.settings["usage_address"] = f"{fleet.prefix}.250:{PLATFORM_PORT}"
    for instance in fleet.instances_by_name.values():
        instance.environment["node_name"] = instance.name
    start_fleet(fleet)
    context.interrupted = []


@when("two accounts send requests through all daemons")
def send_requests(context):
    context.ran = Counter()
    context.traffic_began_at = time.time()

    def send(account):
        while True:
            for instance in list(context.fleet.instances_by_name.values()):
                send_one(context, instance, account)
                gevent.sleep(0.02)

    context.senders = [gevent.spawn(send, account) for account in ACCOUNTS]
    context.add_cleanup(lambda: gevent.killall(context.senders))


def send_one(context, instance, account):
    """Send a request through a daemon that runs, and count it if its target ran it."""
    if instance.name in context.interrupted or not is_running(instance.daemon):
        return
    headers = {"Comfreyhitch-Tenant": account}
    try:
        response = call_service(instance, "shop", headers=headers)
    except OSError:
        return
    if response.status == 200:
        context.ran[account] += 1


@then("each window is reported in time")
def check_windows(context):
    began_at = time.time()
    gevent.sleep(2 * WINDOW_SECONDS + LATE_SECONDS)
    reported = {
        json.loads(call["body"])["Window"]: call["at"] for call in reversed(read_calls(context))
    }
    first = int(began_at // WINDOW_SECONDS)
    for window in (first, first + 1):
        ended_at = (window + 1) * WINDOW_SECONDS
        assert window in reported, (window, sorted(reported))
        assert ended_at <= reported[window] <= ended_at + LATE_SECONDS


@when("the platform loses responses, refuses and is down, and the store loses a response")
def disturb_platform(context):
    set_duty_faults(context, duty_lost_answers=2)
    gevent.sleep(WINDOW_SECONDS)
    set_duty_faults(context, duty_calls_per_second=0)
    set_platform_faults(context.fleet, lost_answers=1)
    gevent.sleep(WINDOW_SECONDS)
    set_duty_faults(context, duty_calls_per_second=50, duty_is_down=True)
    gevent.sleep(WINDOW_SECONDS)
    set_duty_faults(context, duty_is_down=False)
    gevent.sleep(WINDOW_SECONDS)


@when("the holder is suspended for {seconds:g} seconds and resumed")
def suspend_holder(context, seconds):
    holder = find_holder(context)
    context.interrupted.append(holder.name)
    suspend(holder.daemon)
    gevent.sleep(seconds)
    resume(holder.daemon)
    gevent.sleep(WINDOW_SECONDS)
    context.interrupted.remove(holder.name)


@when("the holder is killed")
def kill_holder(context):
    holder = find_holder(context)
    context.interrupted.append(holder.name)
    gevent.sleep(LOST_SECONDS)
    kill(holder.daemon)


@then("the platform saw nothing forbidden, and the counts of the requests")
def check_calls(context):
    gevent.killall(context.senders)
    gevent.sleep(WINDOW_SECONDS + LATE_SECONDS)
    calls = [
        Call(
            call["at"],
            call["holder"],
            call["token"],
            json.loads(call["body"])["Window"],
            call["body"],
            is_excused=False,
        )
        for call in read_calls(context)
    ]
    terms = DutyTerms(lease_seconds=LEASE_SECONDS)
    assert_nothing_forbidden(calls, terms)
    total = Counter()
    for body in {call.window: call.body for call in calls}.values():
        total.update(json.loads(body)["Counts"])
    for account in ACCOUNTS:
        ran = context.ran[account]
        assert ran > 0 and abs(total[account] - ran) <= 0.05 * ran, (total, context.ran)


@then("a status names the holder, the token and the last window")
def check_status(context):
    holder = find_holder(context)
    usage = get_admin(holder, "/v1/status")["usage"]
    assert usage["holder"] == holder.name and usage["token"] >= 2
    assert 0 < usage["last_window_age_seconds"] < LATE_SECONDS + WINDOW_SECONDS
    # The command refuses variables of the test run, which name no settings.
    inherited = {
        name: value for name, value in os.environ.items() if not name.startswith("COMFREYHITCH_")
    }
    environment = {
        **inherited,
        "COMFREYHITCH_PLATFORM_URL": context.fleet.platform_url,
        "COMFREYHITCH_USAGE_WINDOW": str(WINDOW_SECONDS),
    }
    command = [sys.executable, "-m", "comfreyhitch", "status", "--usage"]
    line = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=20)
    expected = f"usage: reported by {holder.name} with token {usage['token']}, last window "
    assert line.stdout.startswith(expected), line
    metrics = request(holder.host, "/metrics", port=8082).body.decode()
    assert "comfreyhitch_usage_duty_is_held 1" in metrics


def find_holder(context):
    """Return the instance that holds the duty; wait until there is one."""
    found = []

    def is_found():
        for instance in context.fleet.instances_by_name.values():
            if instance.name in context.interrupted or not is_running(instance.daemon):
                continue
            status = get_admin(instance, "/v1/status")
            if status is not None and status["usage"]["is_holder"]:
                found.append(instance)
        return bool(found)

    wait_until(is_found, 20.0, "a holder of the usage duty")
    return found[-1]


def read_calls(context):
    """Return the calls that the platform has taken."""
    return set_duty_faults(context)


def set_duty_faults(context, **faults):
    """Change the faults of the duty's address, and return its calls."""
    host = f"{context.fleet.prefix}.250"
    body = json.dumps(faults).encode()
    return request(host, "/_standin/usage", method="POST", body=body, port=PLATFORM_PORT).json
