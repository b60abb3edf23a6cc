"""Split a route's requests among its services in proportion to their weights."""

from dataclasses import dataclass, field
from random import Random

from comfreyhitch.routing.models import Route, WeightedService

MAX_SPLIT_ROUTES = 10_000


@dataclass(slots=True)
class Splitter:
    """Hold the phases of systematic sampling, by route.

    A split into several services is a series of splits in two: the first service or the others,
    then the second or the others, and so on. Each has a phase in [0, 1) that grows by the share of
    the service with each request; the service gets the request when its phase reaches 1.

    Phases are drawn at random, and stay evenly distributed whatever the shares are. So each service
    gets its share from the first request on in the sum over many daemons, and a new version of the
    configuration can go on with the phases of the one before.
    """

    random: Random
    phases_by_route: dict[str, list[float]] = field(default_factory=dict)


def choose_service(splitter: Splitter, route: Route) -> str:
    """Choose the service of a route's next request."""
    weighted = _sort_by_weight(route)
    if len(weighted) == 1:
        return weighted[0].name
    phases = _get_phases(splitter, route.name, len(weighted) - 1)
    remaining_weight = sum(service.weight for service in weighted)
    for index, service in enumerate(weighted[:-1]):
        phases[index] += service.weight / remaining_weight
        if phases[index] >= 1.0:
            phases[index] -= 1.0
            return service.name
        remaining_weight = sum(service.weight for service in weighted[index + 1 :])
    return weighted[-1].name


def _sort_by_weight(route: Route) -> list[WeightedService]:
    """Return the services that have a share, in the order in which counts deviate least."""
    weighted = [service for service in route.services if service.weight > 0]
    return sorted(weighted, key=lambda service: -service.weight)


def _get_phases(splitter: Splitter, route_name: str, count: int) -> list[float]:
    """Return at least as many phases as splits in two."""
    phases = splitter.phases_by_route.get(route_name)
    if phases is None:
        if len(splitter.phases_by_route) >= MAX_SPLIT_ROUTES:
            splitter.phases_by_route.clear()
        phases = splitter.phases_by_route[route_name] = []
    while len(phases) < count:
        phases.append(splitter.random.random())
    return phases
