"""Define steps that take zones out, bring them back, and kill them."""

import time

import gevent
from behave import then, when

from comfreyhitch.testing.fleet import (
    call_service,
    get_admin,
    set_platform_faults,
    start_daemon,
    wait_until_joined,
)
from comfreyhitch.testing.processes import (
    kill,
    resume,
    stop_gracefully,
    suspend,
    wait_for_exit,
    wait_until,
)
from features.fleet_helpers import count_requests, list_instances_in_zone, set_zone_state

OBSERVATION_SECONDS = 2.0


@when("the section zones says that {zone} is {state}")
def edit_zone(context, zone, state):
    set_zone_state(context, zone, state)


@then("zone {zone} gets no new work after {seconds:g} seconds")
def check_no_new_work(context, zone, seconds):
    gevent.sleep(seconds)
    before = count_requests(list_instances_in_zone(context, zone))
    gevent.sleep(OBSERVATION_SECONDS)
    after = count_requests(list_instances_in_zone(context, zone))
    assert after == before, (before, after)


@then("zone {zone} gets new work within {seconds:g} seconds")
def check_new_work(context, zone, seconds):
    before = count_requests(list_instances_in_zone(context, zone))
    wait_until(
        lambda: count_requests(list_instances_in_zone(context, zone)) > before, seconds, zone
    )


@when("the platform goes down and a daemon of {zone} restarts")
def restart_daemon_without_platform(context, zone):
    set_platform_faults(context.fleet, is_down=True)
    instance = list_instances_in_zone(context, zone)[0]
    context.traffic.entry_instances.remove(instance)
    stop_gracefully(instance.daemon)
    wait_for_exit(instance.daemon, 15.0)
    start_daemon(context.fleet, instance)
    wait_until_joined(context.fleet)
    context.traffic.entry_instances.append(instance)


@when("the platform comes back and the section zones says that {zone} is {state}")
def restore_platform_and_edit(context, zone, state):
    set_platform_faults(context.fleet, is_down=False)
    set_zone_state(context, zone, state)


@when("the daemon of zb is suspended, the zone taken out, and the daemon resumed after 4 seconds")
def suspend_while_zone_goes_out(context):
    # Guards against a daemon that admits requests after a pause because what it knew before the
    # pause does not show that the zone is out.
    instance = list_instances_in_zone(context, "zb")[0]
    other = list_instances_in_zone(context, "za")[0]
    suspend(instance.daemon)
    set_zone_state(context, "zb", "out")
    wait_until(lambda: get_admin(other, "/v1/status")["zones_out"] == ["zb"], 10, "zone out")
    gevent.sleep(4.0)
    resume(instance.daemon)
    context.requests_before = count_requests([instance])


@then("from 1 second later on, no request through the daemon of zb runs in zb")
def check_refuses_after_pause(context):
    instance = list_instances_in_zone(context, "zb")[0]
    gevent.sleep(1.0)
    for _ in range(20):
        call_service(instance, "catalogue")
    assert count_requests([instance]) == context.requests_before


@when("every daemon and target of {zone} is killed")
def kill_zone(context, zone):
    gevent.sleep(1.0)
    context.killed_at = time.monotonic()
    for instance in list_instances_in_zone(context, zone):
        kill(instance.daemon)
        kill(instance.target)


@then("after {seconds:g} seconds every request of the steady traffic runs")
def check_after_loss(context, seconds):
    gevent.sleep(seconds + 3.0)
    settled_at = context.killed_at + seconds
    later = [item for item in context.traffic.results if item.started_at > settled_at]
    failed = [item for item in later if item.verdict != "ran"]
    assert later
    assert not failed, (len(failed), len(later), failed[:3])


@then("every request of the steady traffic got verdict ran or not-run")
def check_all_outcomes_known(context):
    results = context.traffic.results
    unknown = [item for item in results if item.verdict not in ("ran", "not-run")]
    refused = [item for item in results if item.verdict == "not-run"]
    print(f"{len(refused)} of {len(results)} requests were refused as not-run")
    assert not unknown, unknown[:3]
