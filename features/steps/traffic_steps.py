"""Define steps that send steady traffic and check its results."""

import time
from random import Random

import gevent
from behave import given, then, when

from comfreyhitch.testing.fleet import (
    get_target_state,
)
from comfreyhitch.testing.traffic import Traffic, run_traffic, select_results, start_traffic
from features.steps.fleet_steps import list_instances

STEADY_CALLERS = 6


def make_traffic(context, service, entry_instances=None, **options):
    """Return traffic that enters through some instances, by default through all."""
    entry_instances = entry_instances or list(context.fleet.instances_by_name.values())
    return Traffic(list(entry_instances), service, Random(context.seed), options)


@given("steady traffic to {service} through {entrance}")
def start_traffic_through(context, service, entrance):
    context.traffic = make_traffic(context, service, list_instances(context, entrance))
    start_traffic(context.traffic, STEADY_CALLERS)


@given("steady traffic to {service}")
def start_steady_traffic(context, service):
    context.traffic = make_traffic(context, service)
    start_traffic(context.traffic, STEADY_CALLERS)
    gevent.sleep(1.0)


@then("every request of the steady traffic ran")
def check_all_ran(context):
    failed = select_results(context.traffic, lambda item: item.verdict != "ran")
    assert not failed, (len(failed), len(context.traffic.results), failed[:5])


@when("{callers:d} callers send requests to {service} for {seconds:g} seconds")
def send_for_seconds(context, callers, service, seconds):
    entry_instances = list_instances(context, "shopfront")
    context.traffic = make_traffic(context, service, entry_instances)
    context.traffic.pause_seconds = 0.0
    run_traffic(context.traffic, callers, seconds)


@when(
    "the daemon beside {entrance} sends about {count:d} requests to {service}, and 4 seconds pass"
)
def send_and_wait(context, entrance, count, service):
    traffic = make_traffic(context, service, list_instances(context, entrance))
    started_at = time.monotonic()
    run_traffic(traffic, 2, count * 0.01)
    gevent.sleep(4.0)
    context.elapsed_seconds = time.monotonic() - started_at


@then(
    "no target of {service} has died or counted an overload, which begins above {factor:g} times "
    "its capacity"
)
def check_no_overload(context, service, factor):
    for instance in list_instances(context, service):
        assert instance.target.poll() is None, f"{instance.name} died"
        state = get_target_state(instance)
        assert state["overloads"] == 0, (instance.name, state)


@then("requests ran, and every other one got verdict not-run")
def check_refusals(context):
    ran = select_results(context.traffic, lambda item: item.verdict == "ran")
    others = select_results(context.traffic, lambda item: item.verdict not in ("ran", "not-run"))
    assert ran
    assert not others, others[:5]


@when("a noisy tenant sends requests with 40 callers, and a quiet one with 1 for 3 seconds")
def send_as_two_tenants(context):
    entry_instances = list_instances(context, "shopfront")
    noisy = make_traffic(
        context, "catalogue", entry_instances, headers={"Comfreyhitch-Tenant": "noisy"}
    )
    context.quiet_traffic = make_traffic(
        context, "catalogue", entry_instances, headers={"Comfreyhitch-Tenant": "quiet"}
    )
    noisy.pause_seconds = 0.0
    start_traffic(noisy, 40)
    gevent.sleep(1.0)
    run_traffic(context.quiet_traffic, 1, 3.0)
    noisy.pause_seconds = -1.0
    gevent.joinall(noisy.callers)


@then("at least 9 in 10 requests of the quiet tenant ran")
def check_quiet_tenant(context):
    results = context.quiet_traffic.results
    ran = [item for item in results if item.verdict == "ran"]
    assert len(ran) >= 0.9 * len(results) > 0, (len(ran), len(results))
