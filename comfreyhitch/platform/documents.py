"""Decode the operators' documents: configuration, rollouts and evacuations."""

from typing import Annotated, TypeVar

import msgspec
from msgspec import UNSET, Meta, Struct, UnsetType, field
from result import Err, Ok, Result

from comfreyhitch.documents.models import (
    Document,
    DocumentKind,
    DocumentSource,
    RawDocument,
    RolloutOrder,
    RolloutState,
    ZoneOutOrder,
    make_rollout_id,
)
from comfreyhitch.platform.accounts import TenantModel, make_accounts
from comfreyhitch.platform.durations import Duration, decode_duration
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

Model = TypeVar("Model", bound=Struct)
Count = Annotated[int, Meta(ge=1)]
Text = Annotated[str, Meta(min_length=1, max_length=256)]
DEFAULT_MAX_CONNECTIONS = 100
MAX_NUMBER = 1e12
STATES_BY_NAME = {
    "running": RolloutState.RUNNING,
    "succeeded": RolloutState.SUCCEEDED,
    "rolled_back": RolloutState.ROLLED_BACK,
}
# Whether a request of each kind of route may run more than once.
IDEMPOTENCE_BY_KIND = {"idempotent": True, "download": True, "non_idempotent": False}
NAMES_BY_STATE = {state: name for name, state in STATES_BY_NAME.items()}


class SplitModel(Struct, frozen=True):
    """Validate the service that gets one weighted share of a route's requests."""

    service: Text = field(name="Service")
    weight: Annotated[float, Meta(ge=0, le=MAX_NUMBER)] = field(name="Weight")


class RouteModel(Struct, frozen=True):
    """Validate one route; it names one service, or several with weights."""

    name: Text = field(name="Name")
    host: Text = field(name="Host")
    prefix: Annotated[str, Meta(pattern=r"^/(.*/)?$")] = field(name="Prefix")
    # A later release of the platform may add kinds; requests of an unknown kind run at most once.
    kind: Text = field(name="Kind")
    timeout: Duration = field(name="Timeout")
    # Latency objective: a response is worth most within this time. It is not a guarantee.
    objective: Duration = field(name="Slo")
    # 0 is the highest priority.
    priority: Annotated[int, Meta(ge=0)] = field(default=0, name="Priority")
    # The most targets that one request may be sent to.
    attempts: Count = field(default=1, name="Attempts")
    service: Text | None = field(default=None, name="Service")
    split: list[SplitModel] = field(default_factory=list, name="Split")
    # Where accounts are configured, requests on other routes need a key.
    is_public: bool = field(default=False, name="Public")


class ServiceModel(Struct, frozen=True):
    """Validate the configuration of a service's targets."""

    name: Text = field(name="Name")
    health_path: Annotated[str, Meta(pattern=r"^/")] = field(name="HealthPath")
    cold_time: Duration = field(name="ColdStart")
    cold_rate: Annotated[float, Meta(gt=0, le=MAX_NUMBER)] = field(name="ColdPerS")
    max_connections: Count = field(default=DEFAULT_MAX_CONNECTIONS, name="MaxConns")


class LimitsModel(Struct, frozen=True):
    """Validate the limits on requests and connections of callers."""

    header_bytes: Annotated[int, Meta(gt=0)] = field(name="MaxHeaderBytes")
    body_bytes: Annotated[int, Meta(ge=0)] = field(name="MaxBodyBytes")
    header_timeout: Duration = field(name="HeaderTimeout")
    idle_timeout: Duration = field(name="IdleTimeout")


class ConfigurationModel(Struct, frozen=True):
    """Validate one version of the whole configuration."""

    version: Annotated[int, Meta(ge=0)] = field(name="Version")
    routes: list[RouteModel] = field(name="Routes")
    services: list[ServiceModel] = field(name="Services")
    limits: LimitsModel = field(name="Limits")
    # An empty list is in force: no request has a valid key then. Null is refused, since it would
    # open all routes to callers without a key.
    tenants: list[TenantModel] | UnsetType = field(default=UNSET, name="Tenants")


class RolloutModel(Struct, frozen=True):
    """Validate the order to roll out a version of a service."""

    service: Text = field(name="Service")
    to_version: Text = field(name="ToVersion")
    duration: Duration = field(name="Duration")


