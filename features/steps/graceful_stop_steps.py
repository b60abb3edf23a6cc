"""Steps that stop daemons gracefully while requests are in flight."""

import time

import gevent
from behave import given, then, when

from comfreyhitch.testing.fleet import (
    start_daemon,
    wait_until_joined,
)
from comfreyhitch.testing.http_requests import (
    request,
)
from comfreyhitch.testing.processes import (
    stop_gracefully,
    wait_for_exit,
)
from features.steps.fleet_steps import list_instances


@when("12 requests are in flight and the first daemon of {service} is asked to stop")
def stop_with_requests_in_flight(context, service):
    instances = list_instances(context, service)
    context.responses = []

    def send(number):
        entry_instance = instances[number % len(instances)]
        headers = {"Comfreyhitch-Service": service}
        context.responses.append(request(entry_instance.host, "/", headers=headers))

    senders = [gevent.spawn(send, number) for number in range(12)]
    gevent.sleep(0.2)
    context.stopped_at = time.monotonic()
    stop_gracefully(instances[0].daemon)
    gevent.joinall(senders, raise_error=True)


@then(
    "each of them got verdict ran or not-run, some ran, and the daemon has exited with code 0 "
    "within {seconds:g} seconds"
)
def check_all_responded(context, seconds):
    unexpected = [item for item in context.responses if item.verdict not in ("ran", "not-run")]
    ran = [item for item in context.responses if item.verdict == "ran"]
    assert len(context.responses) == 12
    assert not unexpected, unexpected
    assert ran
    daemon = list_instances(context, "catalogue")[0].daemon
    wait_for_exit(daemon, max(0.1, context.stopped_at + seconds - time.monotonic()))
    assert daemon.returncode == 0, daemon.returncode


@when("each daemon of {service} is stopped and started again in turn")
def restart_in_turn(context, service):
    for instance in list_instances(context, service):
        stop_gracefully(instance.daemon)
        wait_for_exit(instance.daemon, 15.0)
        start_daemon(context.fleet, instance)
        wait_until_joined(context.fleet)


@given("settings drain_timeout {drain:g} and stop_linger {linger:g}")
def set_stop_times(context, drain, linger):
    context.fleet_settings = {"drain_timeout": str(drain), "stop_linger": str(linger)}


@when(
    "a GET runs at catalogue and a GET and a POST wait there, all through shop, whose daemon is "
    "asked to stop"
)
def stop_with_waiting_requests(context):
    shop = list_instances(context, "shop")[0]
    context.responses = []
    senders = []
    for method in ("GET", "GET", "POST"):
        senders.append(gevent.spawn(send_to_catalogue, context, shop, method))
        gevent.sleep(0.3)
    context.stopped_at = time.monotonic()
    stop_gracefully(shop.daemon)
    gevent.joinall(senders, raise_error=True)


def send_to_catalogue(context, instance, method):
    headers = {"Comfreyhitch-Service": "catalogue"}
    response = request(instance.host, "/", method=method, headers=headers)
    context.responses.append((method, response.status, response.verdict))


@then(
    "the GET that runs and the GET that waits get 504 with verdict may-have-run, and the POST "
    "gets 503 with verdict not-run"
)
def check_verdicts(context):
    assert sorted(context.responses) == [
        ("GET", 504, "may-have-run"),
        ("GET", 504, "may-have-run"),
        ("POST", 503, "not-run"),
    ], context.responses


@then("the daemon of {service} has exited with code 0 within {seconds:g} seconds")
def check_exit(context, service, seconds):
    daemon = list_instances(context, service)[0].daemon
    wait_for_exit(daemon, max(0.1, context.stopped_at + seconds - time.monotonic()))
    assert daemon.returncode == 0, daemon.returncode
