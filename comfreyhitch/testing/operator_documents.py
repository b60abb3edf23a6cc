"""Write operators' documents to the platform's stand-in, and read their status."""

from comfreyhitch.platform.client import create_object, get_object, update_object
from comfreyhitch.platform.models import Metadata, PlatformObject
from comfreyhitch.testing.platform_models import HOST_NAME, PlatformFleet

ROUTE_TIMEOUT_MS = 2000


def make_configuration(version: int, services: list[str]) -> dict:
    """Return a configuration with two routes for each service.

    Route `/S/` is idempotent, route `/S-once/` is not.
    """
    routes = [
        {
            "Name": f"r-{service}{suffix}",
            "Host": HOST_NAME,
            "Prefix": f"/{service}{suffix}/",
            "Kind": kind,
            "Timeout": f"{ROUTE_TIMEOUT_MS}ms",
            "Slo": "500ms",
            "Priority": 1,
            "Attempts": 2,
            "Service": service,
        }
        for service in services
        for suffix, kind in (("", "idempotent"), ("-once", "non_idempotent"))
    ]
    profiles = [
        {
            "Name": service,
            "HealthPath": "/health",
            "MaxConns": 100,
            "ColdStart": "3s",
            "ColdPerS": 8.0,
        }
        for service in services
    ]
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1_000_000,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    }
    return {"Version": version, "Routes": routes, "Services": profiles, "Limits": limits}


def write_configuration(fleet: PlatformFleet, content: dict) -> None:
    """Write a configuration to the store, and record it as the latest of the fleet."""
    fleet.configuration = content
    write_document(fleet, "config", "main", content)


def write_document(fleet: PlatformFleet, kind: str, name: str, content: dict) -> None:
    """Create an operator's document, or replace it if it exists."""
    item = PlatformObject(metadata=Metadata(name=name), spec=content)
    if create_object(fleet.client, kind, item).is_err():
        update_object(fleet.client, kind, item).unwrap()


def read_rollout_state(fleet: PlatformFleet, service: str, version: str) -> str | None:
    """Return the reported state of a service's rollout to a version.

    Return None if the reported rollout is to another version.
    """
    status = get_object(fleet.client, "rollouts", service).unwrap().status or {}
    return status.get("State") if status.get("ToVersion") == version else None
