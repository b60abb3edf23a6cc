"""What a soak does and has done to its fleet."""

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
    """Hold when something was under way; Unix seconds, and whose instance, if one's."""

    kind: FaultKind
    instance_name: str
    started_at: float
    ended_at: float


@dataclass(slots=True)
class FaultInjector:
    """Hold the fleet, what was done to it, and which processes it may miss just now."""

    fleet: PlatformFleet
    services: list[str]
    spans: list[FaultSpan] = field(default_factory=list)
    # Unix seconds at which the store took each version of the configuration.
    accepted_at_by_version: dict[int, float] = field(default_factory=dict)
    version: int = 1
    active_fault_keys: set[str] = field(default_factory=set)
    # Ends of processes that nobody asked for, and those that were late.
    unexpected_exits: list[str] = field(default_factory=list)


def is_unplanned(span: FaultSpan) -> bool:
    """Return whether a fault is more than planned work."""
    return span.kind not in PLANNED_KINDS


def record_unexpected_exit(injector: FaultInjector, name: str, process: Popen) -> None:
    """Note a process that ended by itself; one that a signal ended was ended by the soak."""
    if not is_running(process) and process.returncode > 0:
        injector.unexpected_exits.append(
            f"{name}: {process.args[2]} ended with {process.returncode}"
        )
