"""Steps for requests that may run only once."""

import itertools
from collections import Counter
from random import Random

import gevent
from behave import then, when
from geventhttpclient.response import HTTPParseError

from comfreyhitch.testing.fleet import (
    add_instance,
    call_service,
    count_runs,
    freeze,
    get_admin,
    get_target_state,
    kill,
    resume,
    set_relay,
    start_daemon,
    start_target,
    stop_gracefully,
    wait_for_end,
    wait_until,
    wait_until_joined,
)
from features.steps.fleet_steps import get_instance, list_instances

DEPOSIT_NUMBERS = itertools.count()
CRASHING_BODY = b"poison"


def send_deposit(instance, key, body=None, timeout_ms=4000):
    """Send a deposit with a key, which is also its run id."""
    headers = {"X-Run-Id": key, "Idempotency-Key": key}
    headers["Comfreyhitch-Timeout-Ms"] = str(timeout_ms)
    content = key.encode() if body is None else body
    return call_service(
        instance, "payments", "/deposits", method="POST", body=content, headers=headers
    )


def make_key(context):
    """Return a key that no other scenario uses."""
    context.key = f"key-{context.seed}-{next(DEPOSIT_NUMBERS)}"
    return context.key


def find_busy(context):
    """Return the payments instance whose target runs a request now, once there is one."""
    found = []

    def is_busy():
        found[:] = [
            item
            for item in list_instances(context, "payments")
            if get_target_state(item)["in_flight"] > 0
        ]
        return bool(found)

    wait_until(is_busy, 5, "a running deposit")
    return found[0]


@when("a deposit is sent, and sent again through each daemon")
def resend_deposit(context):
    key = make_key(context)
    instances = list_instances(context, "payments")
    context.answers = [send_deposit(instances[0], key)]
    context.answers += [send_deposit(item, key) for item in instances]


@then("it ran once, and each resend got the first response")
def check_resends(context):
    assert count_runs(context.fleet)[context.key] == 1
    bodies = {answer.body for answer in context.answers}
    assert len(bodies) == 1, context.answers
    assert all(answer.verdict == "ran" for answer in context.answers)
    assert all("comfreyhitch-replayed" in answer.headers for answer in context.answers[1:])


@when("a deposit is sent through all daemons at once")
def send_at_once(context):
    key = make_key(context)
    senders = [
        gevent.spawn(send_deposit, item, key)
        for item in list_instances(context, "payments")
        for _ in range(3)
    ]
    gevent.joinall(senders, raise_error=True)
    context.answers = [sender.value for sender in senders]


@then("it ran once, and each caller got its response or was told not-run")
def check_simultaneous(context):
    runs = count_runs(context.fleet)[context.key]
    verdicts = [answer.verdict for answer in context.answers]
    assert runs <= 1, runs
    assert set(verdicts) <= {"ran", "not-run"}, context.answers
    assert ("ran" in verdicts) == (runs == 1), (runs, verdicts)


@when("a key is used again for another body")
def reuse_key(context):
    instance = get_instance(context, "payments")
    key = make_key(context)
    send_deposit(instance, key)
    context.answer = send_deposit(instance, key, body=b"another")


@then("it is refused with 422 and verdict not-run")
def check_mismatch(context):
    assert (context.answer.status, context.answer.verdict) == (422, "not-run"), context.answer


@when("a deposit is sent and its target is killed while it runs")
def kill_target_while_running(context):
    sender = gevent.spawn(send_deposit, get_instance(context, "payments"), make_key(context))
    kill(find_busy(context).target)
    context.answer = sender.get()


@when("a deposit is sent through shop and the daemon of its target is killed while it runs")
def kill_daemon_while_running(context):
    sender = gevent.spawn(send_deposit, get_instance(context, "shop"), make_key(context))
    busy = find_busy(context)
    kill(busy.daemon)
    context.fleet.instances_by_name.pop(busy.name)
    context.answer = sender.get()
    kill(busy.target)


@then("the caller is told may-have-run")
def check_may_have_run(context):
    assert context.answer.verdict == "may-have-run", context.answer


@then("each resend of it through any daemon is told may-have-run, and it ran once")
def check_resends_may_have_run(context):
    for instance in context.fleet.instances_by_name.values():
        answer = send_deposit(instance, context.key)
        assert answer.verdict == "may-have-run", (instance.name, answer)
    assert count_runs(context.fleet)[context.key] == 1


