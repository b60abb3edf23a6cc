"""Bring the faults of a plan about, from outside the programs."""

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from signal import SIGHUP
from subprocess import Popen
from time import time

import gevent
from geventhttpclient.response import HTTPParseError
from result import UnwrapError

from comfreyhitch.platform.client import delete_object
from comfreyhitch.platform.exceptions import PlatformFailure
from comfreyhitch.testing.fleet import (
    freeze,
    is_running,
    kill,
    request,
    resume,
    set_platform_faults,
    stop_gracefully,
    wait_for_end,
)
from comfreyhitch.testing.platform_fleet import (
    APP_PORT,
    PEER_PORT,
    PLATFORM_PORT,
    PlatformFleet,
    Sidecar,
    is_ready,
    make_configuration,
    set_relay,
    set_target_faults,
    start_daemon,
    start_target,
    write_configuration,
    write_document,
)
from comfreyhitch.testing.soak.plan import PLANNED_KINDS, Fault, FaultKind

RESTART_SECONDS = 0.3
RELOAD_SECONDS = 0.2
# A zone stays out for so much longer than targets there may still get work.
ZONE_OUT_SECONDS = 6.0
MAX_STOP_SECONDS = 8.0
LINK_PORTS = (APP_PORT, PEER_PORT, PLATFORM_PORT)
LINK_DELAY_SECONDS = 0.15
STORE_DELAY_SECONDS = 1.0
LOST_ANSWER_SHARE = 0.3
LOST_STORE_ANSWERS = 3


@dataclass(frozen=True, slots=True)
class Span:
    """Hold when something was under way; Unix seconds, and whose instance, if one's."""

    kind: FaultKind
    sidecar: str
    begun_at: float
    ended_at: float


@dataclass(slots=True)
class Injector:
    """Hold the fleet, what was done to it, and which processes it may miss just now."""

    fleet: PlatformFleet
    services: list[str]
    spans: list[Span] = field(default_factory=list)
    # Unix seconds at which the store took each version of the configuration.
    accepted_at_by_version: dict[int, float] = field(default_factory=dict)
    version: int = 1
    busy: set[str] = field(default_factory=set)
    # Ends of processes that nobody asked for, and those that were late.
    own_ends: list[str] = field(default_factory=list)


def inject(injector: Injector, fault: Fault) -> None:
    """Bring one fault about, and undo it when its time is over."""
    sidecars = list(injector.fleet.sidecars_by_name.values())
    sidecar = sidecars[fault.subject % len(sidecars)]
    key = _get_key(fault.kind, sidecar)
    if key in injector.busy or FaultKind.POWER_LOSS in injector.busy:
        return
    injector.busy.add(key)
    begun_at = time()
    try:
        _ACTIONS[fault.kind](injector, sidecar, fault)
    finally:
        injector.busy.discard(key)
        injector.spans.append(Span(fault.kind, sidecar.name, begun_at, time()))


def is_unplanned(span: Span) -> bool:
    """Return whether a fault is more than planned work."""
    return span.kind not in PLANNED_KINDS


def restore(injector: Injector) -> None:
    """Undo what still stands, and start what does not run."""
    set_platform_faults(injector.fleet.fleet, is_down=False, delay_seconds=0.0, lost_answers=0)
    for sidecar in injector.fleet.sidecars_by_name.values():
        set_relay(sidecar, is_return_cut=False, delay_seconds=0.0)
        for process, start in ((sidecar.daemon, start_daemon), (sidecar.target, start_target)):
            if is_running(process):
                resume(process)
            else:
                note_end(injector, sidecar.name, process)
                start(injector.fleet, sidecar)
        set_target_faults_if_up(sidecar, lost_answer_share=0.0)


def set_target_faults_if_up(sidecar: Sidecar, **faults: object) -> None:
    """Change the faults of a target unless it is down, which forgets them anyway."""
    with suppress(OSError, HTTPParseError):
        set_target_faults(sidecar, **faults)


def _get_key(kind: FaultKind, sidecar: Sidecar) -> str:
    """Return what a fault needs for itself alone while it lasts."""
    name = kind.value
    if name.startswith("store-") or kind in (FaultKind.CHANGE_ROUTES, FaultKind.POWER_LOSS):
        return kind.value
    if kind is FaultKind.ZONE_OUT:
        return kind.value
    part = "daemon" if name.endswith("daemon") else "target" if name.endswith("target") else name
    return f"{sidecar.name} {part}"


