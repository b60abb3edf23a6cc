"""Inject each kind of fault from outside the processes, and undo it."""

from collections.abc import Callable
from contextlib import suppress
from subprocess import Popen
from time import time

import gevent
from geventhttpclient.response import HTTPParseError
from result import UnwrapError

from comfreyhitch.platform.client import delete_object
from comfreyhitch.platform.exceptions import PlatformFailure
from comfreyhitch.testing.fleet import (
    set_platform_faults,
)
from comfreyhitch.testing.http_requests import (
    request,
)
from comfreyhitch.testing.operator_documents import (
    make_configuration,
    write_configuration,
    write_document,
)
from comfreyhitch.testing.platform_faults import (
    set_clock_offset,
    set_relay_faults,
    set_target_faults,
)
from comfreyhitch.testing.platform_fleet import (
    PLATFORM_PORT,
    start_daemon,
    start_target,
)
from comfreyhitch.testing.platform_models import (
    APP_PORT,
    PEER_PORT,
    PlatformInstance,
)
from comfreyhitch.testing.processes import (
    is_running,
    kill,
    resume,
    suspend,
)
from comfreyhitch.testing.soak.plan import Fault, FaultKind
from comfreyhitch.testing.soak.state import FaultInjector
from comfreyhitch.testing.soak.stop_actions import (
    RESTART_DELAY_SECONDS,
    drain_target,
    reload_daemon,
    restart_daemon,
    restart_target,
    stop_and_reload,
    stop_daemon,
    stop_leaving,
    stop_twice,
)

# Time for which a zone stays out, in addition to the fault's duration. It exceeds the time
# for which targets may still get requests after their zone is out.
ZONE_OUT_SECONDS = 6.0
LINK_PORTS = (APP_PORT, PEER_PORT, PLATFORM_PORT)
LINK_DELAY_SECONDS = 0.15
STORE_DELAY_SECONDS = 1.0
LOST_RESPONSE_SHARE = 0.3
DATAGRAM_LOSS_SHARE = 0.5
CLOCK_STEP_SECONDS = 30.0
LOST_STORE_RESPONSE_COUNT = 3


def set_target_faults_if_up(instance: PlatformInstance, **faults: object) -> None:
    """Change the faults of a target, unless it is down: it then restarts without faults."""
    with suppress(OSError, HTTPParseError):
        set_target_faults(instance, **faults)


