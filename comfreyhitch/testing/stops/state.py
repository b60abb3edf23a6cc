"""Hold the state of a run of stops."""

from dataclasses import dataclass, field

from comfreyhitch.testing.platform_models import PlatformFleet, PlatformInstance
from comfreyhitch.testing.stops.callers import Load
from comfreyhitch.testing.stops.checker import Findings
from comfreyhitch.testing.stops.records import Run, Stop


@dataclass(slots=True)
class StopRun:
    """Hold a run: the fleet, its load, and the stops so far."""

    fleet: PlatformFleet
    load: Load
    stops: list[Stop]
    runs_by_id: dict[str, list[Run]] = field(default_factory=dict)
    findings: Findings = field(default_factory=Findings)

    @property
    def instances(self) -> list[PlatformInstance]:
        """Return all instances in the order of their numbers."""
        return list(self.fleet.instances_by_name.values())
