"""Define steps that send requests through a fleet on the platform, and change its routes."""

from collections import Counter
from pathlib import Path

from behave import given, then, when

from comfreyhitch.platform.names import HEADER_CALLER_SERVICE, HEADER_DEADLINE_MS
from comfreyhitch.testing.fleet import (
    set_platform_faults,
)
from comfreyhitch.testing.operator_documents import (
    make_configuration,
    write_configuration,
)
from comfreyhitch.testing.platform_fleet import (
    read_runs,
    send,
    start_daemon,
    start_platform_fleet,
    stop_platform_fleet,
)
from comfreyhitch.testing.processes import (
    kill,
    wait_until,
)
from features.platform_helpers import SERVICES, list_instances


@given("a fleet on the platform")
def start_fleet_on_platform(context):
    targets = [
        (row["service"], row["zone"], row["target arguments"].split()) for row in context.table
    ]
    context.platform_fleet = start_platform_fleet(context.folder, targets)
    context.add_cleanup(stop_platform_fleet, context.platform_fleet)


@when("an idempotent and a non-idempotent request go through each daemon")
def send_both_kinds(context):
    context.exchanges = []
    for instance in context.platform_fleet.instances_by_name.values():
        for path, method, body in (
            ("/catalogue/a%2Fb?x=1&y=%20", "GET", b""),
            ("/payments-once/deposit", "POST", b"\x00\xffdresser"),
        ):
            request_id, response = send(instance, path, method=method, body=body, deadline_ms=1500)
            assert response.status == 200, response
            context.exchanges.append((instance, path, method, body, request_id, response.json))


@then("each ran once, with its method, path, query and body unchanged")
def check_unchanged(context):
    runs = Counter(request_id for request_id, _ in read_runs(context.platform_fleet))
    for _, path, method, body, request_id, echo in context.exchanges:
        assert runs[request_id] == 1
        assert (echo["method"], echo["body"].encode("latin-1")) == (method, body)
        raw, _, query = path.partition("?")
        # The HTTP server of the stand-in target decodes the path once.
        assert (echo["path"], echo["query"]) == (raw.replace("%2F", "/"), query)


@then("each target received the caller's service and a deadline no later than the caller's")
def check_target_headers(context):
    for instance, _, _, _, _, echo in context.exchanges:
        headers = {key[5:].replace("_", "-"): value for key, value in echo["headers"].items()}
        assert headers[HEADER_CALLER_SERVICE.upper()] == instance.service
        assert 0 < int(headers[HEADER_DEADLINE_MS.upper()]) <= 1500


@then("an unknown path gets 404")
def check_unknown_path(context):
    for instance in context.platform_fleet.instances_by_name.values():
        assert send(instance, "/nowhere/")[1].status == 404


@when("a new configuration adds a route and removes another")
def change_routes(context):
    content = make_configuration(9, SERVICES)
    removed = content["Routes"].pop(0)
    content["Routes"].append({**removed, "Name": "r-new", "Prefix": "/new/"})
    context.removed_path = removed["Prefix"]
    write_configuration(context.platform_fleet, content)


@then("each daemon, asked in turn, applies it within 2 seconds")
def check_adopted_in_time(context):
    for instance in context.platform_fleet.instances_by_name.values():
        wait_until(
            lambda instance=instance: follows_new_configuration(context, instance),
            2.0,
            instance.name,
        )


@then("every daemon still applies it")
def check_still_adopted(context):
    for instance in context.platform_fleet.instances_by_name.values():
        assert follows_new_configuration(context, instance)


def follows_new_configuration(context, instance):
    """Return whether a daemon serves the added route and no longer the removed one."""
    removed = send(instance, f"{context.removed_path}x")[1].status
    return send(instance, "/new/x")[1].status == 200 and removed == 404


@when("the store goes down")
def stop_store(context):
    set_platform_faults(context.platform_fleet.fleet, is_down=True)


@then("a daemon that starts now gets it from its peers")
def check_learned_from_peers(context):
    instance = list_instances(context, "payments")[0]
    kill(instance.daemon)
    start_daemon(context.platform_fleet, instance)
    # The other daemons probe an unreachable daemon only every few seconds.
    wait_until(lambda: follows_new_configuration(context, instance), 15.0, "the restarted daemon")


@then("no daemon has started a second thread")
def check_threads(context):
    for instance in context.platform_fleet.instances_by_name.values():
        status = Path(f"/proc/{instance.daemon.pid}/status").read_text()
        threads = status.partition("Threads:")[2].split()[0]
        assert threads == "1", (instance.name, threads)
