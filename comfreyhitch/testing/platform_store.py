"""Take and restore copies of the stand-in store of a running fleet, and query the store."""

from comfreyhitch.platform.client import DAEMONS, list_objects
from comfreyhitch.testing.fleet import PLATFORM_PORT
from comfreyhitch.testing.http_requests import request
from comfreyhitch.testing.platform_models import PEER_PORT, PlatformFleet, PlatformInstance


def take_store_copy(fleet: PlatformFleet) -> None:
    """Make the store keep a copy of this moment."""
    _call(fleet, "copy")


def restore_store_copy(fleet: PlatformFleet) -> None:
    """Make the store return to its copy, as a new era."""
    _call(fleet, "restore")


def discard_store_history(fleet: PlatformFleet) -> None:
    """Make the store discard its history up to now."""
    _call(fleet, "compact")


def read_store_revision(fleet: PlatformFleet) -> int:
    """Return the revision of the store's last change."""
    return _call(fleet, "counts")["revision"]


def is_registered(fleet: PlatformFleet, instance: PlatformInstance) -> bool:
    """Return whether the store holds the registration of an instance's daemon."""
    address = f"{instance.relay_host or instance.host}:{PEER_PORT}"
    listed = list_objects(fleet.client, DAEMONS).unwrap()
    return any((item.spec or {}).get("address") == address for item in listed.items)


def _call(fleet: PlatformFleet, name: str) -> dict:
    host = f"{fleet.fleet.prefix}.250"
    return request(host, f"/_standin/{name}", method="POST", port=PLATFORM_PORT).json
