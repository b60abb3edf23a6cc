"""Steps that run daemons on a stand-in of the platform."""

import time
from collections import Counter
from random import Random

import gevent
import gevent.socket
from behave import given, then, when

from comfreyhitch.platform.client import delete_object
from comfreyhitch.platform.names import HEADER_CALLER_SERVICE, HEADER_DEADLINE_MS
from comfreyhitch.testing.fleet import (
    is_running,
    kill,
    set_platform_faults,
    stop_gracefully,
    wait_until,
)
from comfreyhitch.testing.platform_fleet import (
    OUTBOUND_PORT,
    add_sidecar,
    is_ready,
    make_configuration,
    read_runs,
    read_state,
    send,
    set_target_faults,
    start_daemon,
    start_platform_fleet,
    start_target,
    stop_platform_fleet,
    write_configuration,
    write_document,
)

NOT_RUN_STATUSES = (408, 421, 429, 503)
SERVICES = ["catalogue", "payments"]


def list_sidecars(context, service):
    """Return the instances of a service."""
    sidecars = context.platform_fleet.sidecars_by_name.values()
    return [sidecar for sidecar in sidecars if sidecar.service == service]


def run_forever(context, action):
    """Repeat an action in the background until the scenario ends."""

    def repeat():
        while True:
            action()
            gevent.sleep(0.02)

    greenlet = gevent.spawn(repeat)
    context.add_cleanup(greenlet.kill)
    return greenlet


@given("a fleet on the platform")
def start_fleet_on_platform(context):
    targets = [
        (row["service"], row["zone"], row["target arguments"].split()) for row in context.table
    ]
    context.platform_fleet = start_platform_fleet(context.folder, targets)
    context.add_cleanup(stop_platform_fleet, context.platform_fleet)


@when("requests of both kinds go through each daemon")
def send_both_kinds(context):
    context.sent = []
    for sidecar in context.platform_fleet.sidecars_by_name.values():
        for path, method, body in (
            ("/catalogue/a%2Fb?x=1&y=%20", "GET", b""),
            ("/payments-once/deposit", "POST", b"\x00\xffdresser"),
        ):
            request_id, answer = send(sidecar, path, method=method, body=body, deadline_ms=1500)
            assert answer.status == 200, answer
            context.sent.append((sidecar, path, method, body, request_id, answer.json))


@then("each ran once, with its method, path, query and body unchanged")
def check_unchanged(context):
    runs = Counter(request_id for request_id, _ in read_runs(context.platform_fleet))
    for _, path, method, body, request_id, seen in context.sent:
        assert runs[request_id] == 1
        assert (seen["method"], seen["body"].encode("latin-1")) == (method, body)
        raw, _, query = path.partition("?")
        # The stand-in's server decodes the path once.
        assert (seen["path"], seen["query"]) == (raw.replace("%2F", "/"), query)


@then("each target was told the caller's service and a deadline no later than the caller's")
def check_told(context):
    for sidecar, _, _, _, _, seen in context.sent:
        names = {key[5:].replace("_", "-"): value for key, value in seen["headers"].items()}
        assert names[HEADER_CALLER_SERVICE.upper()] == sidecar.service
        assert 0 < int(names[HEADER_DEADLINE_MS.upper()]) <= 1500


@then("an unknown path gets 404")
def check_unknown_path(context):
    for sidecar in context.platform_fleet.sidecars_by_name.values():
        assert send(sidecar, "/nowhere/")[1].status == 404


@when("a new configuration adds a route and drops another")
def change_routes(context):
    content = make_configuration(9, SERVICES)
    dropped = content["Routes"].pop(0)
    content["Routes"].append({**dropped, "Name": "r-new", "Prefix": "/new/"})
    context.dropped_path = dropped["Prefix"]
    write_configuration(context.platform_fleet, content)


@then("within 2 seconds every daemon follows it")
def check_followed_soon(context):
    for sidecar in context.platform_fleet.sidecars_by_name.values():
        wait_until(lambda sidecar=sidecar: follows(context, sidecar), 2.0, sidecar.name)


@then("every daemon still follows it")
def check_followed(context):
    for sidecar in context.platform_fleet.sidecars_by_name.values():
        assert follows(context, sidecar)