def _kill_daemon(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    kill(instance.daemon)
    restart_daemon(injector, instance)


def _kill_target(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    kill(instance.target)
    restart_target(injector, instance)


def _pause_daemon(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    _pause(instance.daemon, fault.duration_seconds)


def _pause_target(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    _pause(instance.target, fault.duration_seconds)


def _pause(process: Popen, seconds: float) -> None:
    suspend(process)
    gevent.sleep(seconds)
    if is_running(process):
        resume(process)


def _change_routes(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    """Add a route named after the next version, and remove that of the current version."""
    version = injector.version + 1
    content = make_configuration(version, injector.services)
    first = content["Routes"][0]
    content["Routes"].append({**first, "Name": f"r-v{version}", "Prefix": f"/v{version}/"})
    # Operators retry while the store is unreachable.
    while True:
        try:
            write_configuration(injector.fleet, content)
            break
        except UnwrapError:
            gevent.sleep(0.2)
    injector.version = version
    injector.accepted_at_by_version[version] = time()


def _zone_out(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    try:
        write_document(injector.fleet, "evacuations", instance.zone, {})
    except UnwrapError:
        return
    gevent.sleep(ZONE_OUT_SECONDS + fault.duration_seconds)
    while not _is_deleted(injector, instance.zone):
        gevent.sleep(0.2)


def _is_deleted(injector: FaultInjector, zone: str) -> bool:
    """Delete the evacuation order of a zone; return whether the order no longer exists."""
    deleted = delete_object(injector.fleet.client, "evacuations", zone)
    return deleted.is_ok() or deleted.err_value.failure is PlatformFailure.NOT_FOUND


def _silence_link(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    set_relay_faults(instance, port=_get_port(fault), silence=True)


def _reset_link(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    set_relay_faults(instance, port=_get_port(fault), reset=True)


def _delay_link(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    set_relay_faults(instance, port=_get_port(fault), delay_seconds=LINK_DELAY_SECONDS)
    gevent.sleep(fault.duration_seconds)
    set_relay_faults(instance, port=_get_port(fault), delay_seconds=0.0)


def _cut_return(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    set_relay_faults(instance, port=_get_port(fault), is_return_cut=True)
    gevent.sleep(fault.duration_seconds)
    set_relay_faults(instance, port=_get_port(fault), is_return_cut=False)


def _lose_datagrams(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    set_relay_faults(instance, port=PEER_PORT, datagram_loss=DATAGRAM_LOSS_SHARE)
    gevent.sleep(fault.duration_seconds)
    set_relay_faults(instance, port=PEER_PORT, datagram_loss=0.0)


def _step_clock(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    is_ahead = fault.selector % 2 == 0
    set_clock_offset(instance, CLOCK_STEP_SECONDS if is_ahead else -CLOCK_STEP_SECONDS)
    gevent.sleep(fault.duration_seconds)
    set_clock_offset(instance, 0.0)


def _get_port(fault: Fault) -> int:
    return LINK_PORTS[fault.selector % len(LINK_PORTS)]


def _store_down(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    set_platform_faults(injector.fleet.fleet, is_down=True)
    gevent.sleep(fault.duration_seconds)
    set_platform_faults(injector.fleet.fleet, is_down=False)


def _store_slow(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    set_platform_faults(injector.fleet.fleet, delay_seconds=STORE_DELAY_SECONDS)
    gevent.sleep(fault.duration_seconds)
    set_platform_faults(injector.fleet.fleet, delay_seconds=0.0)


def _store_loses_answers(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    set_platform_faults(injector.fleet.fleet, lost_answers=LOST_STORE_RESPONSE_COUNT)


def _store_forgets(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    host = injector.fleet.fleet.platform_url.removeprefix("http://").partition(":")[0]
    request(host, "/_standin/compact", method="POST", port=PLATFORM_PORT)


def _lose_answers(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    set_target_faults_if_up(instance, lost_answer_share=LOST_RESPONSE_SHARE)
    gevent.sleep(fault.duration_seconds)
    set_target_faults_if_up(instance, lost_answer_share=0.0)


def _power_loss(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    instances = list(injector.fleet.instances_by_name.values())
    for item in instances:
        kill(item.daemon)
        kill(item.target)
    gevent.sleep(RESTART_DELAY_SECONDS)
    for item in instances:
        if not is_running(item.daemon):
            start_daemon(injector.fleet, item)
        if not is_running(item.target):
            start_target(injector.fleet, item)


ACTIONS_BY_KIND: dict[FaultKind, Callable[[FaultInjector, PlatformInstance, Fault], None]] = {
    FaultKind.STOP_DAEMON: stop_daemon,
    FaultKind.RELOAD_DAEMON: reload_daemon,
    FaultKind.DRAIN_TARGET: drain_target,
    FaultKind.CHANGE_ROUTES: _change_routes,
    FaultKind.ZONE_OUT: _zone_out,
    FaultKind.KILL_DAEMON: _kill_daemon,
    FaultKind.PAUSE_DAEMON: _pause_daemon,
    FaultKind.KILL_TARGET: _kill_target,
    FaultKind.PAUSE_TARGET: _pause_target,
    FaultKind.SILENCE_LINK: _silence_link,
    FaultKind.RESET_LINK: _reset_link,
    FaultKind.DELAY_LINK: _delay_link,
    FaultKind.CUT_RETURN: _cut_return,
    FaultKind.LOSE_DATAGRAMS: _lose_datagrams,
    FaultKind.STEP_CLOCK: _step_clock,
    FaultKind.STOP_TWICE: stop_twice,
    FaultKind.STOP_AND_RELOAD: stop_and_reload,
    FaultKind.STOP_LEAVING: stop_leaving,
    FaultKind.STORE_DOWN: _store_down,
    FaultKind.STORE_SLOW: _store_slow,
    FaultKind.STORE_LOSES_ANSWERS: _store_loses_answers,
    FaultKind.STORE_FORGETS: _store_forgets,
    FaultKind.LOSE_ANSWERS: _lose_answers,
    FaultKind.POWER_LOSS: _power_loss,
}
