"""State of the stand-in for a platform target."""

import time
from dataclasses import dataclass, field
from random import Random

from gevent.lock import BoundedSemaphore

USUAL_PACE_PERCENT = 100


@dataclass(slots=True)
class TargetFaults:
    """Hold the injected faults of a target, which can be changed while it runs."""

    failure_share: float = 0.0
    lost_answer_share: float = 0.0
    pace: int = USUAL_PACE_PERCENT
    crash_path: str = ""
    # The rate limit that every response names, as text; none if empty.
    rate_limit: str = ""
    # Whether every response says that the target is leaving.
    is_leaving: bool = False


@dataclass(slots=True)
class PlatformTarget:
    """Hold the state of one target incarnation."""

    instance_id: str
    service: str
    version: str
    zone: str
    address: str
    slots: int
    work_seconds: float
    cold_seconds: float
    cold_per_second: float
    start_time_ms: int
    run_log: int | None
    end_log: int | None
    random: Random
    slot_semaphore: BoundedSemaphore
    sequence: int = 0
    waiting: int = 0
    running: int = 0
    is_draining: bool = False
    # Whether a target that leaves ends only once it has no more requests.
    is_finishing_work: bool = False
    cold_arrival_times: list[float] = field(default_factory=list)
    faults: TargetFaults = field(default_factory=TargetFaults)

    @property
    def cold_left_ms(self) -> int:
        """Return the remaining milliseconds of the cold start, or 0 after it."""
        return max(0, int(self.start_time_ms + self.cold_seconds * 1000 - time.time() * 1000))