def _stop_daemon(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    process = sidecar.daemon
    stop_gracefully(process)
    try:
        wait_for_end(process, MAX_STOP_SECONDS)
    except TimeoutError:
        injector.own_ends.append(f"{sidecar.name}: still ran {MAX_STOP_SECONDS} s after a stop")
        kill(process)
    _start_daemon_again(injector, sidecar)


def _reload_daemon(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    if is_running(sidecar.daemon) and _is_listening(sidecar):
        sidecar.daemon.send_signal(SIGHUP)
    gevent.sleep(RELOAD_SECONDS)


def _is_listening(sidecar: Sidecar) -> bool:
    """Return whether the daemon has started; before that a signal would end it."""
    try:
        is_ready(sidecar)
    except (OSError, HTTPParseError):
        return False
    return True


def _drain_target(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    stop_gracefully(sidecar.target)
    # A target whose daemon is away waits for the acknowledgement, and is ended at last.
    try:
        wait_for_end(sidecar.target, MAX_STOP_SECONDS)
    except TimeoutError:
        kill(sidecar.target)
    _start_target_again(injector, sidecar)


def _kill_daemon(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    kill(sidecar.daemon)
    _start_daemon_again(injector, sidecar)


def _kill_target(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    kill(sidecar.target)
    _start_target_again(injector, sidecar)


def _start_daemon_again(injector: Injector, sidecar: Sidecar) -> None:
    note_end(injector, sidecar.name, sidecar.daemon)
    gevent.sleep(RESTART_SECONDS)
    if not is_running(sidecar.daemon):
        start_daemon(injector.fleet, sidecar)


def _start_target_again(injector: Injector, sidecar: Sidecar) -> None:
    note_end(injector, sidecar.name, sidecar.target)
    gevent.sleep(RESTART_SECONDS)
    if not is_running(sidecar.target):
        start_target(injector.fleet, sidecar)


def note_end(injector: Injector, name: str, process: Popen) -> None:
    """Note a process that ended by itself; one that a signal ended was ended by the soak."""
    if not is_running(process) and process.returncode > 0:
        injector.own_ends.append(f"{name}: {process.args[2]} ended with {process.returncode}")


def _pause_daemon(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    _pause(sidecar.daemon, fault.seconds)


def _pause_target(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    _pause(sidecar.target, fault.seconds)


def _pause(process: Popen, seconds: float) -> None:
    freeze(process)
    gevent.sleep(seconds)
    if is_running(process):
        resume(process)


def _change_routes(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    """Add a route of the next version, and drop that of the version before."""
    version = injector.version + 1
    content = make_configuration(version, injector.services)
    first = content["Routes"][0]
    content["Routes"].append({**first, "Name": f"r-v{version}", "Prefix": f"/v{version}/"})
    # Operators keep trying while the store is away.
    while True:
        try:
            write_configuration(injector.fleet, content)
            break
        except UnwrapError:
            gevent.sleep(0.2)
    injector.version = version
    injector.accepted_at_by_version[version] = time()


def _zone_out(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    try:
        write_document(injector.fleet, "evacuations", sidecar.zone, {})
    except UnwrapError:
        return
    gevent.sleep(ZONE_OUT_SECONDS + fault.seconds)
    while not _is_deleted(injector, sidecar.zone):
        gevent.sleep(0.2)


def _is_deleted(injector: Injector, zone: str) -> bool:
    """Delete the order that a zone is out; return whether it is gone, by this call or before."""
    deleted = delete_object(injector.fleet.client, "evacuations", zone)
    return deleted.is_ok() or deleted.err_value.failure is PlatformFailure.NOT_FOUND


def _silence_link(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    set_relay(sidecar, port=_get_port(fault), silence=True)


def _reset_link(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    set_relay(sidecar, port=_get_port(fault), reset=True)


def _delay_link(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    set_relay(sidecar, port=_get_port(fault), delay_seconds=LINK_DELAY_SECONDS)
    gevent.sleep(fault.seconds)
    set_relay(sidecar, port=_get_port(fault), delay_seconds=0.0)


def _cut_return(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    set_relay(sidecar, port=_get_port(fault), is_return_cut=True)
    gevent.sleep(fault.seconds)
    set_relay(sidecar, port=_get_port(fault), is_return_cut=False)


def _get_port(fault: Fault) -> int:
    return LINK_PORTS[fault.subject % len(LINK_PORTS)]


def _store_down(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    set_platform_faults(injector.fleet.fleet, is_down=True)
    gevent.sleep(fault.seconds)
    set_platform_faults(injector.fleet.fleet, is_down=False)


def _store_slow(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    set_platform_faults(injector.fleet.fleet, delay_seconds=STORE_DELAY_SECONDS)
    gevent.sleep(fault.seconds)
    set_platform_faults(injector.fleet.fleet, delay_seconds=0.0)


def _store_loses_answers(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    set_platform_faults(injector.fleet.fleet, lost_answers=LOST_STORE_ANSWERS)


def _store_forgets(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    host = injector.fleet.fleet.platform_url.removeprefix("http://").partition(":")[0]
    request(host, "/_standin/compact", method="POST", port=PLATFORM_PORT)


def _lose_answers(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    set_target_faults_if_up(sidecar, lost_answer_share=LOST_ANSWER_SHARE)
    gevent.sleep(fault.seconds)
    set_target_faults_if_up(sidecar, lost_answer_share=0.0)


def _power_loss(injector: Injector, sidecar: Sidecar, fault: Fault) -> None:
    sidecars = list(injector.fleet.sidecars_by_name.values())
    for item in sidecars:
        kill(item.daemon)
        kill(item.target)
    gevent.sleep(RESTART_SECONDS)
    for item in sidecars:
        if not is_running(item.daemon):
            start_daemon(injector.fleet, item)
        if not is_running(item.target):
            start_target(injector.fleet, item)


_ACTIONS: dict[FaultKind, Callable[[Injector, Sidecar, Fault], None]] = {
    FaultKind.STOP_DAEMON: _stop_daemon,
    FaultKind.RELOAD_DAEMON: _reload_daemon,
    FaultKind.DRAIN_TARGET: _drain_target,
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
    FaultKind.STORE_DOWN: _store_down,
    FaultKind.STORE_SLOW: _store_slow,
    FaultKind.STORE_LOSES_ANSWERS: _store_loses_answers,
    FaultKind.STORE_FORGETS: _store_forgets,
    FaultKind.LOSE_ANSWERS: _lose_answers,
    FaultKind.POWER_LOSS: _power_loss,
}
