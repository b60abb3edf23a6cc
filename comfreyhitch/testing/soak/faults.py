"""Inject the faults of a plan, and restore the fleet after the last one."""

from time import time

from comfreyhitch.testing.fleet import (
    set_platform_faults,
)
from comfreyhitch.testing.platform_faults import (
    set_clock_offset,
    set_relay_faults,
)
from comfreyhitch.testing.platform_fleet import (
    start_daemon,
    start_target,
)
from comfreyhitch.testing.platform_models import (
    PlatformInstance,
)
from comfreyhitch.testing.processes import (
    is_running,
    resume,
)
from comfreyhitch.testing.soak.actions import ACTIONS_BY_KIND, set_target_faults_if_up
from comfreyhitch.testing.soak.plan import Fault, FaultKind
from comfreyhitch.testing.soak.state import FaultInjector, FaultSpan, record_unexpected_exit


def inject_fault(injector: FaultInjector, fault: Fault) -> None:
    """Inject one fault, and undo it after its duration; skip it during a conflicting fault."""
    instances = list(injector.fleet.instances_by_name.values())
    instance = instances[fault.selector % len(instances)]
    keys = _get_exclusion_keys(fault.kind, instance)
    if injector.active_fault_keys & {*keys, FaultKind.POWER_LOSS.value}:
        return
    injector.active_fault_keys |= keys
    started_at = time()
    try:
        ACTIONS_BY_KIND[fault.kind](injector, instance, fault)
    finally:
        injector.active_fault_keys -= keys
        injector.spans.append(FaultSpan(fault.kind, instance.name, started_at, time()))


def restore_fleet(injector: FaultInjector) -> None:
    """Undo all faults, and start the processes that are not running."""
    set_platform_faults(injector.fleet.fleet, is_down=False, delay_seconds=0.0, lost_answers=0)
    for instance in injector.fleet.instances_by_name.values():
        set_relay_faults(instance, is_return_cut=False, delay_seconds=0.0, datagram_loss=0.0)
        set_clock_offset(instance, 0.0)
        for process, start in ((instance.daemon, start_daemon), (instance.target, start_target)):
            if is_running(process):
                resume(process)
            else:
                record_unexpected_exit(injector, instance.name, process)
                start(injector.fleet, instance)
        set_target_faults_if_up(instance, lost_answer_share=0.0)


def _get_exclusion_keys(kind: FaultKind, instance: PlatformInstance) -> set[str]:
    """Return the keys of a fault; faults with a key in common are never in progress together."""
    name = kind.value
    if name.startswith("store-") or kind in (FaultKind.CHANGE_ROUTES, FaultKind.POWER_LOSS):
        return {kind.value}
    if kind is FaultKind.ZONE_OUT:
        return {kind.value}
    if kind is FaultKind.STOP_LEAVING:
        return {f"{instance.name} daemon", f"{instance.name} target"}
    part = "daemon" if name.endswith("daemon") else "target" if name.endswith("target") else name
    return {f"{instance.name} {part}"}
