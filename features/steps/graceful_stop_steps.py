"""Steps that stop daemons gracefully while requests are in flight."""

import time

import gevent
from behave import then, when

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
