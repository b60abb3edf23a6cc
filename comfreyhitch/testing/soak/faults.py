"""Inject the faults of a plan, and restore the fleet after the last one."""

from time import time

from comfreyhitch.testing.fleet import (
    set_platform_faults,
)
from comfreyhitch.testing.platform_faults import (
    set_clock_offset,
    set_relay,
)
from comfreyhitch.testing.platform_fleet import (
    start_daemon,
    start_target,
)
from comfreyhitch.testing.platform_models import (
    Sidecar,
)
from comfreyhitch.testing.processes import (
    is_running,
    resume,
)
from comfreyhitch.testing.soak.actions import ACTIONS, set_target_faults_if_up
from comfreyhitch.testing.soak.plan import Fault, FaultKind
from comfreyhitch.testing.soak.state import Injector, Span, note_end


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
        ACTIONS[fault.kind](injector, sidecar, fault)
    finally:
        injector.busy.discard(key)
        injector.spans.append(Span(fault.kind, sidecar.name, begun_at, time()))


def restore(injector: Injector) -> None:
    """Undo what still stands, and start what does not run."""
    set_platform_faults(injector.fleet.fleet, is_down=False, delay_seconds=0.0, lost_answers=0)
    for sidecar in injector.fleet.sidecars_by_name.values():
        set_relay(sidecar, is_return_cut=False, delay_seconds=0.0, datagram_loss=0.0)
        set_clock_offset(sidecar, 0.0)
        for process, start in ((sidecar.daemon, start_daemon), (sidecar.target, start_target)):
            if is_running(process):
                resume(process)
            else:
                note_end(injector, sidecar.name, process)
                start(injector.fleet, sidecar)
        set_target_faults_if_up(sidecar, lost_answer_share=0.0)


def _get_key(kind: FaultKind, sidecar: Sidecar) -> str:
    """Return what a fault needs for itself alone while it lasts."""
    name = kind.value
    if name.startswith("store-") or kind in (FaultKind.CHANGE_ROUTES, FaultKind.POWER_LOSS):
        return kind.value
    if kind is FaultKind.ZONE_OUT:
        return kind.value
    part = "daemon" if name.endswith("daemon") else "target" if name.endswith("target") else name
    return f"{sidecar.name} {part}"
