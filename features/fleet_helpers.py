"""Query the instances of a fleet, and take its zones out and in."""

from comfreyhitch.testing.fleet import (
    get_admin,
    get_target_state,
)
from features.steps.configuration_steps import apply_section


def list_instances_in_zone(context, zone):
    """Return the instances of a zone; fail if there is none."""
    instances = context.fleet.instances_by_name.values()
    found = [item for item in instances if item.zone == zone]
    assert found, f"no instance in {zone}"
    return found


def count_requests(instances):
    """Return how many requests have reached the targets of instances."""
    return sum(get_target_state(item)["requests"] for item in instances)


def set_zone_state(context, zone, state):
    """Set the state of a zone (`in` or `out`) in the section zones."""
    apply_section(context, "zones", {"zones": {zone: {"state": state}}})


def get_member_statuses(instance):
    """Return the status of each member by its address, as one daemon reports it."""
    members = get_admin(instance, "/v1/members") or []
    return {item["address"]: item["status"] for item in members}
