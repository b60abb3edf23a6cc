"""Define steps for the probe budgets, and for a target that restarts cold."""

import time

import gevent
from behave import given, then, when

from comfreyhitch.testing.fleet import (
    get_target_state,
    start_target,
)
from comfreyhitch.testing.http_requests import (
    request,
)
from comfreyhitch.testing.processes import (
    is_running,
    kill,
)
from features.steps.fleet_steps import list_instances


@given("settings target_probe_rate {target_rate} and probe_rate {rate}")
def set_probe_rates(context, target_rate, rate):
    context.fleet_settings = {"target_probe_rate": target_rate, "probe_rate": rate}


@then("no target was probed more often than a budget of {rate:g} a second allows")
def check_target_probes(context, rate):
    for instance in context.fleet.instances_by_name.values():
        read_count = get_target_state(instance)["health_reads"]
        uptime = time.monotonic() - context.started_at
        assert 0 < read_count <= rate * uptime + 1, (instance.name, read_count, uptime)


@then("no daemon sent more probes than a budget of {rate:g} a second allows")
def check_probes(context, rate):
    context.probe_counts = {}
    for instance in context.fleet.instances_by_name.values():
        uptime = time.monotonic() - context.started_at
        count = _read_metric(instance, "comfreyhitch_probes_total")
        assert count <= rate * uptime + rate, (instance.name, count, uptime)
        context.probe_counts[instance.service] = count


@then("the admin port reports that the daemon beside shopfront has sent probes")
def check_probe_metric(context):
    assert context.probe_counts["shopfront"] > 0


def _read_metric(instance, name):
    text = request(instance.host, "/metrics", port=8082).body.decode()
    values = [line.rpartition(" ")[2] for line in text.splitlines() if line.startswith(name)]
    return sum(float(value) for value in values)


@when("the target process of {service} is killed and restarted, cold for {seconds:g} seconds")
def restart_cold_target(context, service, seconds):
    instance = list_instances(context, service)[0]
    kill(instance.target)
    instance.target_arguments += ["--warm-up-seconds", str(seconds)]
    start_target(context.fleet, instance)
    gevent.sleep(1.0)
    assert is_running(instance.target)
