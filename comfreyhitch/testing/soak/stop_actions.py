"""Stop, reload and restart daemons and targets."""

from signal import SIGHUP

import gevent

from comfreyhitch.testing.platform_fleet import start_daemon, start_target
from comfreyhitch.testing.platform_models import PlatformInstance
from comfreyhitch.testing.processes import (
    INTERPRETER_START_SECONDS,
    get_processor_seconds,
    is_running,
    kill,
    stop_gracefully,
    wait_for_exit,
)
from comfreyhitch.testing.soak.plan import Fault
from comfreyhitch.testing.soak.state import FaultInjector, record_unexpected_exit

RESTART_DELAY_SECONDS = 0.3
RELOAD_WAIT_SECONDS = 0.2
MAX_STOP_SECONDS = 8.0
SIGNAL_GAPS_SECONDS = (0.0, 0.1, 0.3, 1.0, 2.0, 3.0)


def stop_daemon(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    """Stop a daemon, and start it again."""
    stop_gracefully(instance.daemon)
    _finish_stop(injector, instance)


def stop_twice(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    """Stop a daemon with two SIGTERM, and start it again."""
    stop_gracefully(instance.daemon)
    gevent.sleep(_get_signal_gap(fault))
    if is_running(instance.daemon):
        stop_gracefully(instance.daemon)
    _finish_stop(injector, instance)


def stop_and_reload(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    """Stop a daemon, send SIGHUP meanwhile, and start it again."""
    has_started = _handles_signals(instance)
    stop_gracefully(instance.daemon)
    gevent.sleep(_get_signal_gap(fault))
    if has_started and is_running(instance.daemon):
        instance.daemon.send_signal(SIGHUP)
    _finish_stop(injector, instance)


def stop_leaving(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    """Let a target leave, and stop its daemon meanwhile."""
    leaving = gevent.spawn(drain_target, injector, instance, fault)
    gevent.sleep(_get_signal_gap(fault))
    stop_daemon(injector, instance, fault)
    leaving.get()


def _get_signal_gap(fault: Fault) -> float:
    """Return the seconds between two signals of a fault."""
    return SIGNAL_GAPS_SECONDS[fault.selector // 8 % len(SIGNAL_GAPS_SECONDS)]


def _finish_stop(injector: FaultInjector, instance: PlatformInstance) -> None:
    """Wait for the end of a daemon that got SIGTERM, and start it again."""
    process = instance.daemon
    try:
        wait_for_exit(process, MAX_STOP_SECONDS)
    except TimeoutError:
        injector.unexpected_exits.append(
            f"{instance.name}: still running {MAX_STOP_SECONDS} s after SIGTERM"
        )
        kill(process)
    restart_daemon(injector, instance)


def reload_daemon(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    """Send SIGHUP to a daemon, also while it starts."""
    if _handles_signals(instance):
        instance.daemon.send_signal(SIGHUP)
    gevent.sleep(RELOAD_WAIT_SECONDS)


def _handles_signals(instance: PlatformInstance) -> bool:
    """Return whether the daemon runs its own code; before it does, SIGHUP would end it."""
    if not is_running(instance.daemon):
        return False
    return get_processor_seconds(instance.daemon) >= INTERPRETER_START_SECONDS


def drain_target(injector: FaultInjector, instance: PlatformInstance, fault: Fault) -> None:
    """Let a target leave, and start another one."""
    stop_gracefully(instance.target)
    # A draining target waits until its daemon acknowledges the drain. If the daemon is down,
    # the target is killed after the timeout.
    try:
        wait_for_exit(instance.target, MAX_STOP_SECONDS)
    except TimeoutError:
        kill(instance.target)
    restart_target(injector, instance)


def restart_daemon(injector: FaultInjector, instance: PlatformInstance) -> None:
    """Start a daemon whose process has ended, after a while."""
    record_unexpected_exit(injector, instance.name, instance.daemon)
    gevent.sleep(RESTART_DELAY_SECONDS)
    if not is_running(instance.daemon):
        start_daemon(injector.fleet, instance)


def restart_target(injector: FaultInjector, instance: PlatformInstance) -> None:
    """Start a target whose process has ended, after a while."""
    record_unexpected_exit(injector, instance.name, instance.target)
    gevent.sleep(RESTART_DELAY_SECONDS)
    if not is_running(instance.target):
        start_target(injector.fleet, instance)
