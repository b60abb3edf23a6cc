"""Models of the sections of the operators' document."""

from dataclasses import dataclass, field
from datetime import datetime, timedelta
from enum import IntEnum, StrEnum
from typing import Annotated, Literal

from pydantic import AwareDatetime, BaseModel, ConfigDict, Field

from comfreyhitch.conf.models import Name

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


class _Model(BaseModel):
    # Daemons that read no sections need no validators for them.
    model_config = ConfigDict(extra="forbid", defer_build=True)


class RouteModel(_Model):
    """Validate one route of a service."""

    path: Annotated[str, Field(pattern=r"^/")]
    methods: list[Literal["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"]] = []
    idempotent: bool | None = None
    traffic_class: Annotated[Literal["critical", "normal", "background"], Field(alias="class")] = (
        "normal"
    )


class RolloutModel(_Model):
    """Validate a rollout."""

    to: Name
    start: AwareDatetime
    finish_by: AwareDatetime


class ServiceModel(_Model):
    """Validate one service."""

    hosts: list[str] = []
    routes: list[RouteModel] = []
    version: Name | None = None
    rollout: RolloutModel | None = None


class ZoneModel(_Model):
    """Validate the state of an availability zone."""

    state: ZoneState


class TenantModel(_Model):
    """Validate the share that a tenant may take of a busy target."""

    share: Annotated[float, Field(gt=0, le=1)]


class FreezeModel(_Model):
    """Validate a weekly change freeze, in hours of UTC."""

    weekday: Literal["monday", "tuesday", "wednesday", "thursday", "friday", "saturday", "sunday"]
    from_hour: Annotated[int, Field(ge=0, le=23)]
    until_hour: Annotated[int, Field(ge=1, le=24)]


class SectionModel(_Model):
    """Validate one section of the document."""

    services: dict[Name, ServiceModel] = {}
    zones: dict[Name, ZoneModel] = {}
    tenants: dict[Name, TenantModel] = {}
    probe_rate: Annotated[float, Field(ge=0, le=1000)] | None = None
    freezes: list[FreezeModel] | None = None


MINIMUM_ROLLOUT = timedelta(seconds=10)