def follows(context, sidecar):
    """Return whether a daemon serves the new route and knows the old one no more."""
    dropped = send(sidecar, f"{context.dropped_path}x")[1].status
    return send(sidecar, "/new/x")[1].status == 200 and dropped == 404


@when("the store is down")
def stop_store(context):
    set_platform_faults(context.platform_fleet.fleet, is_down=True)


@then("a daemon that starts now learns it from the others")
def check_learned_from_peers(context):
    sidecar = list_sidecars(context, "payments")[0]
    kill(sidecar.daemon)
    start_daemon(context.platform_fleet, sidecar)
    # Others look for a daemon that they lost every few seconds.
    wait_until(lambda: follows(context, sidecar), 15.0, "the restarted daemon")


@when("a target says that it drains")
def drain_target(context):
    context.drained = list_sidecars(context, "catalogue")[0]
    stop_gracefully(context.drained.target)
    gevent.sleep(0.5)


@then("it runs nothing more, and each request runs elsewhere")
def check_drained(context):
    instance_id = f"i-{context.drained.name}-1"
    before = len(read_runs(context.platform_fleet))
    for number in range(30):
        sidecar = list_sidecars(context, SERVICES[number % 2])[0]
        assert send(sidecar, "/catalogue/x")[1].status == 200
    later = read_runs(context.platform_fleet)[before:]
    assert len(later) == 30 and instance_id not in {name for _, name in later}


@when("a daemon is killed and started again beside its target")
def restart_daemon(context):
    context.restarted = list_sidecars(context, "payments")[0]
    kill(context.restarted.daemon)
    start_daemon(context.platform_fleet, context.restarted)


@then("it serves again within 3 seconds")
def check_serves_again(context):
    instance_id = f"i-{context.restarted.name}-{context.restarted.starts}"

    def serves():
        request_id, answer = send(context.restarted, "/payments/x")
        return answer.status == 200 and (request_id, instance_id) in read_runs(
            context.platform_fleet
        )

    wait_until(serves, 3.0, "the daemon that was started again")


@when("zone zb is evacuated")
def evacuate(context):
    write_document(context.platform_fleet, "evacuations", "zb", {})


@then("within 2 seconds nothing runs there")
def check_evacuated(context):
    gevent.sleep(2.0)
    zones = {send_to_each(context) for _ in range(5)}
    assert zones == {frozenset({"za"})}, zones


@when("the evacuation is taken back")
def end_evacuation(context):
    delete_object(context.platform_fleet.client, "evacuations", "zb").unwrap()


@then("requests run there again")
def check_back(context):
    wait_until(lambda: "zb" in send_to_each(context), 3.0, "zone zb")


def send_to_each(context):
    """Send one request through each daemon, and return the zones in which they ran."""
    zones = set()
    for sidecar in context.platform_fleet.sidecars_by_name.values():
        answer = send(sidecar, "/catalogue/x")[1]
        assert answer.status == 200, answer
        zones.add(answer.json["zone"])
    return frozenset(zones)


@when("deposits are sent for 6 seconds while targets and daemons are killed")
def send_deposits(context):
    random = Random(context.seed)
    fleet = context.platform_fleet
    context.deposits = []

    def deposit(sidecar):
        try:
            context.deposits.append(
                send(sidecar, "/payments-once/d", method="POST", body=b"1", deadline_ms=2000)
            )
        except OSError:
            # A closed connection promises nothing.
            return

    callers = [
        run_forever(context, lambda sidecar=sidecar: deposit(sidecar))
        for sidecar in list_sidecars(context, "catalogue")
        for _ in range(3)
    ]
    ends_at = time.monotonic() + 6.0
    while time.monotonic() < ends_at:
        gevent.sleep(random.uniform(0.3, 0.6))
        sidecar = random.choice(list_sidecars(context, "payments"))
        if random.random() < 0.5:
            kill(sidecar.target)
            gevent.sleep(random.uniform(0.0, 0.3))
            start_target(fleet, sidecar)
        else:
            kill(sidecar.daemon)
            start_daemon(fleet, sidecar)
    gevent.killall(callers)
    gevent.sleep(1.0)


