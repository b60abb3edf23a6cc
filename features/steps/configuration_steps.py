"""Steps that edit sections as operators do, with and without faults of the platform."""

import time

import gevent
from behave import then, when

from comfreyhitch.management.editing import EditConflict, read_section, write_section
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.sections.acceptance import parse_section_status
from comfreyhitch.sections.storage import get_section
from comfreyhitch.testing.fleet import (
    PLATFORM_PORT,
    add_instance,
    call_service,
    get_admin,
    set_platform_faults,
    start_daemon,
    start_target,
)
from comfreyhitch.testing.http_requests import (
    request,
)
from comfreyhitch.testing.processes import (
    kill,
    wait_until,
)
from features.steps.fleet_steps import list_instances

MAX_EDIT_ATTEMPTS = 20


def get_client(context):
    """Return a client of the fleet's platform."""
    return PlatformClient.from_url(context.fleet.platform_url)


def apply_section(context, name, content):
    """Write a section as an operator does, and retry if the platform fails."""
    client = get_client(context)
    for _ in range(MAX_EDIT_ATTEMPTS):
        base = read_section(client, name)
        if base.is_err():
            continue
        written = write_section(client, name, content, base.ok_value)
        if written.is_ok():
            context.generation = written.ok_value.generation
            return
        gevent.sleep(0.2)
    raise AssertionError(f"{name} was not written: {written}")


def get_section_generation(instance, section):
    """Return the generation of a section that is in force at a daemon, or 0 if unknown."""
    status = get_admin(instance, "/v1/status")
    return 0 if status is None else status["sections"].get(section, 0)


def make_shop_section(number):
    """Return a valid section whose content depends on a number."""
    hosts = [f"shop-{number}.example"]
    return {"services": {"catalogue": {"hosts": hosts, "version": "v1"}}}


@when("the section shop gets a valid edit")
def apply_valid_edit(context):
    apply_section(context, "shop", make_shop_section(time.monotonic_ns()))


@then("it is in force at every daemon within {seconds:g} seconds")
def check_edit_in_force(context, seconds):
    instances = [
        item for item in context.fleet.instances_by_name.values() if item.daemon.poll() is None
    ]
    wait_until(
        lambda: all(
            get_section_generation(item, "shop") >= context.generation for item in instances
        ),
        seconds,
        "section in force",
    )


@when("the section shop gets an invalid edit")
def apply_invalid_edit(context):
    context.valid_generation = context.generation
    invalid = {"services": {"catalogue": {"routes": [{"path": "no-slash"}]}}}
    apply_section(context, "shop", invalid)


def wait_for_errors(context, name):
    """Wait until the status of a section contains errors, and return them."""
    client = get_client(context)
    found = []

    def has_errors():
        item = get_section(client, name).unwrap()
        found[:] = parse_section_status(item).errors
        return bool(found)

    wait_until(has_errors, 10, f"errors of {name}")
    return found


@then("its status names the location of the error, and the valid edit stays in force")
def check_invalid_edit(context):
    errors = wait_for_errors(context, "shop")
    assert errors[0].startswith("shop.services.catalogue.routes.0.path"), errors
    for instance in context.fleet.instances_by_name.values():
        assert get_section_generation(instance, "shop") == context.valid_generation


@when("another section claims the same service")
def apply_conflicting_section(context):
    apply_section(context, "intruder", {"services": {"catalogue": {}}})


@then("its status names the section that owns the service")
def check_conflict(context):
    errors = wait_for_errors(context, "intruder")
    assert errors == ["intruder.services.catalogue: belongs to section shop"], errors


@when("the platform loses the next {count:d} responses and the section shop gets a valid edit")
def edit_with_lost_responses(context, count):
    set_platform_faults(context.fleet, lost_answers=count)
    apply_valid_edit(context)


@when("the platform goes down and a daemon is replaced by one that knows only a peer")
def replace_daemon_without_platform(context):
    set_platform_faults(context.fleet, is_down=True)
    replaced = list_instances(context, "catalogue")[0]
    kill(replaced.daemon)
    kill(replaced.target)
    context.new_instance = add_instance(context.fleet, "catalogue", replaced.zone)
    start_daemon(context.fleet, context.new_instance)
    start_target(context.fleet, context.new_instance)


@then("the new daemon has the section in force within {seconds:g} seconds")
def check_new_daemon(context, seconds):
    wait_until(
        lambda: get_section_generation(context.new_instance, "shop") >= context.generation,
        seconds,
        "section at the new daemon",
    )


@then("a request through the new daemon still runs")
def check_request_runs(context):
    headers = {"Idempotency-Key": "still"}
    response = call_service(
        context.new_instance, "catalogue", method="POST", body=b"x", headers=headers
    )
    assert response.status == 200, response


@when(
    "the platform is up but takes {seconds:g} second for each call, "
    "and the section shop gets a valid edit"
)
def edit_with_slow_platform(context, seconds):
    set_platform_faults(context.fleet, is_down=False, delay_seconds=seconds)
    apply_valid_edit(context)


@then(
    "after {seconds:g} seconds no more than {watches:d} watches are open, "
    "and calls to the platform stay below {rate:g} a second"
)
def check_platform_load(context, seconds, watches, rate):
    host = f"{context.fleet.prefix}.250"

    def read_platform_state():
        return request(host, "/_standin/state", port=PLATFORM_PORT).json

    gevent.sleep(seconds)
    before = read_platform_state()
    assert 0 < before["watches"] <= watches, before
    gevent.sleep(5.0)
    after = read_platform_state()
    calls = sum(after["calls"].values()) - sum(before["calls"].values())
    assert after["watches"] <= watches
    assert calls < rate * 5, (calls, before, after)


@when("two operators edit the section shop from the same generation")
def edit_concurrently(context):
    client = get_client(context)
    apply_section(context, "shop", make_shop_section(0))
    base = read_section(client, "shop").unwrap()
    context.first_write = write_section(client, "shop", make_shop_section(1), base)
    context.second_write = write_section(client, "shop", make_shop_section(2), base)


@then("one edit is written, and the other operator is shown that edit")
def check_edit_conflict(context):
    assert context.first_write.is_ok()
    conflict = context.second_write.err_value
    assert isinstance(conflict, EditConflict), conflict
    assert conflict.content == make_shop_section(1)


@when("the response to a write is lost after the write took effect")
def lose_write_response(context):
    client = get_client(context)
    base = read_section(client, "shop").unwrap()
    set_platform_faults(context.fleet, lost_answers=1)
    context.first_write = write_section(client, "shop", make_shop_section(3), base)


@then("the writer is told that the write took effect")
def check_write_confirmed(context):
    assert context.first_write.is_ok(), context.first_write
    assert context.first_write.ok_value.content == make_shop_section(3)
