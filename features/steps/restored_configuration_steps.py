"""Define steps for configurations that are in force while the store comes back from a copy."""

import time

import gevent
from behave import then, when

from comfreyhitch.testing.fleet import PLATFORM_PORT
from comfreyhitch.testing.operator_documents import make_configuration, write_configuration
from comfreyhitch.testing.platform_faults import set_relay_faults
from comfreyhitch.testing.platform_fleet import is_ready, send
from comfreyhitch.testing.processes import wait_until
from features.platform_helpers import SERVICES

IN_FORCE_TIMEOUT_SECONDS = 10.0
READY_TIMEOUT_SECONDS = 15.0


@when("configurations {versions} are in force one after the other")
def apply_configurations(context, versions):
    for version in versions.replace(" and ", ", ").split(", "):
        write_version(context, int(version))
        wait_until_in_force(context, int(version), list_all(context), IN_FORCE_TIMEOUT_SECONDS)


@when("configuration {version:d} is acknowledged")
def write_version(context, version):
    """Write a configuration with a route of its own, `/vN/`."""
    content = make_configuration(version, SERVICES)
    first_route = content["Routes"][0]
    prefix = get_own_path(version)
    content["Routes"].append({**first_route, "Name": f"r-{version}", "Prefix": prefix})
    write_configuration(context.platform_fleet, content)
    context.acknowledged_at = time.monotonic()


@then("configuration {version:d} is in force everywhere within {seconds:d} seconds")
def check_in_force(context, version, seconds):
    wait_until_in_force(context, version, list_all(context), seconds)


@then("configuration {version:d} is in force at the connected daemons within {seconds:d} seconds")
def check_in_force_at_connected(context, version, seconds):
    connected = [item for item in list_all(context) if item is not context.cut_off_instance]
    wait_until_in_force(context, version, connected, seconds)


@then("configuration {version:d} stays in force everywhere for {seconds:d} seconds")
def check_stays_in_force(context, version, seconds):
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for instance in list_all(context):
            assert is_in_force(instance, version), instance.name
        gevent.sleep(0.05)


@then(
    "configuration {version:d} is in force at the restarted daemon within {seconds:d} seconds "
    "after it is ready"
)
def check_in_force_after_restart(context, version, seconds):
    instance = context.restarted_instance
    wait_until(lambda: is_ready(instance), READY_TIMEOUT_SECONDS, "daemon ready")
    wait_until(lambda: is_in_force(instance, version), seconds, f"version {version} after a start")


@when("a daemon is cut off from the store")
def cut_off_daemon(context):
    context.cut_off_instance = list_all(context)[-1]
    set_store_link(context.cut_off_instance, blocked_sources=["*"], reset=True)


@when("the daemon reaches the store again")
def reconnect_daemon(context):
    set_store_link(context.cut_off_instance, blocked_sources=[], reset=True)
    context.acknowledged_at = time.monotonic()


def set_store_link(instance, **changes):
    """Change the faults of the link between a daemon and the store."""
    set_relay_faults(instance, port=PLATFORM_PORT, **changes)


def list_all(context):
    """Return all instances of the fleet."""
    return list(context.platform_fleet.instances_by_name.values())


def wait_until_in_force(context, version, instances, seconds):
    """Wait until a version is in force at all instances, a time after its acknowledgement."""
    remaining_seconds = context.acknowledged_at + seconds - time.monotonic()
    waits = [
        gevent.spawn(
            wait_until,
            lambda instance=instance: is_in_force(instance, version),
            remaining_seconds,
            f"version {version} at {instance.name}",
        )
        for instance in instances
    ]
    gevent.joinall(waits)
    for wait in waits:
        wait.get()


def is_in_force(instance, version):
    """Return whether a daemon serves the route that only this version has."""
    return send(instance, f"{get_own_path(version)}x")[1].status == 200


def get_own_path(version):
    """Return the path of the route that only this version has."""
    return f"/v{version}/"
