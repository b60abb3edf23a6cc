"""Steps for sections, the platform and operators."""

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

EDIT_TRIES = 20


def get_client(context):
    """Return a client for the platform of the fleet."""
    return PlatformClient.from_url(context.fleet.platform_url)


def apply_section(context, name, content):
    """Write a section as an operator does, again if the platform does not answer."""
    client = get_client(context)
    for _ in range(EDIT_TRIES):
        base = read_section(client, name)
        if base.is_err():
            continue
        written = write_section(client, name, content, base.ok_value)
        if written.is_ok():
            context.generation = written.ok_value.generation
            return
        gevent.sleep(0.2)
    raise AssertionError(f"{name} was not written: {written}")


def get_generation(instance, section):
    """Return the generation of a section that is in force at a daemon."""
    status = get_admin(instance, "/v1/status")
    return 0 if status is None else status["sections"].get(section, 0)


def make_shop_section(number):
    """Return a valid section that differs by a number."""
    hosts = [f"shop-{number}.example"]
    return {"services": {"catalogue": {"hosts": hosts, "version": "v1"}}}


@when("the section shop gets a valid edit")
def edit_shop(context):
    apply_section(context, "shop", make_shop_section(time.monotonic_ns()))


@then("it is in force at every daemon within {seconds:g} seconds")
def check_in_force(context, seconds):
    instances = [
        item for item in context.fleet.instances_by_name.values() if item.daemon.poll() is None
    ]
    wait_until(
        lambda: all(get_generation(item, "shop") >= context.generation for item in instances),
        seconds,
        "section in force",
    )


@when("the section shop gets an invalid edit")
def edit_shop_badly(context):
    context.valid_generation = context.generation
    bad = {"services": {"catalogue": {"routes": [{"path": "no-slash"}]}}}
    apply_section(context, "shop", bad)


def wait_for_errors(context, name):
    """Return the errors in the status of a section, once there are any."""
    client = get_client(context)
    found = []

    def has_errors():
        item = get_section(client, name).unwrap()
        found[:] = parse_section_status(item).errors
        return bool(found)

    wait_until(has_errors, 10, f"errors of {name}")
    return found


@then("its status names the place of the error, and the valid edit stays in force")
def check_invalid_edit(context):
    errors = wait_for_errors(context, "shop")
    assert errors[0].startswith("shop.services.catalogue.routes.0.path"), errors
    for instance in context.fleet.instances_by_name.values():
        assert get_generation(instance, "shop") == context.valid_generation


@when("another section claims the same service")
def claim_same_service(context):
    apply_section(context, "intruder", {"services": {"catalogue": {}}})


@then("its status names the section that owns the service")
def check_clash(context):
    errors = wait_for_errors(context, "intruder")
    assert errors == ["intruder.services.catalogue: belongs to section shop"], errors


@when("the platform loses the next {count:d} answers and the section shop gets a valid edit")
def edit_with_lost_answers(context, count):
    set_platform_faults(context.fleet, lost_answers=count)
    edit_shop(context)


@when("the platform goes down and a daemon is replaced by one that knows only a peer")
def replace_daemon_without_platform(context):
    set_platform_faults(context.fleet, is_down=True)
    gone = list_instances(context, "catalogue")[0]
    kill(gone.daemon)
    kill(gone.target)
    context.new_instance = add_instance(context.fleet, "catalogue", gone.zone)
    start_daemon(context.fleet, context.new_instance)
    start_target(context.fleet, context.new_instance)


@then("the new daemon has the section in force within {seconds:g} seconds")
def check_new_daemon(context, seconds):
    wait_until(
        lambda: get_generation(context.new_instance, "shop") >= context.generation,
        seconds,
        "section at the new daemon",
    )


@then("requests still run")
def check_requests_run(context):
    headers = {"Idempotency-Key": "still"}
    answer = call_service(
        context.new_instance, "catalogue", method="POST", body=b"x", headers=headers
    )
    assert answer.status == 200, answer


@when(
    "the platform is up but takes {seconds:g} second for each call, "
    "and the section shop gets a valid edit"
)
def edit_slow_platform(context, seconds):
    set_platform_faults(context.fleet, is_down=False, delay_seconds=seconds)
    edit_shop(context)


@then(
    "within {seconds:g} seconds no more than {watches:d} watches are open, "
    "and calls to the platform stay below {rate:g} a second"
)
def check_platform_calls(context, seconds, watches, rate):
    host = f"{context.fleet.prefix}.250"

    def read_state():
        return request(host, "/_standin/state", port=PLATFORM_PORT).json

    gevent.sleep(seconds)
    before = read_state()
    assert 0 < before["watches"] <= watches, before
    gevent.sleep(5.0)
    after = read_state()
    calls = sum(after["calls"].values()) - sum(before["calls"].values())
    assert after["watches"] <= watches
    assert calls < rate * 5, (calls, before, after)


@when("two operators edit the section shop from the same generation")
def edit_twice(context):
    client = get_client(context)
    apply_section(context, "shop", make_shop_section(0))
    base = read_section(client, "shop").unwrap()
    context.first = write_section(client, "shop", make_shop_section(1), base)
    context.second = write_section(client, "shop", make_shop_section(2), base)


@then("one is written, and the other is shown the first one's edit")
def check_race(context):
    assert context.first.is_ok()
    conflict = context.second.err_value
    assert isinstance(conflict, EditConflict), conflict
    assert conflict.content == make_shop_section(1)


@when("the answer to a write is lost after it took effect")
def lose_answer(context):
    client = get_client(context)
    base = read_section(client, "shop").unwrap()
    set_platform_faults(context.fleet, lost_answers=1)
    context.first = write_section(client, "shop", make_shop_section(3), base)


@then("the writer is told that it was written")
def check_settled(context):
    assert context.first.is_ok(), context.first
    assert context.first.ok_value.content == make_shop_section(3)
