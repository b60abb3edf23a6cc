"""Test a daemon that stops while the registrars of its claims do not answer."""

import time

import gevent
from behave import given, then, when

from comfreyhitch.testing.http_requests import request
from comfreyhitch.testing.processes import resume, stop_gracefully, suspend, wait_for_exit
from features.steps.fleet_steps import get_instance, list_instances


@given("{count:d} requests with keys have run at stock, sent through shop")
def run_keyed_requests(context, count):
    shop = get_instance(context, "shop")
    for number in range(count):
        headers = {"Comfreyhitch-Service": "stock", "Idempotency-Key": f"k{number}"}
        response = request(shop.host, "/", method="POST", headers=headers)
        assert response.status == 200, response


@when(
    "a GET is at work at catalogue, shop is asked to stop, and {count:d} stock daemons stand still "
    "from {seconds:g} s on"
)
def stop_with_slow_registrars(context, count, seconds):
    shop = get_instance(context, "shop")
    slow = [item.daemon for item in list_instances(context, "stock")[:count]]
    context.results = {}

    def send():
        try:
            response = request(shop.host, "/", headers={"Comfreyhitch-Service": "catalogue"})
            context.results["status"] = response.status
        except Exception as error:
            context.results["error"] = repr(error)
        context.results["answered_s"] = round(time.monotonic() - context.stopped_at, 3)

    sender = gevent.spawn(send)
    gevent.sleep(0.2)
    context.stopped_at = time.monotonic()
    stop_gracefully(shop.daemon)
    gevent.sleep(seconds)
    try:
        for process in slow:
            suspend(process)
        wait_for_exit(shop.daemon, 12.0)
        context.results["ended_s"] = round(time.monotonic() - context.stopped_at, 3)
        sender.join(5.0)
    finally:
        for process in slow:
            resume(process)


@then("the GET is answered within {answer:g} s of the signal, and shop has ended within {end:g} s")
def check_times(context, answer, end):
    results = context.results
    assert results["answered_s"] <= answer and results["ended_s"] <= end, results
