"""Define steps that order rollouts on the platform."""

import time

from behave import then, when

from comfreyhitch.testing.operator_documents import (
    read_rollout_state,
    write_document,
)
from comfreyhitch.testing.platform_faults import (
    set_target_faults,
)
from comfreyhitch.testing.platform_fleet import (
    add_platform_instance,
    send,
)
from comfreyhitch.testing.processes import (
    kill,
    wait_until,
)
from features.platform_helpers import list_instances, repeat_in_background


@when(
    "a rollout to a version of catalogue that fails half of its requests is ordered to finish "
    "within {seconds:d} s"
)
def order_failing_version(context, seconds):
    order_version(context, "v2", seconds, {"failure_share": 0.5})


@when("a rollout to a good version of catalogue is ordered to finish within {seconds:d} s")
def order_good_version(context, seconds):
    for instance in list_instances(context, "catalogue"):
        if instance.version == "v2":
            kill(instance.target)
            kill(instance.daemon)
    order_version(context, "v3", seconds, {})


def order_version(context, version, seconds, faults):
    """Order the rollout of a version, start targets of it, and send steady traffic."""
    fleet = context.platform_fleet
    context.order_seconds = seconds
    context.ordered_version = version
    context.ordered_at = time.monotonic()
    order = {"Service": "catalogue", "ToVersion": version, "Duration": f"{seconds}s"}
    write_document(fleet, "rollouts", "catalogue", order)
    for zone in ("za", "zb"):
        instance = add_platform_instance(fleet, "catalogue", zone, [], version)
        wait_until(lambda instance=instance: apply_faults(instance, faults), 5.0, instance.name)
    # A version succeeds only after a number of requests. Several callers for each instance send
    # enough of them even if the tests run slowly.
    for instance in list_instances(context, "payments"):
        for _ in range(6):
            repeat_in_background(context, lambda instance=instance: send(instance, "/catalogue/x"))


def apply_faults(instance, faults):
    """Set the faults of a target, and return True.

    `wait_until` calls it again while the target is not reachable yet.
    """
    set_target_faults(instance, **faults)
    return True


@then("it is rolled back by its deadline")
def check_rolled_back(context):
    check_state(context, "rolled_back")


@then("it has succeeded by its deadline")
def check_succeeded(context):
    check_state(context, "succeeded")


def check_state(context, expected):
    """Check that the order has reached the expected state by its deadline."""
    remaining_seconds = context.ordered_at + context.order_seconds - time.monotonic()
    states = []

    def has_ended():
        states.append(
            read_rollout_state(context.platform_fleet, "catalogue", context.ordered_version)
        )
        return states[-1] not in (None, "running")

    wait_until(has_ended, remaining_seconds, "outcome of the order")
    assert states[-1] == expected, states[-1]
