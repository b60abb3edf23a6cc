"""Steps that start fleets, and functions that find the instances of a service."""

import shlex
import time

from behave import given

from comfreyhitch.testing.fleet import (
    Fleet,
    add_instance,
    start_fleet,
    start_platform,
)

FAST_SETTINGS = {"gossip_interval": "0.2", "sync_interval": "1", "log_level": "INFO"}


def make_fleet(context, table, **options):
    """Make a new fleet with the instances of a table; start its platform if it has one."""
    settings = {**FAST_SETTINGS, **context.fleet_settings}
    context.fleet = Fleet.from_folder(context.folder, settings)
    context.started_at = time.monotonic()
    if options.get("has_platform"):
        start_platform(context.fleet)
    for row in table:
        cells = dict(row.items())
        for _ in range(int(cells.get("count") or 1)):
            add_instance(
                context.fleet,
                cells["service"],
                cells["zone"],
                version=cells.get("version") or "v1",
                slots=int(cells.get("slots") or 10),
                target_arguments=shlex.split(cells.get("target arguments") or ""),
                has_relay=options.get("has_relays", False),
            )


def list_instances(context, service):
    """Return the instances of a service."""
    instances = context.fleet.instances_by_name.values()
    return [item for item in instances if item.service == service]


def get_instance(context, service):
    """Return the first instance of a service."""
    return list_instances(context, service)[0]


@given("a running fleet")
def start_running_fleet(context):
    make_fleet(context, context.table)
    start_fleet(context.fleet)


@given("a fleet that is not started")
def make_fleet_without_start(context):
    make_fleet(context, context.table)


@given("a running fleet with a platform")
def start_fleet_with_platform(context):
    make_fleet(context, context.table, has_platform=True)
    start_fleet(context.fleet)


@given("a running fleet behind relays")
def start_fleet_behind_relays(context):
    make_fleet(context, context.table, has_relays=True)
    start_fleet(context.fleet)