def decode_configuration(document: RawDocument) -> Result[Document, str]:
    """Return the route table in a document, or why the document is invalid."""
    if document.name != NAME_CONFIGURATION:
        return Err(f"{document.key}: only {NAME_CONFIGURATION} holds a configuration")
    try:
        model = _convert(document, ConfigurationModel)
    except msgspec.ValidationError as error:
        return Err(_format_error(document, error))
    routes = []
    for route in model.routes:
        converted = _make_route(route)
        if converted.is_err():
            return Err(f"{document.key}: {converted.err_value}")
        routes.append(converted.ok_value)
    accounts = None
    if model.tenants is not UNSET:
        made = make_accounts(model.tenants)
        if made.is_err():
            return Err(f"{document.key}: {made.err_value}")
        accounts = made.ok_value
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
    return Ok(RouteTable.from_routes(model.version, limits, routes, services, accounts))


def decode_rollout(document: RawDocument) -> Result[Document, str]:
    """Return the order in a rollout document, or why the document is invalid."""
    try:
        model = _convert(document, RolloutModel)
    except msgspec.ValidationError as error:
        return Err(_format_error(document, error))
    state = _read_state(document, model.to_version)
    if state.is_err():
        return state
    return Ok(
        RolloutOrder(
            rollout_id=make_rollout_id(model.service, model.to_version, document.identity_revision),
            service=model.service,
            to_version=model.to_version,
            duration=model.duration,
            state=state.ok_value,
            created_revision=document.created_revision,
        )
    )


def encode_rollout_status(order: RolloutOrder, state: RolloutState) -> dict[str, str]:
    """Return the status that shows the operator the state of a rollout."""
    return {"State": NAMES_BY_STATE[state], "ToVersion": order.to_version}


def decode_evacuation(document: RawDocument) -> Result[Document, str]:
    """Return the order in an evacuation document; the document is named after the zone."""
    return Ok(ZoneOutOrder(zone=document.name))


def get_configuration_number(document: RawDocument) -> int:
    """Return the version that the operator gave a configuration, or 0 if it has none."""
    number = document.spec.get("Version") if isinstance(document.spec, dict) else None
    return number if isinstance(number, int) and number > 0 else 0


DOCUMENT_SOURCES = (
    DocumentSource(
        DocumentKind.ROUTES,
        KIND_CONFIGURATION,
        decode_configuration,
        get_number=get_configuration_number,
    ),
    DocumentSource(
        DocumentKind.ROLLOUT,
        KIND_ROLLOUTS,
        decode_rollout,
        allows_stale_initial_list=True,
        encode_status=encode_rollout_status,
    ),
    DocumentSource(
        DocumentKind.ZONE_OUT, KIND_EVACUATIONS, decode_evacuation, allows_stale_initial_list=True
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
            is_idempotent=IDEMPOTENCE_BY_KIND.get(model.kind, False),
            max_attempts=model.attempts,
            timeout=model.timeout,
            latency_objective=model.objective,
            priority=model.priority,
            services=tuple(services),
            is_public=model.is_public,
            unknown_kind="" if model.kind in IDEMPOTENCE_BY_KIND else model.kind,
        )
    )


def _read_state(document: RawDocument, to_version: str) -> Result[RolloutState, str]:
    """Return the state in the status of an order; one that can't be read may be an outcome."""
    status = document.status if isinstance(document.status, dict) else {}
    # A status with another version belongs to an earlier order for this service.
    if status.get("ToVersion") != to_version:
        return Ok(RolloutState.NEW)
    name = status.get("State")
    if name is None:
        return Ok(RolloutState.NEW)
    state = STATES_BY_NAME.get(name) if isinstance(name, str) else None
    if state is None:
        return Err(f"{document.key}: unknown state {str(name)[:40]!r} - at `$.State` of its status")
    return Ok(state)


def _convert(document: RawDocument, model: type[Model]) -> Model:
    return msgspec.convert(document.spec, model, dec_hook=decode_duration)


def _format_error(document: RawDocument, error: msgspec.ValidationError) -> str:
    return f"{document.key}: {error}"
