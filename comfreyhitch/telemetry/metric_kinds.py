"""Make the kinds of metrics, whose names have the prefix of the product."""

from aioprometheus import Counter, Gauge, Registry


def make_counter(registry: Registry, name: str, doc: str) -> Counter:
    """Return a new counter in a registry."""
    return Counter(f"comfreyhitch_{name}", doc, registry=registry)


def make_gauge(registry: Registry, name: str, doc: str) -> Gauge:
    """Return a new gauge in a registry."""
    return Gauge(f"comfreyhitch_{name}", doc, registry=registry)
