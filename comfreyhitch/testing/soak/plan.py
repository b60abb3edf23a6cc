"""Draw the faults of one soak from its seed."""

from dataclasses import dataclass
from enum import StrEnum
from random import Random


class FaultKind(StrEnum):
    """Name what is done to the fleet."""

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
    # New kinds go to the end, so that an earlier seed can be run with the kinds of its time.
    LOSE_DATAGRAMS = "lose-datagrams"
    STEP_CLOCK = "step-clock"


PLANNED_KINDS = (
    FaultKind.STOP_DAEMON,
    FaultKind.RELOAD_DAEMON,
    FaultKind.DRAIN_TARGET,
    FaultKind.CHANGE_ROUTES,
    FaultKind.ZONE_OUT,
)
UNPLANNED_KINDS = tuple(kind for kind in FaultKind if kind not in PLANNED_KINDS)

# Planned work alone and all kinds together take turns, for this long each.
PHASE_SECONDS = 8.0
MEAN_PLANNED_GAP_SECONDS = 1.5
MEAN_GAP_SECONDS = 0.7
MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class Fault:
    """Hold one fault; `at_seconds` is seconds from the start, `selector` picks the instance."""

    at_seconds: float
    kind: FaultKind
    selector: int
    duration_seconds: float


def generate_fault_plan(seed: int, seconds: float, kind_count: int | None = None) -> list[Fault]:
    """Return the faults of a soak in order, of all kinds or of the first ones.

    The same seed gives the same faults with the same number of kinds.
    """
    random = Random(seed)
    kinds = tuple(FaultKind)[:kind_count]
    faults = []
    at_seconds = 1.0
    while at_seconds < seconds:
        is_planned_phase = int(at_seconds / PHASE_SECONDS) % 2 == 0
        kind = random.choice(PLANNED_KINDS if is_planned_phase else kinds)
        duration_seconds = random.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        if not is_planned_phase:
            # What begins late in this phase ends with it.
            duration_seconds = min(duration_seconds, PHASE_SECONDS - at_seconds % PHASE_SECONDS)
        faults.append(Fault(at_seconds, kind, random.randrange(1_000_000), duration_seconds))
        at_seconds += random.expovariate(
            1.0 / (MEAN_PLANNED_GAP_SECONDS if is_planned_phase else MEAN_GAP_SECONDS)
        )
    return faults
