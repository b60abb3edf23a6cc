"""Distribute a route's requests over its services in proportion to their weights."""

from dataclasses import dataclass, field
from random import Random

from comfreyhitch.routing.models import Route

MAX_SPLIT_ROUTES = 10_000


@dataclass(slots=True)
class Splitter:
    """Hold how far each service of each route is behind its part."""

    random: Random
    credits_by_route: dict[str, dict[str, float]] = field(default_factory=dict)


def choose_service(splitter: Splitter, route: Route) -> str:
    """Return the service that is furthest behind its part (smooth weighted round robin)."""
    if len(route.services) == 1:
        return route.services[0].name
    total = sum(service.weight for service in route.services)
    owed = _get_credits(splitter, route, total)
    for service in route.services:
        owed[service.name] += service.weight
    chosen = max(route.services, key=lambda service: owed[service.name])
    owed[chosen.name] -= total
    return chosen.name


def _get_credits(splitter: Splitter, route: Route, total: float) -> dict[str, float]:
    names = {service.name for service in route.services}
    held = splitter.credits_by_route.get(route.name)
    if held is not None and held.keys() == names:
        return held
    if len(splitter.credits_by_route) >= MAX_SPLIT_ROUTES:
        splitter.credits_by_route.clear()
    # A random start keeps many daemons from sending their first requests alike.
    drawn = {name: splitter.random.uniform(0.0, total) for name in sorted(names)}
    mean = sum(drawn.values()) / len(drawn)
    started = {name: credit - mean for name, credit in drawn.items()}
    splitter.credits_by_route[route.name] = started
    return started
