"""Test requests that are slow, or usually take long, while the daemon of their callers stops."""

import time

import gevent
from behave import given, then, when

from comfreyhitch.testing.fleet import set_faults
from comfreyhitch.testing.http_requests import request
from comfreyhitch.testing.processes import stop_gracefully
from features.steps.fleet_steps import get_instance, list_instances

HEADERS = {"Comfreyhitch-Service": "catalogue"}
SLOW_FACTOR = 20.0
SLOW_SECONDS = 30.0
# Time until requests that were sent together have reached their targets.
SEND_SECONDS = 0.2
# A refusal that comes later than this has waited for something.
AT_ONCE_SECONDS = 0.3


@given("catalogue has answered {count:d} requests of shop, sent one after the other")
def send_in_turn(context, count):
    shop = get_instance(context, "shop")
    for _ in range(count):
        assert request(shop.host, "/", headers=HEADERS).status == 200


@when("one target of catalogue is slow, and {count:d} GETs are at work as shop is asked to stop")
def stop_with_slow_target(context, count):
    set_faults(
        list_instances(context, "catalogue")[0],
        slow_seconds=SLOW_SECONDS,
        slow_factor=SLOW_FACTOR,
    )
    shop = get_instance(context, "shop")
    context.senders = [gevent.spawn(request, shop.host, "/", headers=HEADERS) for _ in range(count)]
    gevent.sleep(SEND_SECONDS)
    context.stopped_at = time.monotonic()
    stop_gracefully(shop.daemon)


@then("each of these GETs is answered by a target")
def check_all_answered(context):
    gevent.joinall(context.senders, raise_error=True)
    answers = [(sender.value.status, sender.value.verdict) for sender in context.senders]
    assert answers == [(200, "ran")] * len(answers), answers


@when("shop is asked to stop, and {seconds:g} s later a GET is sent to it")
def send_during_stop(context, seconds):
    shop = get_instance(context, "shop")
    context.stopped_at = time.monotonic()
    stop_gracefully(shop.daemon)
    gevent.sleep(seconds)
    started_at = time.monotonic()
    context.response = request(shop.host, "/", headers=HEADERS)
    context.response_seconds = time.monotonic() - started_at


@then("the GET is refused at once as not run")
def check_refused(context):
    response = context.response
    assert (response.status, response.verdict) == (503, "not-run"), response
    assert context.response_seconds < AT_ONCE_SECONDS, context.response_seconds


@then("the GET is answered by a target")
def check_answered(context):
    assert (context.response.status, context.response.verdict) == (200, "ran"), context.response