@then("no deposit ran twice, and none that was refused as not run has run")
def check_deposits(context):
    runs = Counter(request_id for request_id, _ in read_runs(context.platform_fleet))
    twice = [request_id for request_id, count in runs.items() if count > 1]
    assert not twice, twice
    statuses = Counter(answer.status for _, answer in context.deposits)
    assert statuses[200] > 20, statuses
    for request_id, answer in context.deposits:
        assert answer.status not in NOT_RUN_STATUSES or runs[request_id] == 0, answer


@when("a daemon is told to stop while requests go through it")
def stop_daemon(context):
    context.stopped = list_sidecars(context, "payments")[0]
    context.answers = []

    def call():
        # Callers go elsewhere once the platform has seen that a daemon is not ready.
        if context.is_taken_out:
            return
        try:
            context.answers.append(send(context.stopped, "/catalogue/x")[1].status)
        except OSError as error:
            context.answers.append(repr(error))

    context.is_taken_out = False
    for _ in range(4):
        run_forever(context, call)
    gevent.sleep(0.5)
    context.kept = gevent.socket.create_connection((context.stopped.host, OUTBOUND_PORT))
    context.add_cleanup(context.kept.close)
    # Work that is still running keeps the daemon from ending at once.
    set_target_faults(list_sidecars(context, "payments")[1], pace=8000)
    slow = gevent.spawn(send, context.stopped, "/payments/slow")
    context.add_cleanup(slow.kill)
    stop_gracefully(context.stopped.daemon)
    context.closing = gevent.spawn(watch_end, context)


def watch_end(context):
    """Return whether the kept connection was closed while the daemon still ran."""
    context.kept.settimeout(6.0)
    data = context.kept.recv(100)
    return data == b"" and is_running(context.stopped.daemon)


@then("a kept connection without a request was closed while the daemon still ran")
def check_kept(context):
    assert context.closing.get(timeout=1.0)


@then("it says that it is not ready, and cuts no request")
def check_stopped(context):
    wait_until(lambda: not is_ready(context.stopped), 1.0, "not ready")
    gevent.sleep(1.2)
    context.is_taken_out = True
    wait_until(lambda: not is_running(context.stopped.daemon), 4.0, "end of the daemon")
    assert Counter(context.answers).keys() == {200}, Counter(context.answers)
    assert len(context.answers) > 20


@when("a version of catalogue that fails half of its requests is ordered within {seconds:d} s")
def order_bad(context, seconds):
    order_version(context, "v2", seconds, {"failure_share": 0.5})


@when("a good version of catalogue is ordered within {seconds:d} s")
def order_good(context, seconds):
    for sidecar in list_sidecars(context, "catalogue"):
        if sidecar.version == "v2":
            kill(sidecar.target)
            kill(sidecar.daemon)
    order_version(context, "v3", seconds, {})


def order_version(context, version, seconds, faults):
    """Order a version, start targets of it, and send steady traffic."""
    fleet = context.platform_fleet
    context.order_seconds = seconds
    context.ordered_version = version
    context.ordered_at = time.monotonic()
    order = {"Service": "catalogue", "ToVersion": version, "Duration": f"{seconds}s"}
    write_document(fleet, "rollouts", "catalogue", order)
    for zone in ("za", "zb"):
        sidecar = add_sidecar(fleet, "catalogue", zone, [], version)
        wait_until(lambda sidecar=sidecar: has_answered(sidecar, faults), 5.0, sidecar.name)
    # A version is proved by requests, so there are enough of them on a slow machine too.
    for sidecar in list_sidecars(context, "payments"):
        for _ in range(6):
            run_forever(context, lambda sidecar=sidecar: send(sidecar, "/catalogue/x"))


def has_answered(sidecar, faults):
    """Set the faults of a target, and return whether it took them."""
    set_target_faults(sidecar, **faults)
    return True


@then("it is rolled back in time")
def check_rolled_back(context):
    check_state(context, "rolled_back")


@then("it has succeeded in time")
def check_succeeded(context):
    check_state(context, "succeeded")


def check_state(context, expected):
    """Check that the system tells an outcome of this order before its deadline."""
    left = context.ordered_at + context.order_seconds - time.monotonic()
    states = []

    def has_ended():
        states.append(read_state(context.platform_fleet, "catalogue", context.ordered_version))
        return states[-1] not in (None, "running")

    wait_until(has_ended, left, "an outcome")
    assert states[-1] == expected, states[-1]
