"""Send signals to daemons that start or stop, at any moment and in series."""

import itertools
import signal
import socket
import struct
import time
from pathlib import Path

import gevent
from behave import then, when

from comfreyhitch.platform.client import DAEMONS, list_objects
from comfreyhitch.platform.models import FRESH
from comfreyhitch.testing.fleet import Fleet, start_platform
from comfreyhitch.testing.http_requests import HTTP_PORT
from comfreyhitch.testing.platform_fleet import format_settings, send
from comfreyhitch.testing.platform_models import (
    OUTBOUND_PORT,
    PEER_PORT,
    READY_PORT,
    PlatformFleet,
    PlatformInstance,
)
from comfreyhitch.testing.processes import (
    INTERPRETER_START_SECONDS,
    get_processor_seconds,
    is_running,
    kill,
    resume,
    spawn,
    suspend,
    wait_for_exit,
    wait_until,
)
from features.platform_helpers import SERVICES, list_instances

START_SECONDS = 15.0
SIGNAL_GAP_SECONDS = 0.005
# The stop has begun before the first change, and goes on after the second.
CHANGE_GAP_SECONDS = 0.6
CALLER_COUNT = 6
CALLER_PAUSE_SECONDS = 0.05
# The platform's settings make 0.45 of the grace period the linger time, and 2.7 s at most.
LINGER_SECONDS = 2.7


def start_single_daemon(context, kind, grace_seconds=6.0):
    """Start a store and one daemon beside no target; return the daemon's process."""
    fleet = PlatformFleet(Fleet.from_folder(context.folder), grace_seconds=grace_seconds)
    start_platform(fleet.fleet)
    context.add_cleanup(kill, fleet.fleet.platform)
    host = f"{fleet.fleet.prefix}.1"
    instance = PlatformInstance("catalogue-1", host, "za", "catalogue", "v1", [])
    context.single_fleet, context.single_host = fleet, host
    context.settings_path = write_settings_file(context, fleet, instance)
    environment = {"COMFREYHITCH_CONFIG": str(context.settings_path)}
    context.single_ports = (OUTBOUND_PORT, READY_PORT)
    match kind:
        case "on the platform":
            command = ["-m", "comfreyhitch.platform"]
        case "with a clock of its own":
            command = ["-m", "comfreyhitch.testing.stepped_daemon", str(context.folder / "clock")]
        case "with settings in environment":
            command = ["-m", "comfreyhitch.daemon"]
            environment = {
                "COMFREYHITCH_HOST": host,
                "COMFREYHITCH_PLATFORM_URL": fleet.fleet.platform_url,
                "COMFREYHITCH_REGISTRATION": "all",
            }
            context.single_ports = (HTTP_PORT,)
    process = spawn(context.folder, "single", command, environment)
    context.add_cleanup(kill, process)
    return process


def write_settings_file(context, fleet, instance):
    """Write the platform's settings file of a daemon, and return its path."""
    path = context.folder / "single.conf"
    replace_file(path, format_settings(fleet, instance))
    return path


def replace_file(path, text):
    """Replace a file at once."""
    new_path = path.with_suffix(".new")
    new_path.write_text(text)
    new_path.replace(path)


def change_grace(path, text):
    """Replace the grace period in a settings file."""
    lines = path.read_text().splitlines()
    kept = [line for line in lines if not line.startswith("Bounds.Grace=")]
    replace_file(path, "".join(f"{line}\n" for line in [*kept, f"Bounds.Grace={text}"]))


def wait_for_own_code(process):
    """Wait until the interpreter has started, so that the process loads its own code."""
    while get_processor_seconds(process) < INTERPRETER_START_SECONDS:
        time.sleep(0.001)


def is_serving(context):
    """Return whether all ports of the single daemon that callers know accept connections."""
    for port in context.single_ports:
        with socket.create_connection((context.single_host, port), timeout=1.0):
            pass
    return True


@when("a daemon {kind} starts, and gets SIGHUP every 10 ms from its first tenth of a second on")
def start_under_hangups(context, kind):
    context.process = process = start_single_daemon(context, kind)
    wait_for_own_code(process)

    def is_ended_or_serving():
        if not is_running(process):
            return True
        process.send_signal(signal.SIGHUP)
        return is_serving(context)

    wait_until(is_ended_or_serving, START_SECONDS, "start of the daemon")
    gevent.sleep(0.5)


@then("it is still running when it serves")
def check_still_running(context):
    assert is_running(context.process), context.process.returncode
    assert is_serving(context)


@when("a daemon {kind} starts, and gets {name} after its first tenth of a second")
def stop_during_imports(context, kind, name):
    context.process = start_single_daemon(context, kind)
    wait_for_own_code(context.process)
    context.process.send_signal(getattr(signal, name))


