"""Steps for leaving and replaced targets, and for daemons that are out of reach."""

import gevent
from behave import then, when

from comfreyhitch.testing.fleet import (
    call_service,
    get_admin,
    set_faults,
    set_relay_faults,
    start_daemon,
    start_target,
)
from comfreyhitch.testing.processes import (
    kill,
    resume,
    suspend,
    wait_until,
)
from features.fleet_views import count_requests, get_statuses, list_in_zone
from features.steps.fleet_steps import list_instances

QUIET_SECONDS = 2.0


@when("the first target of {service} announces that it drains")
def drain_target(context, service):
    context.drained = list_instances(context, service)[0]
    set_faults(context.drained, is_draining=True)


@then("that target gets no new work after {seconds:g} seconds")
def check_drained(context, seconds):
    gevent.sleep(seconds)
    before = count_requests([context.drained])
    gevent.sleep(QUIET_SECONDS)
    assert count_requests([context.drained]) == before


@when("an instance of {service} is killed and started again")
def replace_instance(context, service):
    context.replaced = list_instances(context, service)[0]
    context.old_boot_id = get_admin(context.replaced, "/v1/status")["boot_id"]
    kill(context.replaced.daemon)
    kill(context.replaced.target)
    start_daemon(context.fleet, context.replaced)
    start_target(context.fleet, context.replaced)


@then("every daemon knows its new incarnation within {seconds:g} seconds")
def check_incarnation(context, seconds):
    address = context.replaced.peer_address

    def is_known(instance):
        members = get_admin(instance, "/v1/members") or []
        found = [item for item in members if item["address"] == address]
        return bool(found) and (
            found[0]["boot_id"] != context.old_boot_id
            and found[0]["status"] == "alive"
            and found[0]["service"] == context.replaced.service
        )

    instances = context.fleet.instances_by_name.values()
    wait_until(lambda: all(is_known(item) for item in instances), seconds, "new incarnation")


@when("a daemon is frozen until others count it as unreachable, and resumed")
def freeze_until_unreachable(context):
    instances = list(context.fleet.instances_by_name.values())
    frozen = instances[0]
    suspend(frozen.daemon)
    wait_until(
        lambda: get_statuses(instances[1]).get(frozen.peer_address) == "unreachable",
        30,
        "unreachable",
    )
    resume(frozen.daemon)


@then("every daemon counts it as alive within {seconds:g} seconds")
def check_alive(context, seconds):
    _wait_until_all_alive(context, seconds)


@then("every daemon counts all others as alive within {seconds:g} seconds")
def check_all_alive(context, seconds):
    _wait_until_all_alive(context, seconds)


def _wait_until_all_alive(context, seconds):
    instances = list(context.fleet.instances_by_name.values())
    addresses = {item.peer_address for item in instances}

    def is_whole(instance):
        statuses = get_statuses(instance)
        return all(statuses.get(address) == "alive" for address in addresses)

    wait_until(lambda: all(is_whole(item) for item in instances), seconds, "all alive")


@when("the two zones are cut from each other until each counts the other as unreachable")
def cut_zones(context):
    one, other = list_in_zone(context, "za"), list_in_zone(context, "zb")
    for instances, others in ((one, other), (other, one)):
        for instance in instances:
            set_relay_faults(instance, blocked_sources=[item.host for item in others])

    def is_apart():
        return all(
            get_statuses(instance)[far.peer_address] == "unreachable"
            for near, distant in ((one, other), (other, one))
            for instance in near
            for far in distant
        )

    wait_until(is_apart, 60, "cut")


@then("requests still run in each zone")
def check_both_zones_work(context):
    for instance in context.fleet.instances_by_name.values():
        answer = call_service(instance, "catalogue")
        assert answer.status == 200, answer


@when("the cut heals")
def heal_cut(context):
    for instance in context.fleet.instances_by_name.values():
        set_relay_faults(instance, blocked_sources=[])
