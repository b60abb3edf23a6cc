"""Test crowds of clients that stay outside the limits of the configuration."""

import hashlib
import uuid

import gevent
import gevent.socket
from behave import given, then, when

from comfreyhitch.platform.names import HEADER_DEADLINE_MS, HEADER_REQUEST_ID
from comfreyhitch.testing.fleet import Fleet, start_platform
from comfreyhitch.testing.operator_documents import make_configuration, write_configuration
from comfreyhitch.testing.platform_fleet import (
    add_platform_instance,
    is_ready,
    send,
    stop_platform_fleet,
)
from comfreyhitch.testing.platform_models import (
    CONTROL_PORT,
    HOST_NAME,
    OUTBOUND_PORT,
    PEER_PORT,
    READY_PORT,
    PlatformFleet,
)
from comfreyhitch.testing.processes import is_running, stop_gracefully, wait_for_exit, wait_until
from features.client_crowds import ACTIONS_BY_NAME, PEER_ACTIONS_BY_NAME, Crowd
from features.process_usage import sampling_usage

ZONES = ("za", "zb", "zc")
MAX_BODY_BYTES = 67_108_864
BYTES_PER_MEGABYTE = 1_000_000
START_TIMEOUT_SECONDS = 20.0
# How long a crowd stays connected after each of its clients has done what it does.
STAY_SECONDS = 3.0
CROWD_TIMEOUT_SECONDS = 10.0
DEADLINE_MS = 10_000
LARGE_DEADLINE_MS = 30_000
LARGE_TIMEOUT_SECONDS = 40.0
CHUNK_BYTES = 1_000_000
METRICS_PORT = 9464
PORTS_BY_NAME = {
    "control": CONTROL_PORT,
    "readiness": READY_PORT,
    "metrics": METRICS_PORT,
    "peer": PEER_PORT,
}
GRACE_SECONDS = 6.0


@given("three daemons whose machines have {megabytes:d} MB of memory and {count:d} descriptors")
def start_fleet(context, megabytes, count):
    context.memory_bytes = megabytes * BYTES_PER_MEGABYTE
    context.descriptors = count
    settings = {"Limits.MemoryMb": str(megabytes), "Limits.MaxFds": str(count)}
    fleet = PlatformFleet(
        Fleet.from_folder(context.folder), grace_seconds=GRACE_SECONDS, settings=settings
    )
    context.platform_fleet = fleet
    context.add_cleanup(stop_platform_fleet, fleet)
    start_platform(fleet.fleet)
    configuration = make_configuration(1, ["payments"])
    configuration["Limits"]["MaxBodyBytes"] = MAX_BODY_BYTES
    for route in configuration["Routes"]:
        route["Timeout"] = f"{LARGE_DEADLINE_MS}ms"
    write_configuration(fleet, configuration)
    for zone in ZONES:
        add_platform_instance(fleet, "payments", zone, [])
    context.instances = list(fleet.instances_by_name.values())
    for instance in context.instances:
        wait_until(
            lambda instance=instance: is_ready(instance), START_TIMEOUT_SECONDS, instance.name
        )
        wait_until(
            lambda instance=instance: is_served(instance), START_TIMEOUT_SECONDS, instance.name
        )


def is_served(instance):
    """Return whether an ordinary request at a daemon is served."""
    _, response = send(instance, "/payments/x", deadline_ms=DEADLINE_MS)
    return response.status == 200


@given("the machines have {megabytes:d} MB of memory")
def restart_with_memory(context, megabytes):
    stop_platform_fleet(context.platform_fleet)
    start_fleet(context, megabytes, context.descriptors)


@when("{count:d} clients of each kind come to one daemon")
def run_all_kinds(context, count):
    crowds = [Crowd(action) for action in ACTIONS_BY_NAME.values()]
    run_crowds(context, crowds, context.instances[:1], count)


@when("{count:d} clients {action} at one daemon")
def run_one_crowd(context, count, action):
    run_crowds(context, [Crowd(ACTIONS_BY_NAME[action])], context.instances[:1], count)


@when("{count:d} clients {action} at each daemon")
def run_crowd_everywhere(context, count, action):
    run_crowds(context, [Crowd(ACTIONS_BY_NAME[action])], context.instances, count)


@when("{count:d} clients {action} at one daemon in {rounds:d} rounds")
def run_rounds(context, count, action, rounds):
    crowds = [Crowd(ACTIONS_BY_NAME[action])]
    run_crowds(context, crowds, context.instances[:1], count, rounds=rounds)


@when("{count:d} clients {action} at the {port} port of one daemon")
def run_crowd_at_port(context, count, action, port):
    crowds = [Crowd({**ACTIONS_BY_NAME, **PEER_ACTIONS_BY_NAME}[action])]
    run_crowds(context, crowds, context.instances[:1], count, port=PORTS_BY_NAME[port])


def run_crowds(context, crowds, instances, count, *, rounds=1, port=OUTBOUND_PORT):
    """Let crowds come to daemons and leave, with an ordinary request while they are there."""
    with sampling_usage(context.instances) as context.usage_by_name:
        for _ in range(rounds):
            for crowd in crowds:
                for instance in instances:
                    crowd.add_clients(instance.host, count, port)
            for crowd in crowds:
                crowd.wait(CROWD_TIMEOUT_SECONDS / len(crowds))
            gevent.sleep(STAY_SECONDS)
            context.statuses = [answer_of(instance).status for instance in context.instances]
            for crowd in crowds:
                crowd.leave()


