"""Steps for zones, leaving targets, shutdown and membership."""

import time

import gevent
from behave import given, then, when

from comfreyhitch.testing.fleet import (
    call_service,
    freeze,
    get_admin,
    get_target_state,
    is_running,
    kill,
    request,
    resume,
    set_faults,
    set_platform_faults,
    set_relay,
    start_daemon,
    start_target,
    stop_gracefully,
    wait_for_end,
    wait_until,
    wait_until_joined,
)
from features.steps.configuration_steps import apply_section
from features.steps.fleet_steps import list_instances

QUIET_SECONDS = 2.0


def list_in_zone(context, zone):
    """Return the instances of a zone."""
    instances = context.fleet.instances_by_name.values()
    found = [item for item in instances if item.zone == zone]
    assert found, f"no instance in {zone}"
    return found


def count_requests(instances):
    """Return how many requests reached the targets of some instances."""
    return sum(get_target_state(item)["requests"] for item in instances)


def set_zone(context, zone, state):
    """Edit the section zones."""
    apply_section(context, "zones", {"zones": {zone: {"state": state}}})


def get_statuses(instance):
    """Return the status of each member as one daemon sees it."""
    members = get_admin(instance, "/v1/members") or []
    return {item["address"]: item["status"] for item in members}


@when("the section zones says that {zone} is {state}")
def edit_zone(context, zone, state):
    set_zone(context, zone, state)


@then("zone {zone} gets no new work after {seconds:g} seconds")
def check_zone_is_quiet(context, zone, seconds):
    gevent.sleep(seconds)
    before = count_requests(list_in_zone(context, zone))
    gevent.sleep(QUIET_SECONDS)
    after = count_requests(list_in_zone(context, zone))
    assert after == before, (before, after)


@then("zone {zone} gets new work within {seconds:g} seconds")
def check_zone_works(context, zone, seconds):
    before = count_requests(list_in_zone(context, zone))
    wait_until(lambda: count_requests(list_in_zone(context, zone)) > before, seconds, zone)


@when("the platform goes down and a daemon of {zone} restarts")
def restart_daemon_without_platform(context, zone):
    set_platform_faults(context.fleet, is_down=True)
    instance = list_in_zone(context, zone)[0]
    context.traffic.entrances.remove(instance)
    stop_gracefully(instance.daemon)
    wait_for_end(instance.daemon, 15.0)
    start_daemon(context.fleet, instance)
    wait_until_joined(context.fleet)
    context.traffic.entrances.append(instance)


@when("the platform comes back and the section zones says that {zone} is {state}")
def restore_platform_and_edit(context, zone, state):
    set_platform_faults(context.fleet, is_down=False)
    set_zone(context, zone, state)


@when("the daemon of zb is frozen, the zone taken out, and the daemon resumed after 4 seconds")
def freeze_over_zone_out(context):
    instance = list_in_zone(context, "zb")[0]
    other = list_in_zone(context, "za")[0]
    freeze(instance.daemon)
    set_zone(context, "zb", "out")
    wait_until(lambda: get_admin(other, "/v1/status")["zones_out"] == ["zb"], 10, "zone out")
    gevent.sleep(4.0)
    resume(instance.daemon)
    context.requests_before = count_requests([instance])


@then("the daemon of zb refuses new work from its first second on")
def check_refuses_after_pause(context):
    instance = list_in_zone(context, "zb")[0]
    gevent.sleep(1.0)
    for _ in range(20):
        call_service(instance, "catalogue")
    assert count_requests([instance]) == context.requests_before


@when("every daemon and target of {zone} is killed")
def kill_zone(context, zone):
    gevent.sleep(1.0)
    context.killed_at = time.monotonic()
    for instance in list_in_zone(context, zone):
        kill(instance.daemon)
        kill(instance.target)


@then("after {seconds:g} seconds every request of the steady traffic runs")
def check_after_loss(context, seconds):
    gevent.sleep(seconds + 3.0)
    settled_at = context.killed_at + seconds
    later = [item for item in context.traffic.seen if item.started_at > settled_at]
    failed = [item for item in later if item.verdict != "ran"]
    assert later
    assert not failed, (len(failed), len(later), failed[:3])


@then("none was told may-have-run that could be sent again")
def check_retried(context):
    seen = context.traffic.seen
    unknown = [item for item in seen if item.verdict not in ("ran", "not-run")]
    refused = [item for item in seen if item.verdict == "not-run"]
    print(f"{len(refused)} of {len(seen)} requests were refused as not-run")
    assert not unknown, unknown[:3]


@when("the first target of {service} announces that it drains")
def drain_target(context, service):
    context.drained = list_instances(context, service)[0]
    set_faults(context.drained, is_draining=True)


@then("that target gets no new work after {seconds:g} seconds")
def check_drained(context, seconds):
    gevent.sleep(seconds)
    before = count_requests([context.drained])
    gevent.sleep(QUIET_SECONDS)
    assert count_requests([context.drained]) == before


@when("an instance of {service} is killed and started again")
def replace_instance(context, service):
    context.replaced = list_instances(context, service)[0]
    context.old_boot_id = get_admin(context.replaced, "/v1/status")["boot_id"]
    kill(context.replaced.daemon)
    kill(context.replaced.target)
    start_daemon(context.fleet, context.replaced)
    start_target(context.fleet, context.replaced)


