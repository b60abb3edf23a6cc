"""Define steps for evacuations and rollouts ordered around the return of a store from a copy."""

import time

import gevent
from behave import then, when

from comfreyhitch.platform.client import delete_object
from comfreyhitch.testing.operator_documents import read_rollout_state, write_document
from comfreyhitch.testing.platform_fleet import read_run_log, send
from comfreyhitch.testing.processes import wait_until

# A request that was sent before the store came back may reach its target a little later.
IN_FLIGHT_SECONDS = 0.5
RUNNING_TIMEOUT_SECONDS = 5.0
RESTART_TIMEOUT_SECONDS = 15.0


@when("the evacuation of zone {zone} is acknowledged")
def order_evacuation(context, zone):
    write_document(context.platform_fleet, "evacuations", zone, {})


@when("the evacuation of zone {zone} is deleted")
def delete_evacuation(context, zone):
    delete_object(context.platform_fleet.client, "evacuations", zone).unwrap()


@then("after {bound:d} seconds no request runs in zone {zone} for {seconds:d} second")
@then("after {bound:d} seconds no request runs in zone {zone} for {seconds:d} seconds")
def check_zone_is_out(context, bound, zone, seconds):
    gevent.sleep(bound)
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        zones = list_serving_zones(context)
        assert zone not in zones, zones


@then("requests run in zone {zone} within {seconds:d} seconds")
def check_zone_is_back(context, zone, seconds):
    wait_until(lambda: zone in list_serving_zones(context), seconds, f"requests in zone {zone}")


@when("the restarted daemon serves requests")
def wait_until_serving(context):
    instance = context.restarted_instance
    wait_until(
        lambda: send(instance, "/catalogue/x")[1].status == 200, RESTART_TIMEOUT_SECONDS, "start"
    )


def list_serving_zones(context):
    """Send one request through each daemon, and return the zones in which they ran."""
    zones = set()
    for instance in context.platform_fleet.instances_by_name.values():
        response = send(instance, "/catalogue/x")[1]
        assert response.status == 200, response
        zones.add(response.json["zone"])
    return zones


@when("the same rollout is ordered again")
def order_again(context):
    order = {
        "Service": "catalogue",
        "ToVersion": context.ordered_version,
        "Duration": f"{context.order_seconds}s",
    }
    context.ordered_at = time.monotonic()
    write_document(context.platform_fleet, "rollouts", "catalogue", order)


@when("its state is running")
def wait_until_running(context):
    wait_until(
        lambda: read_state(context) == "running", RUNNING_TIMEOUT_SECONDS, "rollout is running"
    )


@then("the store holds the outcome {state} again within {seconds:d} seconds")
def check_outcome_written_again(context, state, seconds):
    found = read_state(context)
    assert found != state, "the copy holds the outcome already"
    wait_until(lambda: read_state(context) == state, seconds, f"{state}, not only {found}")


def read_state(context):
    """Return the state of the ordered rollout in the store."""
    return read_rollout_state(context.platform_fleet, "catalogue", context.ordered_version)


@then("no request has reached that version since the store came back")
def check_version_gets_nothing(context):
    late = [
        entry
        for entry in read_run_log(context.platform_fleet)
        if entry.logged_at > context.restored_at + IN_FLIGHT_SECONDS
        and is_of_version(context, entry.instance_id)
    ]
    assert not late, (len(late), late[0].logged_at - context.restored_at)


def is_of_version(context, instance_id):
    """Return whether a target of the ordered version has this incarnation id."""
    instances = context.platform_fleet.instances_by_name.values()
    return any(
        instance.version == context.ordered_version
        and instance_id.startswith(f"i-{instance.name}-")
        for instance in instances
    )
