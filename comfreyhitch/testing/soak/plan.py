"""Generate the faults of one soak from its seed."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random


class FaultKind(StrEnum):
    """Enumerate the faults and planned operations on a fleet."""

    STOP_DAEMON = "stop-daemon"
    RELOAD_DAEMON = "reload-daemon"
    DRAIN_TARGET = "drain-target"
    CHANGE_ROUTES = "change-routes"
    ZONE_OUT = "zone-out"
    KILL_DAEMON = "kill-daemon"
    PAUSE_DAEMON = "pause-daemon"
    KILL_TARGET = "kill-target"
    PAUSE_TARGET = "pause-target"
    SILENCE_LINK = "silence-link"
    RESET_LINK = "reset-link"
    DELAY_LINK = "delay-link"
    CUT_RETURN = "cut-return"
    STORE_DOWN = "store-down"
    STORE_SLOW = "store-slow"
    STORE_LOSES_ANSWERS = "store-loses-answers"
    STORE_FORGETS = "store-forgets"
    LOSE_ANSWERS = "lose-answers"
    POWER_LOSS = "power-loss"
    # New kinds are added at the end, so that an earlier seed can be repeated with only the
    # kinds that existed then.
    LOSE_DATAGRAMS = "lose-datagrams"
    STEP_CLOCK = "step-clock"
    STOP_TWICE = "stop-twice-daemon"
    STOP_AND_RELOAD = "stop-and-reload-daemon"
    STOP_LEAVING = "stop-leaving-daemon"


PLANNED_KINDS = (
    FaultKind.STOP_DAEMON,
    FaultKind.RELOAD_DAEMON,
    FaultKind.DRAIN_TARGET,
    FaultKind.CHANGE_ROUTES,
    FaultKind.ZONE_OUT,
    FaultKind.STOP_TWICE,
    FaultKind.STOP_AND_RELOAD,
    FaultKind.STOP_LEAVING,
)
# All that send SIGTERM to a daemon.
STOP_KINDS = (
    FaultKind.STOP_DAEMON,
    FaultKind.STOP_TWICE,
    FaultKind.STOP_AND_RELOAD,
    FaultKind.STOP_LEAVING,
)
UNPLANNED_KINDS = tuple(kind for kind in FaultKind if kind not in PLANNED_KINDS)

# Length of a phase. Phases with planned operations only alternate with phases of all kinds.
PHASE_SECONDS = 8.0
MEAN_PLANNED_GAP_SECONDS = 1.5
MEAN_GAP_SECONDS = 0.7
MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class Fault:
    """Hold one fault.

    `at_seconds` counts from the start of the soak. `selector` is a random number that picks
    the fault's instance, the relayed port, the direction of a clock step and the time between
    two signals.
    """

    at_seconds: float
    kind: FaultKind
    selector: int
    duration_seconds: float


def generate_fault_plan(seed: int, seconds: float, kind_count: int | None = None) -> list[Fault]:
    """Return the faults of a soak in order of time, of all kinds or of the first `kind_count`.

    The same seed and number of kinds give the same faults.
    """
    random = Random(seed)
    kinds = tuple(FaultKind)[:kind_count]
    planned_kinds = [kind for kind in PLANNED_KINDS if kind in kinds]
    faults = []
    at_seconds = 1.0
    while at_seconds < seconds:
        is_planned_phase = int(at_seconds / PHASE_SECONDS) % 2 == 0
        kind = random.choice(planned_kinds if is_planned_phase else kinds)
        duration_seconds = random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        if not is_planned_phase:
            # A fault that starts late in this phase ends with the phase.
            duration_seconds = min(duration_seconds, PHASE_SECONDS - at_seconds % PHASE_SECONDS)
        faults.append(Fault(at_seconds, kind, random.randrange(1_000_000), duration_seconds))
        at_seconds += random.expovariate(
            1.0 / (MEAN_PLANNED_GAP_SECONDS if is_planned_phase else MEAN_GAP_SECONDS)
        )
    return faults