def answer_of(instance):
    """Return the answer to an ordinary request."""
    return send(instance, "/payments/x", method="POST", body=b"{}", deadline_ms=DEADLINE_MS)[1]


@then("each daemon lives within its memory and descriptors, and answers an ordinary request")
def check_daemons(context):
    check_usage(context)
    print("during the crowd", context.statuses)
    for instance in context.instances:
        response = answer_of(instance)
        assert response.status == 200, (instance.name, response.status, response.body[:200])


def check_usage(context):
    """Check that each daemon runs, and that its peaks are within the limits of its machine."""
    for name, usage in context.usage_by_name.items():
        print(
            f"{name}: {usage.peak_bytes / BYTES_PER_MEGABYTE:.0f} MB, "
            f"resident {usage.peak_resident_bytes / BYTES_PER_MEGABYTE:.0f} MB, "
            f"{usage.peak_descriptors} descriptors"
        )
    for instance in context.instances:
        assert is_running(instance.daemon), f"{instance.name} has ended"
    for name, usage in context.usage_by_name.items():
        assert usage.peak_bytes <= context.memory_bytes, (name, usage)
        assert usage.peak_descriptors <= context.descriptors, (name, usage)


@when("a daemon with {count:d} clients that {action} is stopped")
def stop_beside_crowd(context, count, action):
    instance = context.instances[0]
    crowd = Crowd(ACTIONS_BY_NAME[action])
    with sampling_usage(context.instances) as context.usage_by_name:
        crowd.add_clients(instance.host, count)
        crowd.wait(CROWD_TIMEOUT_SECONDS)
        ordinary = gevent.spawn(
            send, instance, "/payments-once/x?work_ms=1000", method="POST", body=b"{}"
        )
        gevent.sleep(0.3)
        stop_gracefully(instance.daemon)
        context.answer = ordinary.get(timeout=LARGE_TIMEOUT_SECONDS)[1]
        wait_for_exit(instance.daemon, GRACE_SECONDS)
    crowd.leave()


@then("an ordinary request that was sent before is answered, and the daemon exits within its grace")
def check_stop(context):
    assert context.answer.status == 200, (context.answer.status, context.answer.body[:200])
    for name, usage in context.usage_by_name.items():
        assert usage.peak_bytes <= context.memory_bytes, (name, usage)
    for instance in context.instances[1:]:
        assert is_running(instance.daemon)
        assert answer_of(instance).status == 200


@when("one body of {megabytes:g} MB is sent in calm")
def send_large_body(context, megabytes):
    body = b"x" * round(megabytes * BYTES_PER_MEGABYTE)
    send_and_sample(context, "/payments-once/digest", {"Content-Length": str(len(body))}, [body])
    context.expected_digest = hashlib.sha256(body).hexdigest()


@when("one body without size of {megabytes:g} MB is sent in calm")
def send_large_chunks(context, megabytes):
    part = b"x" * CHUNK_BYTES
    count = round(megabytes * BYTES_PER_MEGABYTE) // CHUNK_BYTES
    chunk = b"%x\r\n" % CHUNK_BYTES + part + b"\r\n"
    headers = {"Transfer-Encoding": "chunked"}
    send_and_sample(context, "/payments-once/digest", headers, [*[chunk] * count, b"0\r\n\r\n"])
    context.expected_digest = hashlib.sha256(part * count).hexdigest()


@when("one answer of {megabytes:g} MB is sent in calm")
def ask_for_large_answer(context, megabytes):
    size = round(megabytes * BYTES_PER_MEGABYTE)
    path = f"/payments/padding?padding_bytes={size}"
    send_and_sample(context, path, {"Content-Length": "0"}, [])
    context.expected_bytes = size


def send_and_sample(context, path, headers, parts):
    """Send a request in parts, and keep its answer."""
    instance = context.instances[0]
    with sampling_usage(context.instances) as context.usage_by_name:
        sock = gevent.socket.create_connection((instance.host, OUTBOUND_PORT), timeout=5.0)
        sock.settimeout(LARGE_TIMEOUT_SECONDS)
        fields = {
            "Host": HOST_NAME,
            HEADER_REQUEST_ID: uuid.uuid4().hex,
            HEADER_DEADLINE_MS: str(LARGE_DEADLINE_MS),
            "Connection": "close",
            **headers,
        }
        lines = [f"POST {path} HTTP/1.1", *(f"{name}: {text}" for name, text in fields.items())]
        try:
            sock.sendall("\r\n".join([*lines, "", ""]).encode())
            for part in parts:
                sock.sendall(part)
        except OSError as error:
            # The daemon may have refused the request, and its answer tells why.
            print("not all was sent:", error)
        received = bytearray()
        while data := sock.recv(65_536):
            received += data
        sock.close()
    head, _, context.answer_body = bytes(received).partition(b"\r\n\r\n")
    context.answer_head = head.decode()


@then("it is served whole, and each daemon lives within its memory and descriptors")
def check_large(context):
    status = context.answer_head.split(" ")[1]
    assert status == "200", (context.answer_head, context.answer_body[:200])
    if hasattr(context, "expected_digest"):
        assert context.answer_body.decode() == context.expected_digest, context.answer_body[:200]
    else:
        assert len(context.answer_body) == context.expected_bytes, len(context.answer_body)
    check_usage(context)
