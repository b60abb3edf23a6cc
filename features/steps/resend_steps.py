"""Define steps that resend deposits under the same idempotency key."""

import gevent
from behave import then, when

from comfreyhitch.testing.fleet import (
    add_instance,
    count_runs,
    set_relay_faults,
    start_daemon,
    start_target,
    wait_until_joined,
)
from comfreyhitch.testing.processes import (
    kill,
    stop_gracefully,
    wait_for_exit,
)
from features.deposits import find_busy_instance, make_idempotency_key, send_deposit
from features.steps.fleet_steps import get_instance, list_instances


@when("a deposit is sent, and resent through each daemon")
def resend_deposit(context):
    key = make_idempotency_key(context)
    instances = list_instances(context, "payments")
    context.responses = [send_deposit(instances[0], key)]
    context.responses += [send_deposit(item, key) for item in instances]


@then("it ran once, and each resend got the first response")
def check_resends(context):
    assert count_runs(context.fleet)[context.key] == 1
    bodies = {response.body for response in context.responses}
    assert len(bodies) == 1, context.responses
    assert all(response.verdict == "ran" for response in context.responses)
    assert all("comfreyhitch-replayed" in response.headers for response in context.responses[1:])


@when("a deposit is sent through all daemons at once")
def send_at_once(context):
    key = make_idempotency_key(context)
    senders = [
        gevent.spawn(send_deposit, item, key)
        for item in list_instances(context, "payments")
        for _ in range(3)
    ]
    gevent.joinall(senders, raise_error=True)
    context.responses = [sender.value for sender in senders]


@then(
    "it ran at most once, each caller got verdict ran or not-run, "
    "and some got ran if and only if it ran"
)
def check_simultaneous(context):
    runs = count_runs(context.fleet)[context.key]
    verdicts = [response.verdict for response in context.responses]
    assert runs <= 1, runs
    assert set(verdicts) <= {"ran", "not-run"}, context.responses
    assert ("ran" in verdicts) == (runs == 1), (runs, verdicts)


@when("a key is reused with another body")
def reuse_key(context):
    instance = get_instance(context, "payments")
    key = make_idempotency_key(context)
    send_deposit(instance, key)
    context.response = send_deposit(instance, key, body=b"another")


@then("it is refused with 422 and verdict not-run")
def check_key_mismatch(context):
    assert (context.response.status, context.response.verdict) == (422, "not-run"), context.response


@when("a deposit is sent and its target is killed while it runs")
def kill_target_while_running(context):
    sender = gevent.spawn(
        send_deposit, get_instance(context, "payments"), make_idempotency_key(context)
    )
    kill(find_busy_instance(context).target)
    context.response = sender.get()


@when("a deposit is sent through shop and the daemon of its target is killed while it runs")
def kill_daemon_while_running(context):
    sender = gevent.spawn(
        send_deposit, get_instance(context, "shop"), make_idempotency_key(context)
    )
    busy = find_busy_instance(context)
    kill(busy.daemon)
    context.fleet.instances_by_name.pop(busy.name)
    context.response = sender.get()
    kill(busy.target)


@then("the caller gets verdict may-have-run")
def check_may_have_run(context):
    assert context.response.verdict == "may-have-run", context.response


@then("each resend through any daemon gets verdict may-have-run, and the deposit ran once")
def check_resends_may_have_run(context):
    for instance in context.fleet.instances_by_name.values():
        response = send_deposit(instance, context.key)
        assert response.verdict == "may-have-run", (instance.name, response)
    assert count_runs(context.fleet)[context.key] == 1


@when("a deposit is sent through shop and all connections go silent while it runs")
def silence_while_running(context):
    sender = gevent.spawn(
        send_deposit, get_instance(context, "shop"), make_idempotency_key(context), None, 8000
    )
    find_busy_instance(context)
    for instance in list_instances(context, "payments"):
        set_relay_faults(instance, silence=True)
    with gevent.Timeout(5.0):
        context.response = sender.get()


@then("the caller gets the target's response within 5 seconds, and the deposit ran once")
def check_silence(context):
    assert context.response.verdict == "ran", context.response
    assert count_runs(context.fleet)[context.key] == 1


@when("30 deposits are sent, a registrar restarts, another leaves, and a target joins")
def change_membership(context):
    context.keys = [make_idempotency_key(context) for _ in range(30)]
    entry_instance, context.resend_entry_instance = list_instances(context, "shop")
    for key in context.keys:
        response = send_deposit(entry_instance, key)
        assert response.verdict == "ran", response
    restarted, leaving, _ = list_instances(context, "payments")
    kill(restarted.daemon)
    start_daemon(context.fleet, restarted)
    wait_until_joined(context.fleet)
    stop_gracefully(leaving.daemon)
    wait_for_exit(leaving.daemon, 15.0)
    joining = add_instance(context.fleet, "payments", "zd")
    start_daemon(context.fleet, joining)
    start_target(context.fleet, joining)
    wait_until_joined(context.fleet)


@when("the same deposits are resent through another daemon")
def resend_deposits(context):
    for key in context.keys:
        response = send_deposit(context.resend_entry_instance, key)
        assert response.verdict in ("ran", "may-have-run", "not-run"), response


@then("each of them ran once")
def check_each_ran_once(context):
    runs = count_runs(context.fleet)
    assert all(runs[key] == 1 for key in context.keys), {key: runs[key] for key in context.keys}
