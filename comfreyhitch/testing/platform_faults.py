"""Inject faults into a running instance of a fleet."""

import json

from comfreyhitch.testing.http_requests import (
    request,
)
from comfreyhitch.testing.platform_models import APP_PORT, RELAY_PORT, PlatformInstance


def set_target_faults(instance: PlatformInstance, **faults: object) -> None:
    """Change the faults of a running target."""
    body = json.dumps(faults).encode()
    request(instance.host, "/_standin/faults", method="POST", body=body, port=APP_PORT)


def set_relay_faults(instance: PlatformInstance, **changes: object) -> None:
    """Change the network faults that the relay of an instance injects."""
    body = json.dumps(changes).encode()
    request(instance.relay_host, "/_standin/relay", method="POST", body=body, port=RELAY_PORT)


def set_clock_offset(instance: PlatformInstance, seconds: float) -> None:
    """Set the offset in seconds of a daemon's wall clock from the system clock."""
    # The file is replaced atomically, so that the daemon never reads it half written.
    new_path = instance.clock_path.with_suffix(".new")
    new_path.write_text(str(seconds))
    new_path.replace(instance.clock_path)
