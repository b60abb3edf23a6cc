"""Define steps for targets, daemons and zones that leave a fleet on the platform."""

from collections import Counter

import gevent
import gevent.socket
from behave import then, when

from comfreyhitch.platform.client import delete_object
from comfreyhitch.testing.operator_documents import (
    write_document,
)
from comfreyhitch.testing.platform_faults import (
    set_target_faults,
)
from comfreyhitch.testing.platform_fleet import (
    is_ready,
    read_runs,
    send,
    start_daemon,
)
from comfreyhitch.testing.platform_models import (
    OUTBOUND_PORT,
)
from comfreyhitch.testing.processes import (
    is_running,
    kill,
    stop_gracefully,
    wait_until,
)
from features.platform_helpers import SERVICES, list_instances, repeat_in_background


@when("a target announces that it is draining")
def drain_target(context):
    context.drained_instance = list_instances(context, "catalogue")[0]
    stop_gracefully(context.drained_instance.target)
    gevent.sleep(0.5)


@then("it runs no further request, and each request runs elsewhere")
def check_drained(context):
    instance_id = f"i-{context.drained_instance.name}-1"
    run_count_before = len(read_runs(context.platform_fleet))
    for number in range(30):
        instance = list_instances(context, SERVICES[number % 2])[0]
        assert send(instance, "/catalogue/x")[1].status == 200
    later_runs = read_runs(context.platform_fleet)[run_count_before:]
    assert len(later_runs) == 30 and instance_id not in {name for _, name in later_runs}


@when("a daemon is killed and started again beside its target")
def restart_daemon(context):
    context.restarted_instance = list_instances(context, "payments")[0]
    kill(context.restarted_instance.daemon)
    start_daemon(context.platform_fleet, context.restarted_instance)


@then("it serves again within 3 seconds")
def check_serves_again(context):
    instance_id = (
        f"i-{context.restarted_instance.name}-{context.restarted_instance.target_start_count}"
    )

    def is_serving():
        request_id, response = send(context.restarted_instance, "/payments/x")
        return response.status == 200 and (request_id, instance_id) in read_runs(
            context.platform_fleet
        )

    wait_until(is_serving, 3.0, "requests through the restarted daemon")


@when("zone zb is evacuated")
def evacuate_zone(context):
    write_document(context.platform_fleet, "evacuations", "zb", {})


@then("after 2 seconds no request runs there")
def check_evacuated(context):
    gevent.sleep(2.0)
    zones = {send_to_each(context) for _ in range(5)}
    assert zones == {frozenset({"za"})}, zones


@when("the evacuation is revoked")
def end_evacuation(context):
    delete_object(context.platform_fleet.client, "evacuations", "zb").unwrap()


@then("requests run there again")
def check_zone_serves(context):
    wait_until(lambda: "zb" in send_to_each(context), 3.0, "requests in zone zb")


def send_to_each(context):
    """Send one request through each daemon, and return the zones in which they ran."""
    zones = set()
    for instance in context.platform_fleet.instances_by_name.values():
        response = send(instance, "/catalogue/x")[1]
        assert response.status == 200, response
        zones.add(response.json["zone"])
    return frozenset(zones)


@when("a daemon is told to stop while requests go through it")
def stop_daemon(context):
    context.stopped_instance = list_instances(context, "payments")[0]
    context.statuses = []

    def call():
        # The platform sends callers to other daemons once it has seen that this one is not ready.
        if context.is_out_of_rotation:
            return
        try:
            context.statuses.append(send(context.stopped_instance, "/catalogue/x")[1].status)
        except OSError as error:
            context.statuses.append(repr(error))

    context.is_out_of_rotation = False
    for _ in range(4):
        repeat_in_background(context, call)
    gevent.sleep(0.5)
    context.idle_connection = gevent.socket.create_connection(
        (context.stopped_instance.host, OUTBOUND_PORT)
    )
    context.add_cleanup(context.idle_connection.close)
    # A request that is still running keeps the daemon from exiting at once.
    set_target_faults(list_instances(context, "payments")[1], pace=8000)
    slow_request = gevent.spawn(send, context.stopped_instance, "/payments/slow")
    context.add_cleanup(slow_request.kill)
    stop_gracefully(context.stopped_instance.daemon)
    context.connection_watcher = gevent.spawn(wait_for_close, context)


def wait_for_close(context):
    """Return whether the idle connection was closed while the daemon still ran."""
    context.idle_connection.settimeout(6.0)
    received = context.idle_connection.recv(100)
    return received == b"" and is_running(context.stopped_instance.daemon)


@then("an idle connection was closed while the daemon still ran")
def check_idle_connection_closed(context):
    assert context.connection_watcher.get(timeout=1.0)


@then("it reports that it is not ready, and cuts off no request")
def check_stopped(context):
    wait_until(lambda: not is_ready(context.stopped_instance), 1.0, "daemon not ready")
    gevent.sleep(1.2)
    context.is_out_of_rotation = True
    wait_until(lambda: not is_running(context.stopped_instance.daemon), 4.0, "exit of the daemon")
    assert Counter(context.statuses).keys() == {200}, Counter(context.statuses)
    assert len(context.statuses) > 20
