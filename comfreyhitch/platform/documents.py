"""Decode the operators' documents: configuration, rollouts and evacuations."""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from comfreyhitch.documents.models import (
    Document,
    DocumentKind,
    DocumentSource,
    RawDocument,
    RolloutOrder,
    RolloutState,
    ZoneOutOrder,
)
from comfreyhitch.platform.durations import Duration
from comfreyhitch.platform.names import (
    KIND_CONFIGURATION,
    KIND_EVACUATIONS,
    KIND_ROLLOUTS,
    NAME_CONFIGURATION,
)
from comfreyhitch.routing.models import (
    CallerLimits,
    Route,
    RouteTable,
    ServiceProfile,
    WeightedService,
)

Count = Annotated[int, Field(ge=1, strict=True)]
Text = Annotated[str, Field(min_length=1, max_length=256)]
DEFAULT_MAX_CONNECTIONS = 100
STATES_BY_WORD = {
    "running": RolloutState.RUNNING,
    "succeeded": RolloutState.SUCCEEDED,
    "rolled_back": RolloutState.ROLLED_BACK,
}
WORDS_BY_STATE = {state: word for word, state in STATES_BY_WORD.items()}


class _Model(BaseModel):
    model_config = ConfigDict(extra="ignore")


class SplitModel(_Model):
    """Validate one part of a route's requests."""

    service: Text = Field(alias="Service")
    weight: Annotated[float, Field(ge=0, strict=True, alias="Weight")]


class RouteModel(_Model):
    """Validate one route; it names one service, or several with weights."""

    name: Text = Field(alias="Name")
    host: Text = Field(alias="Host")
    prefix: Annotated[str, Field(pattern=r"^/(.*/)?$", alias="Prefix")]
    kind: Literal["idempotent", "non_idempotent"] = Field(alias="Kind")
    timeout: Duration = Field(alias="Timeout")
    # Time within which a response is worth most; not a promise.
    objective: Duration = Field(alias="Slo")
    # 0 goes first.
    priority: Annotated[int, Field(ge=0, strict=True, alias="Priority")] = 0
    # The most targets that one request may be sent to.
    attempts: Count = Field(1, alias="Attempts")
    service: Text | None = Field(None, alias="Service")
    split: list[SplitModel] = Field([], alias="Split")


class ServiceModel(_Model):
    """Validate what the configuration says of a service's targets."""

    name: Text = Field(alias="Name")
    health_path: Annotated[str, Field(pattern=r"^/", alias="HealthPath")]
    max_connections: Annotated[int, Field(ge=1, strict=True, alias="MaxConns")] = (
        DEFAULT_MAX_CONNECTIONS
    )
    cold_time: Duration = Field(alias="ColdStart")
    cold_rate: Annotated[float, Field(gt=0, strict=True, alias="ColdPerS")]


class LimitsModel(_Model):
    """Validate the bounds on what callers send."""

    header_bytes: Annotated[int, Field(gt=0, strict=True, alias="MaxHeaderBytes")]
    body_bytes: Annotated[int, Field(ge=0, strict=True, alias="MaxBodyBytes")]
    header_timeout: Duration = Field(alias="HeaderTimeout")
    idle_timeout: Duration = Field(alias="IdleTimeout")


class ConfigurationModel(_Model):
    """Validate one version of the whole configuration."""

    version: Annotated[int, Field(ge=0, strict=True, alias="Version")]
    routes: list[RouteModel] = Field(alias="Routes")
    services: list[ServiceModel] = Field(alias="Services")
    limits: LimitsModel = Field(alias="Limits")


class RolloutModel(_Model):
    """Validate the order to move a service to a version."""

    service: Text = Field(alias="Service")
    to_version: Text = Field(alias="ToVersion")
    duration: Duration = Field(alias="Duration")


def decode_configuration(document: RawDocument) -> Result[Document, str]:
    """Return the table of routes in a document, or why there is none."""
    if document.name != NAME_CONFIGURATION:
        return Err(f"{document.key}: only {NAME_CONFIGURATION} holds a configuration")
    try:
        model = ConfigurationModel.model_validate(document.spec)
    except ValidationError as error:
        return Err(_describe(document, error))
    routes = []
    for route in model.routes:
        made = _make_route(route)
        if made.is_err():
            return Err(f"{document.key}: {made.err_value}")
        routes.append(made.ok_value)
    services = [
        ServiceProfile(
            name=service.name,
            health_path=service.health_path,
            max_connections=service.max_connections,
            cold_time=service.cold_time,
            cold_requests_per_second=service.cold_rate,
        )
        for service in model.services
    ]
    limits = CallerLimits(
        header_bytes=model.limits.header_bytes,
        body_bytes=model.limits.body_bytes,
        header_timeout=model.limits.header_timeout,
        idle_timeout=model.limits.idle_timeout,
    )
    return Ok(RouteTable.from_routes(model.version, limits, routes, services))


def decode_rollout(document: RawDocument) -> Result[Document, str]:
    """Return the order in a rollout document, or why there is none."""
    try:
        model = RolloutModel.model_validate(document.spec)
    except ValidationError as error:
        return Err(_describe(document, error))
    return Ok(
        RolloutOrder(
            rollout_id=f"{model.service}:{model.to_version}:{document.created_revision}",
            service=model.service,
            to_version=model.to_version,
            duration=model.duration,
            state=_read_state(document, model.to_version),
        )
    )


def encode_rollout_status(order: RolloutOrder, state: RolloutState) -> dict[str, str]:
    """Return the status that tells the operator how far a rollout has come."""
    return {"State": WORDS_BY_STATE[state], "ToVersion": order.to_version}


def decode_evacuation(document: RawDocument) -> Result[Document, str]:
    """Return the order in an evacuation document; its name is that of the zone."""
    return Ok(ZoneOutOrder(zone=document.name))


DOCUMENT_SOURCES = (
    DocumentSource(DocumentKind.ROUTES, KIND_CONFIGURATION, decode_configuration),
    DocumentSource(
        DocumentKind.ROLLOUT,
        KIND_ROLLOUTS,
        decode_rollout,
        may_start_stale=True,
        encode_status=encode_rollout_status,
    ),
    DocumentSource(
        DocumentKind.ZONE_OUT, KIND_EVACUATIONS, decode_evacuation, may_start_stale=True
    ),
)


def _make_route(model: RouteModel) -> Result[Route, str]:
    services = [WeightedService(part.service, part.weight) for part in model.split]
    if model.service is not None:
        services = [WeightedService(model.service, 1.0)]
    if not any(service.weight > 0 for service in services):
        return Err(f"route {model.name}: has neither a service nor a split with a weight")
    return Ok(
        Route(
            name=model.name,
            host=model.host.lower(),
            prefix=model.prefix,
            is_idempotent=model.kind == "idempotent",
            max_targets=model.attempts,
            timeout=model.timeout,
            objective=model.objective,
            priority=model.priority,
            services=tuple(services),
        )
    )


def _read_state(document: RawDocument, to_version: str) -> RolloutState:
    status = document.status if isinstance(document.status, dict) else {}
    # A status of an earlier order to this service says nothing of this one.
    if status.get("ToVersion") != to_version:
        return RolloutState.NEW
    return STATES_BY_WORD.get(status.get("State"), RolloutState.NEW)


def _describe(document: RawDocument, error: ValidationError) -> str:
    places = [
        f"{'.'.join(str(part) for part in item['loc']) or 'body'}: {item['msg']}"
        for item in error.errors()
    ]
    return f"{document.key}: {'; '.join(places)}"
