"""Validate what operators write into sections of the document."""

from typing import Annotated, Literal

from pydantic import AwareDatetime, BaseModel, ConfigDict, Field, StringConstraints

from comfreyhitch.conf.models import NAME_PATTERN
from comfreyhitch.sections.models import ZoneState

Name = Annotated[str, StringConstraints(pattern=NAME_PATTERN)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid")


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
