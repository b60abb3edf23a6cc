"""Steps that check that a request with the verdict not-run did not run."""

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
from features.deposits import make_idempotency_key, send_deposit
from features.steps.fleet_steps import get_instance, list_instances


@when("{count:d} deposits are sent by {callers:d} callers while targets and daemons fail in turn")
def send_under_faults(context, count, callers):
    context.verdicts_by_run_id = {}
    entry_instances = list_instances(context, "shop")
    numbers = iter(range(count))

    def run_caller(caller):
        random = Random(context.seed + caller)
        for number in numbers:
            key = f"storm-{number}"
            for _ in range(3):
                try:
                    verdict = send_deposit(random.choice(entry_instances), key).verdict
                except (OSError, HTTPParseError):
                    verdict = "no response"
                if context.verdicts_by_run_id.get(key) in (None, "not-run"):
                    context.verdicts_by_run_id[key] = verdict
                if verdict == "ran":
                    break

    senders = [gevent.spawn(run_caller, caller) for caller in range(callers)]
    fault_injector = gevent.spawn(_inject_faults_in_turn, context)
    gevent.joinall(senders, raise_error=True)
    fault_injector.kill()
    gevent.sleep(1.0)


def _inject_faults_in_turn(context):
    instances = list_instances(context, "payments")
    for number in itertools.count():
        instance = instances[number % len(instances)]
        fault_kind = number % 4
        if fault_kind == 0:
            kill(instance.target)
            start_target(context.fleet, instance)
        elif fault_kind == 1:
            set_relay_faults(instance, silence=True)
        elif fault_kind == 2:
            suspend(instance.daemon)
            gevent.sleep(0.7)
            resume(instance.daemon)
        else:
            kill(instance.daemon)
            start_daemon(context.fleet, instance)
        gevent.sleep(0.5)


@then("no deposit ran twice, none that was reported as not-run has run, and most got verdict ran")
def check_deposit_verdicts(context):
    runs = count_runs(context.fleet)
    ran_twice = [key for key, count in runs.items() if count > 1]
    ran_despite_not_run = [
        key
        for key, verdict in context.verdicts_by_run_id.items()
        if verdict == "not-run" and runs[key]
    ]
    ran = [key for key, verdict in context.verdicts_by_run_id.items() if verdict == "ran"]
    assert not ran_twice, ran_twice
    assert not ran_despite_not_run, ran_despite_not_run
    assert len(ran) > len(context.verdicts_by_run_id) / 2, len(ran)


@when("the slow target of payments is busy and 20 deposits follow")
def send_past_slow_target(context):
    # Guards against a deposit that waits in the queue of the busy target, is withdrawn and runs
    # elsewhere, but then runs at the busy target as well.
    slow_instance = list_instances(context, "payments")[0]
    entry_instance = get_instance(context, "shop")
    context.keys = [make_idempotency_key(context) for _ in range(21)]
    first = gevent.spawn(send_deposit, slow_instance, context.keys[0], None, 6000)
    gevent.sleep(0.3)
    context.responses = [send_deposit(entry_instance, key) for key in context.keys[1:]]
    first.get()
    assert get_admin(slow_instance, "/v1/status")


@then("each of the 20 deposits got verdict ran, and every deposit ran exactly once")
def check_withdrawn_deposits(context):
    runs = count_runs(context.fleet)
    assert all(response.verdict == "ran" for response in context.responses), context.responses
    assert all(runs[key] == 1 for key in context.keys), runs


@when("120 idempotent requests with deadlines of 450 ms are sent by 12 callers")
def send_hedged_requests(context):
    # Guards against a verdict that follows a refused retry or hedge only: the request is reported
    # as not run although another attempt, still unanswered, may have run.
    shop = get_instance(context, "shop")
    context.verdicts_by_run_id = {}
    numbers = iter(range(120))

    def run_caller():
        for number in numbers:
            run_id = f"put-{number}"
            headers = {"X-Run-Id": run_id, "Comfreyhitch-Timeout-Ms": "450"}
            response = call_service(shop, "catalogue", "/x", method="PUT", headers=headers)
            context.verdicts_by_run_id[run_id] = response.verdict

    gevent.joinall([gevent.spawn(run_caller) for _ in range(12)], raise_error=True)


@then("no request that was reported as not-run has run")
def check_not_run_verdicts(context):
    gevent.sleep(1.0)
    runs = count_runs(context.fleet)
    count_by_verdict = Counter(context.verdicts_by_run_id.values())
    ran_despite_not_run = [
        run_id
        for run_id, verdict in context.verdicts_by_run_id.items()
        if verdict == "not-run" and runs[run_id]
    ]
    assert count_by_verdict["not-run"] > 0, count_by_verdict
    assert count_by_verdict["ran"] > 0, count_by_verdict
    assert not ran_despite_not_run, (ran_despite_not_run, count_by_verdict)


@when("the only target responds with 503 to an idempotent request")
def send_request_for_503(context):
    # Guards against a refused retry that hides the target's response: the caller would be told
    # not-run although the request has run.
    shop = get_instance(context, "shop")
    context.response = call_service(shop, "catalogue", "/status/503", method="PUT")


@then("the caller gets the target's 503 with verdict ran")
def check_target_response(context):
    assert context.response.status == 503, context.response
    assert context.response.verdict == "ran", context.response
    assert context.response.headers["x-two"], context.response


@when("{count:d} deposits without a key are sent at once")
def send_deposits_without_key(context, count):
    # Guards against a fence query that reports a running deposit as never run, so that it is
    # retried and runs twice.
    shop = get_instance(context, "shop")
    context.keys = [make_idempotency_key(context) for _ in range(count)]

    def send(run_id):
        headers = {"X-Run-Id": run_id}
        return call_service(shop, "payments", "/deposits", method="POST", headers=headers)

    senders = [gevent.spawn(send, run_id) for run_id in context.keys]
    gevent.joinall(senders, raise_error=True)
    context.responses = [sender.value for sender in senders]


@then("each of them got verdict ran, and ran exactly once")
def check_each_ran_once(context):
    runs = count_runs(context.fleet)
    for run_id, response in zip(context.keys, context.responses, strict=True):
        assert (response.verdict, runs[run_id]) == ("ran", 1), (run_id, response, runs[run_id])