@then("every daemon knows its new incarnation within {seconds:g} seconds")
def check_incarnation(context, seconds):
    address = context.replaced.peer_address

    def is_known(instance):
        members = get_admin(instance, "/v1/members") or []
        found = [item for item in members if item["address"] == address]
        return bool(found) and (
            found[0]["boot_id"] != context.old_boot_id
            and found[0]["status"] == "alive"
            and found[0]["service"] == context.replaced.service
        )

    instances = context.fleet.instances_by_name.values()
    wait_until(lambda: all(is_known(item) for item in instances), seconds, "new incarnation")


@when("a daemon is frozen until others count it as unreachable, and resumed")
def freeze_until_unreachable(context):
    instances = list(context.fleet.instances_by_name.values())
    frozen = instances[0]
    freeze(frozen.daemon)
    wait_until(
        lambda: get_statuses(instances[1]).get(frozen.peer_address) == "unreachable",
        30,
        "unreachable",
    )
    resume(frozen.daemon)


@then("every daemon counts it as alive within {seconds:g} seconds")
def check_alive(context, seconds):
    _wait_until_all_alive(context, seconds)


@then("every daemon counts all others as alive within {seconds:g} seconds")
def check_all_alive(context, seconds):
    _wait_until_all_alive(context, seconds)


def _wait_until_all_alive(context, seconds):
    instances = list(context.fleet.instances_by_name.values())
    addresses = {item.peer_address for item in instances}

    def is_whole(instance):
        statuses = get_statuses(instance)
        return all(statuses.get(address) == "alive" for address in addresses)

    wait_until(lambda: all(is_whole(item) for item in instances), seconds, "all alive")


@when("the two zones are cut from each other until each counts the other as unreachable")
def cut_zones(context):
    one, other = list_in_zone(context, "za"), list_in_zone(context, "zb")
    for instances, others in ((one, other), (other, one)):
        for instance in instances:
            set_relay(instance, blocked_sources=[item.host for item in others])

    def is_apart():
        return all(
            get_statuses(instance)[far.peer_address] == "unreachable"
            for near, distant in ((one, other), (other, one))
            for instance in near
            for far in distant
        )

    wait_until(is_apart, 60, "cut")


@then("requests still run in each zone")
def check_both_zones_work(context):
    for instance in context.fleet.instances_by_name.values():
        answer = call_service(instance, "catalogue")
        assert answer.status == 200, answer


@when("the cut heals")
def heal_cut(context):
    for instance in context.fleet.instances_by_name.values():
        set_relay(instance, blocked_sources=[])


@when("12 requests are in flight and the first daemon of {service} is asked to stop")
def stop_with_requests_in_flight(context, service):
    instances = list_instances(context, service)
    context.answers = []

    def send(number):
        entrance = instances[number % len(instances)]
        headers = {"Comfreyhitch-Service": service}
        context.answers.append(request(entrance.host, "/", headers=headers))

    callers = [gevent.spawn(send, number) for number in range(12)]
    gevent.sleep(0.2)
    context.stopped_at = time.monotonic()
    stop_gracefully(instances[0].daemon)
    gevent.joinall(callers, raise_error=True)


@then("all of them get their response, and the daemon has ended within {seconds:g} seconds")
def check_nothing_was_cut(context, seconds):
    bad = [item for item in context.answers if item.verdict not in ("ran", "not-run")]
    ran = [item for item in context.answers if item.verdict == "ran"]
    assert len(context.answers) == 12
    assert not bad, bad
    assert ran
    daemon = list_instances(context, "catalogue")[0].daemon
    wait_for_end(daemon, max(0.1, context.stopped_at + seconds - time.monotonic()))
    assert daemon.returncode == 0, daemon.returncode


@when("each daemon of {service} is stopped and started again in turn")
def restart_in_turn(context, service):
    for instance in list_instances(context, service):
        stop_gracefully(instance.daemon)
        wait_for_end(instance.daemon, 15.0)
        start_daemon(context.fleet, instance)
        wait_until_joined(context.fleet)


@given("settings target_probe_rate {target_rate} and probe_rate {rate}")
def set_probe_rates(context, target_rate, rate):
    context.fleet_settings = {"target_probe_rate": target_rate, "probe_rate": rate}


@then("no target was probed more often than {rate:g} a second allow")
def check_target_probes(context, rate):
    for instance in context.fleet.instances_by_name.values():
        reads = get_target_state(instance)["health_reads"]
        uptime = time.monotonic() - context.started_at
        assert 0 < reads <= rate * uptime + 1, (instance.name, reads, uptime)


@then("no daemon sent more probes than {rate:g} a second allow")
def check_probes(context, rate):
    context.probe_counts = {}
    for instance in context.fleet.instances_by_name.values():
        uptime = time.monotonic() - context.started_at
        count = _read_metric(instance, "comfreyhitch_probes_total")
        assert count <= rate * uptime + rate, (instance.name, count, uptime)
        context.probe_counts[instance.service] = count


@then("the admin port tells how many probes were sent")
def check_probe_metric(context):
    assert context.probe_counts["shopfront"] > 0


def _read_metric(instance, name):
    text = request(instance.host, "/metrics", port=8082).body.decode()
    values = [line.rpartition(" ")[2] for line in text.splitlines() if line.startswith(name)]
    return sum(float(value) for value in values)


@when("the process of {service} ends and starts anew, cold for {seconds:g} seconds")
def turn_cold(context, service, seconds):
    instance = list_instances(context, service)[0]
    kill(instance.target)
    instance.target_arguments += ["--warm-up-seconds", str(seconds)]
    start_target(context.fleet, instance)
    gevent.sleep(1.0)
    assert is_running(instance.target)
