"""Models of accepted sections.

A section is an independently edited part of the operators' document.
"""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import IntEnum, StrEnum

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


class TrafficClass(IntEnum):
    """Order requests by priority; the lowest class is shed first."""

    BACKGROUND = 0
    NORMAL = 1
    CRITICAL = 2


class ZoneState(StrEnum):
    """Name whether an availability zone gets new requests."""

    IN = "in"
    OUT = "out"


@dataclass(frozen=True, slots=True)
class RoutePolicy:
    """Hold how requests with one path prefix are handled."""

    path: str
    methods: frozenset[str]
    idempotent: bool | None
    traffic_class: TrafficClass


@dataclass(frozen=True, slots=True)
class RolloutPlan:
    """Hold a planned rollout of a service: its versions, its start and its deadline."""

    rollout_id: str
    service: str
    from_version: str
    to_version: str
    starts_at: datetime
    finish_by: datetime


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Hold the configuration of one service."""

    name: str
    hosts: tuple[str, ...] = ()
    routes: tuple[RoutePolicy, ...] = ()
    version: str | None = None
    rollout: RolloutPlan | None = None


@dataclass(frozen=True, slots=True)
class Freeze:
    """Hold a weekly change freeze, in hours of UTC; no rollout makes progress during it."""

    weekday: int
    from_hour: int
    until_hour: int


FRIDAY = 4
# Unless a section defines freezes, rollouts are frozen from Friday noon to midnight.
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
