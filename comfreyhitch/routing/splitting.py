"""Split a route's requests among its services in proportion to their weights."""

from dataclasses import dataclass, field
from random import Random

from comfreyhitch.routing.models import Route, WeightedService

MAX_SPLIT_ROUTES = 10_000


@dataclass(slots=True)
class Splitter:
    """Hold the credits of smooth weighted round robin, by route and service.

    A service's credit is how far its requests are behind its share.
    """

    random: Random
    credits_by_route: dict[str, dict[str, float]] = field(default_factory=dict)


def choose_service(splitter: Splitter, route: Route) -> str:
    """Choose the service with the highest credit, and update the credits of all services."""
    weighted = [service for service in route.services if service.weight > 0]
    if len(weighted) == 1:
        return weighted[0].name
    total_weight = sum(service.weight for service in weighted)
    credits_by_service = _get_or_create_credits(splitter, route, weighted, total_weight)
    for service in weighted:
        credits_by_service[service.name] += service.weight
    chosen = max(weighted, key=lambda service: credits_by_service[service.name])
    credits_by_service[chosen.name] -= total_weight
    return chosen.name


def _get_or_create_credits(
    splitter: Splitter, route: Route, weighted: list[WeightedService], total_weight: float
) -> dict[str, float]:
    names = {service.name for service in weighted}
    known_credits = splitter.credits_by_route.get(route.name)
    if known_credits is not None and known_credits.keys() == names:
        return known_credits
    if len(splitter.credits_by_route) >= MAX_SPLIT_ROUTES:
        splitter.credits_by_route.clear()
    # Random initial credits keep daemons from all sending their first requests to one service.
    drawn = {name: splitter.random.uniform(0.0, total_weight) for name in sorted(names)}
    mean = sum(drawn.values()) / len(drawn)
    initial_credits = {name: credit - mean for name, credit in drawn.items()}
    splitter.credits_by_route[route.name] = initial_credits
    return initial_credits
