"""Hold the state of a soak's fault injection."""

from dataclasses import dataclass, field
from subprocess import Popen

from comfreyhitch.testing.platform_models import (
    PlatformFleet,
)
from comfreyhitch.testing.processes import (
    is_running,
)
from comfreyhitch.testing.soak.plan import PLANNED_KINDS, FaultKind


@dataclass(frozen=True, slots=True)
class FaultSpan:
    """Hold the time span of a fault in Unix seconds, and the instance chosen for it.

    A fault of the store or of the whole fleet does not affect that instance in particular.
    """

    kind: FaultKind
    instance_name: str
    started_at: float
    ended_at: float


@dataclass(slots=True)
class FaultInjector:
    """Hold the fleet, the faults that were injected, and those in progress."""

    fleet: PlatformFleet
    services: list[str]
    spans: list[FaultSpan] = field(default_factory=list)
    # Unix seconds at which the store accepted each version of the configuration.
    accepted_at_by_version: dict[int, float] = field(default_factory=dict)
    version: int = 1
    active_fault_keys: set[str] = field(default_factory=set)
    # Exits that the soak did not cause, and processes that did not exit in time after a stop.
    unexpected_exits: list[str] = field(default_factory=list)


def is_unplanned(span: FaultSpan) -> bool:
    """Return whether a fault is not a planned operation."""
    return span.kind not in PLANNED_KINDS


def record_unexpected_exit(injector: FaultInjector, name: str, process: Popen) -> None:
    """Record a process that exited with an error code; exits by signal are caused by the soak."""
    if not is_running(process) and process.returncode > 0:
        injector.unexpected_exits.append(
            f"{name}: {process.args[2]} exited with {process.returncode}"
        )
