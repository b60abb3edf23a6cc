"""Steps for draining and replaced targets, and for daemons that are unreachable."""

import gevent
from behave import then, when

from comfreyhitch.testing.fleet import (
    call_service,
    get_admin,
    set_faults,
    set_relay_faults,
    start_daemon,
    start_target,
    wait_until_joined,
)
from comfreyhitch.testing.processes import (
    kill,
    resume,
    suspend,
    wait_until,
)
from features.fleet_helpers import count_requests, get_member_statuses, list_instances_in_zone
from features.steps.fleet_steps import list_instances

OBSERVATION_SECONDS = 2.0


@when("the first target of {service} announces that it drains")
def drain_target(context, service):
    context.drained_instance = list_instances(context, service)[0]
    set_faults(context.drained_instance, is_draining=True)


@then("that target gets no new work after {seconds:g} seconds")
def check_no_new_requests(context, seconds):
    gevent.sleep(seconds)
    before = count_requests([context.drained_instance])
    gevent.sleep(OBSERVATION_SECONDS)
    assert count_requests([context.drained_instance]) == before


@when("an instance of {service} is killed and started again")
def replace_instance(context, service):
    context.replaced_instance = list_instances(context, service)[0]
    context.old_boot_id = get_admin(context.replaced_instance, "/v1/status")["boot_id"]
    kill(context.replaced_instance.daemon)
    kill(context.replaced_instance.target)
    start_daemon(context.fleet, context.replaced_instance)
    start_target(context.fleet, context.replaced_instance)


@then("every daemon knows its new incarnation within {seconds:g} seconds")
def check_new_incarnation(context, seconds):
    address = context.replaced_instance.peer_address

    def is_known(instance):
        members = get_admin(instance, "/v1/members") or []
        found = [item for item in members if item["address"] == address]
        return bool(found) and (
            found[0]["boot_id"] != context.old_boot_id
            and found[0]["status"] == "alive"
            and found[0]["service"] == context.replaced_instance.service
        )

    instances = context.fleet.instances_by_name.values()
    wait_until(lambda: all(is_known(item) for item in instances), seconds, "new incarnation")


@when("a daemon is suspended until another marks it as unreachable, and resumed")
def suspend_until_unreachable(context):
    instances = list(context.fleet.instances_by_name.values())
    suspended = instances[0]
    suspend(suspended.daemon)
    wait_until(
        lambda: get_member_statuses(instances[1]).get(suspended.peer_address) == "unreachable",
        30,
        "unreachable",
    )
    resume(suspended.daemon)


@then("every daemon marks it as alive within {seconds:g} seconds")
def check_alive(context, seconds):
    _wait_until_all_alive(context, seconds)


@then("every daemon marks all others as alive within {seconds:g} seconds")
def check_all_alive(context, seconds):
    _wait_until_all_alive(context, seconds)


def _wait_until_all_alive(context, seconds):
    instances = list(context.fleet.instances_by_name.values())
    addresses = {item.peer_address for item in instances}

    def sees_all_alive(instance):
        statuses = get_member_statuses(instance)
        return all(statuses.get(address) == "alive" for address in addresses)

    wait_until(lambda: all(sees_all_alive(item) for item in instances), seconds, "all alive")


@when(
    "the two zones are partitioned until all daemons of each mark those of the other as unreachable"
)
def partition_zones(context):
    za_instances, zb_instances = (
        list_instances_in_zone(context, "za"),
        list_instances_in_zone(context, "zb"),
    )
    for instances, others in ((za_instances, zb_instances), (zb_instances, za_instances)):
        for instance in instances:
            set_relay_faults(instance, blocked_sources=[item.host for item in others])

    def is_partitioned():
        return all(
            get_member_statuses(instance)[other.peer_address] == "unreachable"
            for instances, others in ((za_instances, zb_instances), (zb_instances, za_instances))
            for instance in instances
            for other in others
        )

    wait_until(is_partitioned, 60, "partition")


@then("requests still run in each zone")
def check_requests_run_in_zones(context):
    for instance in context.fleet.instances_by_name.values():
        response = call_service(instance, "catalogue")
        assert response.status == 200, response


@when("the partition heals")
def heal_partition(context):
    for instance in context.fleet.instances_by_name.values():
        set_relay_faults(instance, blocked_sources=[])


@when("the second and third instance start, and name the first, which starts when they have met")
def start_first_last(context):
    first, second, third = list_instances(context, "catalogue")
    for instance in (second, third):
        # Each names the first, and the third names the second as well.
        started = [item.peer_address for item in (second, third) if item.daemon is not None]
        instance.environment["peers"] = ",".join([first.peer_address, *started])
        start_daemon(context.fleet, instance)
        start_target(context.fleet, instance)
    wait_until_joined(context.fleet)
    first.environment["peers"] = ""
    start_daemon(context.fleet, first)
    start_target(context.fleet, first)


@then("every daemon knows every target within {seconds:g} seconds")
def check_all_joined(context, seconds):
    wait_until_joined(context.fleet, seconds)
