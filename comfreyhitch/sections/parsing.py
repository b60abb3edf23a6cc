"""Parse section content into dataclasses, with errors that name the field."""

import json
from typing import Any

from pydantic import ValidationError
from result import Err, Ok, Result

from comfreyhitch.sections.models import (
    MIN_ROLLOUT_DURATION,
    Freeze,
    RolloutPlan,
    RoutePolicy,
    Section,
    ServicePolicy,
    TrafficClass,
)
from comfreyhitch.sections.validation import RouteModel, SectionModel, ServiceModel

_WEEKDAYS = ("monday", "tuesday", "wednesday", "thursday", "friday", "saturday", "sunday")


def parse_section(name: str, generation: int, content: Any) -> Result[Section, list[str]]:
    """Return the section, or a list of errors that each name the path of the invalid field."""
    try:
        model = SectionModel.model_validate(content)
    except ValidationError as error:
        return Err([f"{_format_path(name, item['loc'])}: {item['msg']}" for item in error.errors()])
    errors = _find_contradictions(name, model)
    if errors:
        return Err(errors)
    return Ok(_make_section(name, generation, model))


def parse_section_json(name: str, generation: int, data: bytes) -> Result[Section, list[str]]:
    """Parse a section from JSON bytes, or return its errors."""
    try:
        content = json.loads(data)
    except ValueError as error:
        return Err([f"{name}: not JSON: {error}"])
    return parse_section(name, generation, content)


def _format_path(name: str, location: tuple[int | str, ...]) -> str:
    return ".".join([name, *(str(part) for part in location)])


def _find_contradictions(name: str, model: SectionModel) -> list[str]:
    errors = []
    for service, service_model in model.services.items():
        path = f"{name}.services.{service}.rollout"
        rollout = service_model.rollout
        if rollout is None:
            continue
        if service_model.version is None:
            errors.append(f"{path}: needs {name}.services.{service}.version to move from")
        if rollout.to == service_model.version:
            errors.append(f"{path}.to: is the version that the service has already")
        if rollout.finish_by - rollout.start < MIN_ROLLOUT_DURATION:
            seconds = MIN_ROLLOUT_DURATION.total_seconds()
            errors.append(f"{path}.finish_by: must be at least {seconds:.0f} s after start")
    for index, freeze in enumerate(model.freezes or []):
        if freeze.until_hour <= freeze.from_hour:
            errors.append(f"{name}.freezes.{index}.until_hour: must be after from_hour")
    return errors


def _make_section(name: str, generation: int, model: SectionModel) -> Section:
    freezes = None
    if model.freezes is not None:
        freezes = tuple(
            Freeze(_WEEKDAYS.index(item.weekday), item.from_hour, item.until_hour)
            for item in model.freezes
        )
    return Section(
        name=name,
        generation=generation,
        services=tuple(_make_service(key, item) for key, item in model.services.items()),
        zone_states_by_name={key: zone.state for key, zone in model.zones.items()},
        tenant_shares_by_name={key: tenant.share for key, tenant in model.tenants.items()},
        probe_rate=model.probe_rate,
        freezes=freezes,
    )


def _make_service(name: str, model: ServiceModel) -> ServicePolicy:
    return ServicePolicy(
        name=name,
        hosts=tuple(host.lower() for host in model.hosts),
        routes=tuple(_make_route(route) for route in model.routes),
        version=model.version,
        rollout=_make_rollout(name, model),
    )


def _make_route(model: RouteModel) -> RoutePolicy:
    return RoutePolicy(
        path=model.path,
        methods=frozenset(model.methods),
        idempotent=model.idempotent,
        traffic_class=TrafficClass[model.traffic_class.upper()],
    )


def _make_rollout(service: str, model: ServiceModel) -> RolloutPlan | None:
    rollout = model.rollout
    if rollout is None or model.version is None:
        return None
    start = rollout.start.isoformat()
    return RolloutPlan(
        rollout_id=f"{service}:{model.version}:{rollout.to}:{start}",
        service=service,
        from_version=model.version,
        to_version=rollout.to,
        starts_at=rollout.start,
        finish_by=rollout.finish_by,
    )
