"""Define steps that send deposits while targets and daemons are killed."""

import time
from collections import Counter
from random import Random

import gevent
import gevent.socket
from behave import then, when

from comfreyhitch.testing.platform_fleet import (
    read_runs,
    send,
    start_daemon,
    start_target,
)
from comfreyhitch.testing.processes import (
    kill,
)
from features.platform_helpers import NOT_RUN_STATUSES, list_instances, repeat_in_background


@when("deposits are sent for 6 seconds while targets and daemons are killed")
def send_deposits(context):
    random = Random(context.seed)
    fleet = context.platform_fleet
    context.deposits = []

    def deposit(instance):
        try:
            context.deposits.append(
                send(instance, "/payments-once/d", method="POST", body=b"1", deadline_ms=2000)
            )
        except OSError:
            # A connection closed without a response does not tell whether the deposit ran.
            return

    callers = [
        repeat_in_background(context, lambda instance=instance: deposit(instance))
        for instance in list_instances(context, "catalogue")
        for _ in range(3)
    ]
    deadline = time.monotonic() + 6.0
    while time.monotonic() < deadline:
        gevent.sleep(random.uniform(0.3, 0.6))
        instance = random.choice(list_instances(context, "payments"))
        if random.random() < 0.5:
            kill(instance.target)
            gevent.sleep(random.uniform(0.0, 0.3))
            start_target(fleet, instance)
        else:
            kill(instance.daemon)
            start_daemon(fleet, instance)
    gevent.killall(callers)
    gevent.sleep(1.0)


@then("no deposit ran twice, and none that was refused as not run has run")
def check_deposits(context):
    runs = Counter(request_id for request_id, _ in read_runs(context.platform_fleet))
    repeated_ids = [request_id for request_id, count in runs.items() if count > 1]
    assert not repeated_ids, repeated_ids
    statuses = Counter(response.status for _, response in context.deposits)
    assert statuses[200] > 20, statuses
    for request_id, response in context.deposits:
        assert response.status not in NOT_RUN_STATUSES or runs[request_id] == 0, response
