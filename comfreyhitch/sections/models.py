"""Sections of the operators' document, as daemons hold them."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import IntEnum, StrEnum

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


class TrafficClass(IntEnum):
    """Order requests by importance; the lowest is shed first."""

    BACKGROUND = 0
    NORMAL = 1
    CRITICAL = 2


class ZoneState(StrEnum):
    """Say whether an availability zone takes new work."""

    IN = "in"
    OUT = "out"


@dataclass(frozen=True, slots=True)
class RoutePolicy:
    """Hold how requests of one path prefix are treated."""

    path: str
    methods: frozenset[str]
    idempotent: bool | None
    traffic_class: TrafficClass


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """Hold which version a service moves to, from when, and by when."""

    rollout_id: str
    service: str
    from_version: str
    to_version: str
    starts_at: datetime
    finish_by: datetime


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Hold what the document says about one service."""

    name: str
    hosts: tuple[str, ...] = ()
    routes: tuple[RoutePolicy, ...] = ()
    version: str | None = None
    rollout: RolloutPlan | None = None


@dataclass(frozen=True, slots=True)
class Freeze:
    """Hold a weekly window in which no rollout moves forward."""

    weekday: int
    from_hour: int
    until_hour: int


FRIDAY = 4
# Unless a section says otherwise, nothing moves from Friday noon on.
DEFAULT_FREEZES = (Freeze(weekday=FRIDAY, from_hour=12, until_hour=24),)


@dataclass(frozen=True, slots=True)
class Section:
    """Hold one accepted section."""

    name: str
    generation: int
    services: tuple[ServicePolicy, ...] = ()
    zone_states_by_name: dict[str, ZoneState] = field(default_factory=dict)
    tenant_shares_by_name: dict[str, float] = field(default_factory=dict)
    probe_rate: float | None = None
    freezes: tuple[Freeze, ...] | None = None


MIN_ROLLOUT_DURATION = timedelta(seconds=10)