@then("it exits with code 0 within 1 second, and has neither served nor registered")
def check_clean_exit(context):
    wait_for_exit(context.process, 1.0)
    assert context.process.returncode == 0, context.process.returncode
    log = (context.folder / "single.log").read_text()
    assert log == "", log
    assert not list_objects(context.single_fleet.client, DAEMONS, FRESH).unwrap().items


@when(
    "a daemon has read its settings with a grace period of 8 s, which becomes 1 s before it "
    "serves, {notice}"
)
def change_settings_during_start(context, notice):
    context.process = process = start_single_daemon(context, "on the platform", grace_seconds=8.0)
    # The daemon binds its socket for datagrams after it has read its settings, and before it
    # serves.
    wait_until_bound(context.single_host, PEER_PORT)
    suspend(process)
    change_grace(context.settings_path, "1000ms")
    if notice == "and SIGHUP says":
        process.send_signal(signal.SIGHUP)
    resume(process)
    wait_until(lambda: is_serving(context), START_SECONDS, "start of the daemon")
    gevent.sleep(1.5)


@when(
    "a daemon serves with a grace period of 8 s, and its file becomes unreadable text, and then "
    "says 1 s"
)
def change_settings_by_pieces(context):
    context.process = start_single_daemon(context, "on the platform", grace_seconds=8.0)
    wait_until(lambda: is_serving(context), START_SECONDS, "start of the daemon")
    gevent.sleep(1.5)
    path = context.settings_path
    text = path.read_text()
    for content in (text.encode()[:40], b"", b"Zone=\xc3", b"\xff\xfe\x00", b"Bounds.Grace=9e9s\n"):
        path.write_bytes(content)
        gevent.sleep(1.2)
    replace_file(path, text)
    change_grace(path, "1000ms")
    gevent.sleep(1.5)


def wait_until_bound(host, port):
    """Wait without pauses until a socket for datagrams is bound to an address."""
    # The kernel lists addresses as hexadecimal numbers in the byte order of the host.
    address_number = struct.unpack("=I", socket.inet_aton(host))[0]
    entry = f" {address_number:08X}:{port:04X} "
    ends_at = time.monotonic() + START_SECONDS
    while time.monotonic() < ends_at:
        if entry in Path("/proc/net/udp").read_text():
            return
        time.sleep(0.0002)
    raise TimeoutError("the daemon has bound no socket for datagrams")


@then("it stops within {seconds:g} seconds")
def check_stop_seconds(context, seconds):
    context.process.send_signal(signal.SIGTERM)
    wait_for_exit(context.process, seconds)
    assert context.process.returncode == 0, context.process.returncode


@when(
    "a daemon gets SIGTERM, SIGINT and SIGHUP every 5 ms until it is gone, while its grace period "
    "becomes 1 s and then 60 s"
)
def send_signals_during_stop(context):
    instance = list_instances(context, "catalogue")[0]
    path = context.platform_fleet.fleet.folder / f"{instance.name}.conf"
    context.process = process = instance.daemon
    context.answers = []
    context.failures = []
    callers = [gevent.spawn(call_until_gone, context, instance) for _ in range(CALLER_COUNT)]
    gevent.sleep(0.3)
    started_at = time.monotonic()
    graces = iter(["1000ms", "60000ms"])
    next_change_at = started_at + CHANGE_GAP_SECONDS
    while is_running(process):
        assert time.monotonic() - started_at < 2 * context.platform_fleet.grace_seconds
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            process.send_signal(number)
        if time.monotonic() >= next_change_at and (grace := next(graces, None)) is not None:
            change_grace(path, grace)
            next_change_at += CHANGE_GAP_SECONDS
        gevent.sleep(SIGNAL_GAP_SECONDS)
    context.stop_seconds = time.monotonic() - started_at
    gevent.joinall(callers, timeout=5.0)


def call_until_gone(context, instance):
    """Send requests on new connections until the process of the daemon is gone."""
    for number in itertools.count():
        try:
            service = SERVICES[number % len(SERVICES)]
            context.answers.append(send(instance, f"/{service}/x")[1].status)
        except ConnectionRefusedError:
            if not is_running(instance.daemon):
                return
        except OSError as error:
            context.failures.append(error)
        gevent.sleep(CALLER_PAUSE_SECONDS)


@then("each request that it read was answered")
def check_answers(context):
    assert not context.failures, context.failures
    assert len(context.answers) > CALLER_COUNT
    assert set(context.answers) <= {200, 503}, set(context.answers)


@then(
    "it has exited with code 0 after at least its linger time and before its grace period was over"
)
def check_stop_time(context):
    assert context.process.returncode == 0, context.process.returncode
    grace_seconds = context.platform_fleet.grace_seconds
    assert min(LINGER_SECONDS, 0.45 * grace_seconds) <= context.stop_seconds < grace_seconds, (
        context.stop_seconds
    )
