"""Change the faults around one instance of a fleet while it runs."""

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
    """Cut, silence, delay or reset what crosses the relay of an instance."""
    body = json.dumps(changes).encode()
    request(instance.relay_host, "/_standin/relay", method="POST", body=body, port=RELAY_PORT)


def set_clock_offset(instance: PlatformInstance, seconds: float) -> None:
    """Let the time of day of an instance's daemon jump."""
    # A file that is replaced is never read while it is half written.
    new_path = instance.clock_path.with_suffix(".new")
    new_path.write_text(str(seconds))
    new_path.replace(instance.clock_path)
