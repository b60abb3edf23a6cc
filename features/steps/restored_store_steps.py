"""Define steps for a store that comes back from a copy, and for what daemons write to it."""

import time

import gevent
import gevent.socket
from behave import given, then, when

from comfreyhitch.documents.models import DocumentKind
from comfreyhitch.platform.client import get_object, list_objects, wait_for_changes
from comfreyhitch.platform.exceptions import PlatformFailure
from comfreyhitch.testing.fleet import set_platform_faults
from comfreyhitch.testing.http_requests import request
from comfreyhitch.testing.operator_documents import write_document
from comfreyhitch.testing.platform_copies import restore_copy, take_copy
from comfreyhitch.testing.platform_fleet import (
    add_platform_instance,
    is_ready,
    start_platform_fleet,
    stop_platform_fleet,
)
from comfreyhitch.testing.platform_store import (
    discard_store_history,
    is_registered,
    read_store_revision,
    restore_store_copy,
    take_store_copy,
)
from comfreyhitch.testing.processes import wait_until
from features.platform_helpers import SERVICES
from features.steps.document_steps import write_object

OUTAGE_SECONDS = 1.5
REGISTRATION_TIMEOUT_SECONDS = 10.0
READY_TIMEOUT_SECONDS = 15.0
MAX_FILLING_WRITES = 50


@then("a restored copy brings back objects, history and revisions, and starts a new era")
def check_restored_copy(context):
    state, client = context.store_state, context.client
    write_object(context, DocumentKind.ZONE_OUT, "za", {})
    take_copy(state)
    copied_revision = state.revision
    write_object(context, DocumentKind.ZONE_OUT, "zb", {})
    lost_revision = get_object(client, "evacuations", "zb").unwrap().metadata.revision
    assert read_era(client) == "1"
    restore_copy(state)
    assert read_era(client) == "2"
    listed = list_objects(client, "evacuations").unwrap()
    assert [item.metadata.name for item in listed.items] == ["za"]
    assert listed.revision == copied_revision
    write_object(context, DocumentKind.ZONE_OUT, "zc", {})
    assert get_object(client, "evacuations", "zc").unwrap().metadata.revision == lost_revision
    # The copy can be restored once more, although the objects have changed since.
    restore_copy(state)
    assert read_era(client) == "3"
    assert len(list_objects(client, "evacuations").unwrap().items) == 1


@then("watches that wait are cut, and those from a revision that the store does not have get 410")
def check_restored_watches(context):
    state, client = context.store_state, context.client
    lost_revision = state.revision + 1
    # The client would send the watch again after the cut.
    with gevent.socket.create_connection((client.host, client.port), timeout=2.0) as sock:
        sock.sendall(f"GET /v1/objects/config?Watch={state.revision}&WaitMs=9000 ".encode())
        sock.sendall(b"HTTP/1.1\r\nHost: store\r\n\r\n")
        wait_until(lambda: state.watches == 1, 2.0, "watch")
        restore_copy(state)
        assert sock.recv(1) == b""
    expired = wait_for_changes(client, "config", lost_revision, 0.1)
    assert expired.err_value.failure is PlatformFailure.EXPIRED
    write_object(context, DocumentKind.ZONE_OUT, "zd", {})
    # The revision has been given out again, so the store does not notice that the watch is old.
    assert wait_for_changes(client, "evacuations", lost_revision, 0.1).unwrap().events == []
    changed = wait_for_changes(client, "evacuations", lost_revision - 1, 0.1).unwrap()
    assert [event.object.metadata.name for event in changed.events] == ["zd"]


def read_era(client):
    """Return the era that the store names in the header of its responses."""
    response = request(client.host, "/v1/objects/config/none", port=client.port)
    assert response.status == 404, response
    return response.headers["store-era"]


@given("two services in two zones on the platform")
def start_two_services(context):
    start_services(context, has_relays=False)


@given("two services in two zones on the platform, each daemon behind a relay")
def start_two_services_with_relays(context):
    start_services(context, has_relays=True)


def start_services(context, *, has_relays):
    """Start a fleet, and wait until the store holds the registrations of all its daemons."""
    targets = [(service, zone, []) for service in SERVICES for zone in ("za", "zb")]
    fleet = start_platform_fleet(context.folder, targets, has_relays=has_relays)
    context.platform_fleet = fleet
    context.add_cleanup(stop_platform_fleet, fleet)
    wait_until(
        lambda: all(is_registered(fleet, item) for item in fleet.instances_by_name.values()),
        REGISTRATION_TIMEOUT_SECONDS,
        "registrations",
    )


@given("the store has been copied")
def copy_store(context):
    take_store_copy(context.platform_fleet)


@when("the store is away and comes back from the copy")
def lose_and_restore_store(context):
    restore_store(context)


@when(
    "the store is down for 1.5 seconds, comes back from the copy, and other documents are written"
)
def lose_store_and_write_others(context):
    restore_store(context)
    for number in range(3):
        write_document(context.platform_fleet, "evacuations", f"other-{number}", {})


def restore_store(context):
    """Take the store down for a moment, and bring it back from its copy."""
    fleet = context.platform_fleet
    context.lost_revision = read_store_revision(fleet)
    set_platform_faults(fleet.fleet, is_down=True)
    gevent.sleep(OUTAGE_SECONDS)
    restore_store_copy(fleet)
    set_platform_faults(fleet.fleet, is_down=False)
    context.restored_at = time.time()


@when("the store has been stable for 3 seconds")
def wait_for_stability(context):
    gevent.sleep(3.0)


@when("{seconds:d} seconds pass")
def wait_seconds(context, seconds):
    gevent.sleep(seconds)


@when("the store discards its history")
def discard_history(context):
    discard_store_history(context.platform_fleet)


@when("its revisions have passed those that it gave out before")
def pass_lost_revisions(context):
    for number in range(MAX_FILLING_WRITES):
        if read_store_revision(context.platform_fleet) > context.lost_revision:
            return
        write_document(context.platform_fleet, "evacuations", f"unused-{number}", {})
    raise AssertionError("the store's revision does not rise")


@when("a daemon and its target join in zone za")
def add_instance(context):
    fleet = context.platform_fleet
    context.joined_instance = add_platform_instance(fleet, "payments", "za", [])
    wait_until(lambda: is_ready(context.joined_instance), READY_TIMEOUT_SECONDS, "daemon ready")
    wait_until(
        lambda: is_registered(fleet, context.joined_instance),
        REGISTRATION_TIMEOUT_SECONDS,
        "registration of the daemon that joined",
    )


@then("the daemon that joined is registered again within {seconds:d} seconds")
def check_registered_again(context, seconds):
    fleet = context.platform_fleet
    assert read_store_revision(fleet) < context.lost_revision
    wait_until(
        lambda: is_registered(fleet, context.joined_instance), seconds, "its registration again"
    )