@when("a deposit is sent through shop and all connections go silent while it runs")
def silence_while_running(context):
    sender = gevent.spawn(
        send_deposit, get_instance(context, "shop"), make_key(context), None, 8000
    )
    find_busy(context)
    for instance in list_instances(context, "payments"):
        set_relay(instance, silence=True)
    with gevent.Timeout(5.0):
        context.answer = sender.get()


@then("the caller gets the target's response within 5 seconds, and it ran once")
def check_silence(context):
    assert context.answer.verdict == "ran", context.answer
    assert count_runs(context.fleet)[context.key] == 1


@when("30 deposits are sent, a registrar restarts, another leaves, and a target joins")
def change_membership(context):
    context.keys = [make_key(context) for _ in range(30)]
    entrance, context.other = list_instances(context, "shop")
    for key in context.keys:
        answer = send_deposit(entrance, key)
        assert answer.verdict == "ran", answer
    restarted, leaving, _ = list_instances(context, "payments")
    kill(restarted.daemon)
    start_daemon(context.fleet, restarted)
    wait_until_joined(context.fleet)
    stop_gracefully(leaving.daemon)
    wait_for_end(leaving.daemon, 15.0)
    joining = add_instance(context.fleet, "payments", "zd")
    start_daemon(context.fleet, joining)
    start_target(context.fleet, joining)
    wait_until_joined(context.fleet)


@when("the same deposits are sent again through another daemon")
def resend_deposits(context):
    for key in context.keys:
        answer = send_deposit(context.other, key)
        assert answer.verdict in ("ran", "may-have-run", "not-run"), answer


@then("each of them ran once")
def check_each_ran_once(context):
    runs = count_runs(context.fleet)
    assert all(runs[key] == 1 for key in context.keys), {key: runs[key] for key in context.keys}


@when("an idempotent request that crashes its targets is sent 6 times through both daemons of shop")
def send_crashing_requests(context):
    entrances = list_instances(context, "shop")
    context.answers = []
    for number in range(6):
        entrance = entrances[number % 2]
        answer = call_service(
            entrance, "catalogue", "/x", method="PUT", body=CRASHING_BODY, timeout_seconds=15
        )
        context.answers.append(answer)


@then("{count:d} targets of catalogue have died, and the request is refused as quarantined")
def check_quarantine(context, count):
    died = [
        item.name for item in list_instances(context, "catalogue") if item.target.poll() is not None
    ]
    assert len(died) == count, (died, context.answers)
    assert context.answers[-1].refusal == "quarantined", context.answers


@then("other requests to catalogue still run")
def check_others_run(context):
    answer = call_service(get_instance(context, "shop"), "catalogue", "/y")
    assert answer.status == 200, answer


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
            set_relay(instance, silence=True)
        elif fault == 2:
            freeze(instance.daemon)
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
    context.answers = [send_deposit(entrance, key) for key in context.keys[1:]]
    first.get()
    assert get_admin(slow, "/v1/status")


@then("every deposit ran once, and none took a second")
def check_withdrawn(context):
    runs = count_runs(context.fleet)
    assert all(answer.verdict == "ran" for answer in context.answers), context.answers
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
    context.answer = call_service(shop, "catalogue", "/status/503", method="PUT")


@then("the caller gets the target's 503 with verdict ran")
def check_503(context):
    assert context.answer.status == 503, context.answer
    assert context.answer.verdict == "ran", context.answer
    assert context.answer.headers["x-two"], context.answer


@when("{count:d} deposits without a key are sent at once")
def send_without_key(context, count):
    shop = get_instance(context, "shop")
    context.keys = [make_key(context) for _ in range(count)]

    def send(run_id):
        headers = {"X-Run-Id": run_id}
        return call_service(shop, "payments", "/deposits", method="POST", headers=headers)

    senders = [gevent.spawn(send, run_id) for run_id in context.keys]
    gevent.joinall(senders, raise_error=True)
    context.answers = [sender.value for sender in senders]


@then("each of them ran once and got its response")
def check_ran_with_response(context):
    runs = count_runs(context.fleet)
    for run_id, answer in zip(context.keys, context.answers, strict=True):
        assert (answer.verdict, runs[run_id]) == ("ran", 1), (run_id, answer, runs[run_id])
