"""Steps that check that what was told not-run has not run."""

import itertools
from collections import Counter
from random import Random

import gevent
from behave import then, when
from geventhttpclient.response import HTTPParseError

from comfreyhitch.testing.fleet import (
    call_service,
    count_runs,
    get_admin,
    set_relay_faults,
    start_daemon,
    start_target,
)
from comfreyhitch.testing.processes import (
    kill,
    resume,
    suspend,
)
from features.deposits import make_key, send_deposit
from features.steps.fleet_steps import get_instance, list_instances


@when("{count:d} deposits are sent by {callers:d} callers while targets and daemons fail in turn")
def send_under_failures(context, count, callers):
    context.told = {}
    entrances = list_instances(context, "shop")
    numbers = iter(range(count))

    def run_caller(caller):
        random = Random(context.seed + caller)
        for number in numbers:
            key = f"storm-{number}"
            for _ in range(3):
                try:
                    verdict = send_deposit(random.choice(entrances), key).verdict
                except (OSError, HTTPParseError):
                    verdict = "no answer"
                if context.told.get(key) in (None, "not-run"):
                    context.told[key] = verdict
                if verdict == "ran":
                    break

    senders = [gevent.spawn(run_caller, caller) for caller in range(callers)]
    breaker = gevent.spawn(_fail_in_turn, context)
    gevent.joinall(senders, raise_error=True)
    breaker.kill()
    gevent.sleep(1.0)


def _fail_in_turn(context):
    instances = list_instances(context, "payments")
    for number in itertools.count():
        instance = instances[number % len(instances)]
        fault = number % 4
        if fault == 0:
            kill(instance.target)
            start_target(context.fleet, instance)
        elif fault == 1:
            set_relay_faults(instance, silence=True)
        elif fault == 2:
            suspend(instance.daemon)
            gevent.sleep(0.7)
            resume(instance.daemon)
        else:
            kill(instance.daemon)
            start_daemon(context.fleet, instance)
        gevent.sleep(0.5)


@then("no deposit ran twice, and none that was told not-run has run")
def check_storm(context):
    runs = count_runs(context.fleet)
    twice = [key for key, count in runs.items() if count > 1]
    wrong = [key for key, verdict in context.told.items() if verdict == "not-run" and runs[key]]
    ran = [key for key, verdict in context.told.items() if verdict == "ran"]
    assert not twice, twice
    assert not wrong, wrong
    assert len(ran) > len(context.told) / 2, len(ran)


@when("the slow target of payments is busy and 20 deposits follow")
def send_past_slow_target(context):
    slow = list_instances(context, "payments")[0]
    entrance = get_instance(context, "shop")
    context.keys = [make_key(context) for _ in range(21)]
    first = gevent.spawn(send_deposit, slow, context.keys[0], None, 6000)
    gevent.sleep(0.3)
    context.responses = [send_deposit(entrance, key) for key in context.keys[1:]]
    first.get()
    assert get_admin(slow, "/v1/status")


@then("every deposit ran once, and none took a second")
def check_withdrawn(context):
    runs = count_runs(context.fleet)
    assert all(answer.verdict == "ran" for answer in context.responses), context.responses
    assert all(runs[key] == 1 for key in context.keys), runs


@when("120 idempotent requests with deadlines of 450 ms are sent by 12 callers")
def send_hedged_requests(context):
    shop = get_instance(context, "shop")
    context.told = {}
    numbers = iter(range(120))

    def run_caller():
        for number in numbers:
            run_id = f"put-{number}"
            headers = {"X-Run-Id": run_id, "Comfreyhitch-Timeout-Ms": "450"}
            answer = call_service(shop, "catalogue", "/x", method="PUT", headers=headers)
            context.told[run_id] = answer.verdict

    gevent.joinall([gevent.spawn(run_caller) for _ in range(12)], raise_error=True)


@then("none that was told not-run has run")
def check_none_ran(context):
    gevent.sleep(1.0)
    runs = count_runs(context.fleet)
    told = Counter(context.told.values())
    wrong = [
        run_id for run_id, verdict in context.told.items() if verdict == "not-run" and runs[run_id]
    ]
    assert told["not-run"] > 0, told
    assert told["ran"] > 0, told
    assert not wrong, (wrong, told)


@when("an idempotent request is answered with 503 by the only target")
def send_for_503(context):
    shop = get_instance(context, "shop")
    context.response = call_service(shop, "catalogue", "/status/503", method="PUT")


@then("the caller gets the target's 503 with verdict ran")
def check_503(context):
    assert context.response.status == 503, context.response
    assert context.response.verdict == "ran", context.response
    assert context.response.headers["x-two"], context.response


@when("{count:d} deposits without a key are sent at once")
def send_without_key(context, count):
    shop = get_instance(context, "shop")
    context.keys = [make_key(context) for _ in range(count)]

    def send(run_id):
        headers = {"X-Run-Id": run_id}
        return call_service(shop, "payments", "/deposits", method="POST", headers=headers)

    senders = [gevent.spawn(send, run_id) for run_id in context.keys]
    gevent.joinall(senders, raise_error=True)
    context.responses = [sender.value for sender in senders]


@then("each of them ran once and got its response")
def check_ran_with_response(context):
    runs = count_runs(context.fleet)
    for run_id, answer in zip(context.keys, context.responses, strict=True):
        assert (answer.verdict, runs[run_id]) == ("ran", 1), (run_id, answer, runs[run_id])
