"""Stop one daemon with the signals of its plan, and start it again."""

import signal
import time

import gevent

from comfreyhitch.testing.operator_documents import make_configuration, write_configuration
from comfreyhitch.testing.platform_fleet import is_ready, start_daemon, start_target
from comfreyhitch.testing.platform_models import PlatformInstance
from comfreyhitch.testing.processes import (
    is_running,
    kill,
    read_processor_wait,
    stop_gracefully,
    wait_for_exit,
    wait_until,
)
from comfreyhitch.testing.stops.callers import LONG_SERVICE, ROUTE_TIMEOUT_SECONDS, SHORT_SERVICE
from comfreyhitch.testing.stops.plan import StopKind, StopStep
from comfreyhitch.testing.stops.records import SentSignal, Stop
from comfreyhitch.testing.stops.series import PlannedSignal
from comfreyhitch.testing.stops.state import StopRun

LONG_OBJECTIVE_SECONDS = 4.0
READY_TIMEOUT_SECONDS = 20.0
# A target that has not left after this time, its requests included, is killed.
LEAVE_TIMEOUT_SECONDS = 20.0
# The platform kills a process at the end of the grace period. This process waits a little longer,
# so that only a late end, and not its own lateness, leads to a kill.
KILL_MARGIN_SECONDS = 0.5
# From this share of the grace period on, waits for a processor delay the end of a process.
LAST_SIXTH_SHARE = 5 / 6
POLL_SECONDS = 0.02
EVENT_KILLED = "killed"
EVENT_TARGET_KILLED = "target killed"


def stop_and_start(
    run: StopRun, instance: PlatformInstance, step: StopStep, series: tuple[PlannedSignal, ...]
) -> None:
    """Stop a daemon, wait for the end of its process, and start it again."""
    leaving = None
    if step.kind is StopKind.LEAVING_TARGET:
        leaving = gevent.spawn_later(max(0.0, step.event_seconds), _leave, run, instance)
        gevent.sleep(max(0.0, -step.event_seconds))
    stop = Stop(instance.name, time.time(), events=(str(step.kind),))
    event_seconds = max(0.0, step.event_seconds)
    event = gevent.spawn_later(event_seconds, _cause_event, run, instance, step, stop)
    sender = gevent.spawn(_send_series, instance, series, stop)
    _end_process(run, instance, stop)
    gevent.killall([event, sender])
    start_daemon(run.fleet, instance)
    wait_until(lambda: is_ready(instance), READY_TIMEOUT_SECONDS, f"{instance.name} is ready")
    run.load.up_names.add(instance.name)
    if leaving is not None and leaving.get():
        stop.events = (*stop.events, EVENT_TARGET_KILLED)


def make_stop_configuration(version: int) -> dict:
    """Return the configuration of a version, with a route of its own."""
    content = make_configuration(version, [SHORT_SERVICE, LONG_SERVICE])
    for route in content["Routes"]:
        route["Timeout"] = f"{round(ROUTE_TIMEOUT_SECONDS * 1000)}ms"
        if route["Service"] == LONG_SERVICE:
            route["Slo"] = f"{round(LONG_OBJECTIVE_SECONDS * 1000)}ms"
    added = {**content["Routes"][0], "Name": f"r-{version}", "Prefix": f"/new-{version}/"}
    content["Routes"].append(added)
    return content


def _send_series(instance: PlatformInstance, series: tuple[PlannedSignal, ...], stop: Stop) -> None:
    for planned in series:
        gevent.sleep(max(0.0, stop.terminated_at + planned.at_seconds - time.time()))
        _send_signal(instance, planned.signal, stop)


def _send_signal(instance: PlatformInstance, number: signal.Signals, stop: Stop) -> None:
    """Send and record a signal, unless the process has ended."""
    if is_running(instance.daemon):
        stop.signals.append(SentSignal(number.name, time.time()))
        instance.daemon.send_signal(number)


def _end_process(run: StopRun, instance: PlatformInstance, stop: Stop) -> None:
    """Wait for the end of a process; kill it after the grace period, as the platform does."""
    process = instance.daemon
    grace = run.fleet.grace_seconds
    last_sixth_at = stop.terminated_at + LAST_SIXTH_SHARE * grace
    killed_at = stop.terminated_at + grace + KILL_MARGIN_SECONDS
    waited_before = 0.0
    polled_at = time.time()
    while is_running(process):
        now = time.time()
        killed_at += max(0.0, now - polled_at - 2 * POLL_SECONDS)
        polled_at = now
        waited = read_processor_wait(process)
        if now < last_sixth_at:
            waited_before = waited
        stop.waited_seconds = max(stop.waited_seconds, waited - waited_before)
        if now > killed_at + stop.waited_seconds:
            stop.events = (*stop.events, EVENT_KILLED)
            kill(process)
        gevent.sleep(POLL_SECONDS)
    stop.exited_at, stop.exit_code = time.time(), process.returncode
    run.load.up_names.discard(instance.name)
    run.stops.append(stop)


def _leave(run: StopRun, instance: PlatformInstance) -> bool:
    """Let a target leave, and start another one; return whether it had to be killed."""
    process = instance.target
    stop_gracefully(process)
    try:
        wait_for_exit(process, LEAVE_TIMEOUT_SECONDS)
        is_killed = False
    except TimeoutError:
        kill(process)
        is_killed = True
    start_target(run.fleet, instance)
    return is_killed


def _cause_event(run: StopRun, instance: PlatformInstance, step: StopStep, stop: Stop) -> None:
    match step.kind:
        case StopKind.SECOND_TERM:
            _send_signal(instance, signal.SIGTERM, stop)
        case StopKind.HANGUP:
            _send_signal(instance, signal.SIGHUP, stop)
        case StopKind.CONFIGURATION if is_running(instance.daemon):
            version = run.fleet.configuration["Version"] + 1
            write_configuration(run.fleet, make_stop_configuration(version))
