"""One version of the configuration of routes and services."""

from dataclasses import dataclass, field
from datetime import timedelta

from comfreyhitch.accounts.models import Accounts


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Hold a service of a route; its share of the requests is in proportion to `weight`."""

    name: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Hold the policy for requests to one host whose path starts with one prefix."""

    name: str
    host: str
    prefix: str
    is_idempotent: bool
    # Attempts that are refused before they reach a target do not count.
    max_attempts: int
    timeout: timedelta
    # Response time objective; shares of it limit how long a request waits for a target.
    latency_objective: timedelta
    priority: int
    services: tuple[WeightedService, ...]
    # Kind in the configuration that this release does not know; empty for a known kind.
    unknown_kind: str = ""
    # Whether requests need no key where client accounts are in force.
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Hold the configuration of the targets of one service.

    A target is cold for `cold_time` after its start, and gets at most
    `cold_requests_per_second` requests while it is.
    """

    name: str
    health_path: str
    max_connections: int
    cold_time: timedelta
    cold_requests_per_second: float


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Hold limits on the size of callers' requests, and timeouts of their connections."""

    header_bytes: int
    body_bytes: int
    header_timeout: timedelta
    idle_timeout: timedelta


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Hold one version of all routes and services; later versions have higher numbers."""

    version: int
    limits: CallerLimits
    routes_by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)
    services_by_name: dict[str, ServiceProfile] = field(default_factory=dict)
    # None if the configuration names no accounts, so that no request needs a key.
    accounts: Accounts | None = None

    @classmethod
    def from_routes(
        cls,
        version: int,
        limits: CallerLimits,
        routes: list[Route],
        services: list[ServiceProfile],
        accounts: Accounts | None = None,
    ) -> "RouteTable":
        """Return a table in which each host's routes are sorted by prefix, longest first."""
        grouped: dict[str, list[Route]] = {}
        for route in routes:
            grouped.setdefault(route.host, []).append(route)
        routes_by_host = {
            host: tuple(sorted(host_routes, key=lambda route: -len(route.prefix)))
            for host, host_routes in grouped.items()
        }
        services_by_name = {service.name: service for service in services}
        return cls(version, limits, routes_by_host, services_by_name, accounts)

    def list_routes_of_unknown_kind(self) -> list[Route]:
        """Return the routes whose kind this release does not know."""
        return [
            route
            for routes in self.routes_by_host.values()
            for route in routes
            if route.unknown_kind
        ]
