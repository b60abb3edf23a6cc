"""Configuration of routes and services, as one version of it is in force."""

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Hold a service behind a route, and its part of the route's requests."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Hold how requests of one host below one path prefix are treated."""

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    max_attempts: int
    timeout: timedelta
    latency_objective: timedelta
    priority: int
    services: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Hold what the configuration says about the targets of one service."""

    name: str
    health_path: str
    max_connections: int
    cold_time: timedelta
    cold_requests_per_second: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bound what a caller may send, and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout: timedelta
    idle_timeout: timedelta


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Hold one version of all routes and services; versions only go up."""

    version: int
    limits: CallerLimits
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services_by_name: dict[str, ServiceProfile] = field(default_factory=dict)

    @classmethod
    def from_routes(
        cls,
        version: int,
        limits: CallerLimits,
        routes: list[Route],
        services: list[ServiceProfile],
    ) -> "RouteTable":
        """Return a table that finds the longest prefix of a host first."""
        grouped: dict[str, list[Route]] = {}
        for route in routes:
            grouped.setdefault(route.host, []).append(route)
        routes_by_host = {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in grouped.items()
        }
        services_by_name = {service.name: service for service in services}
        return cls(version, limits, routes_by_host, services_by_name)
