"""Match requests to routes."""

from comfreyhitch.routing.models import Route, RouteTable


def find_route(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the route of the host with the longest prefix of the path, or None."""
    name = host.partition(":")[0].lower()
    for route in table.routes_by_host.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None
