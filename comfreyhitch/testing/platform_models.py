"""Instances of a fleet on the stand-in of the platform, and where they listen."""

import subprocess
from dataclasses import dataclass, field
from pathlib import Path

from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.testing.fleet import (
    Fleet,
)

OUTBOUND_PORT = 8304
READY_PORT = 8302
CONTROL_PORT = 8306
APP_PORT = 8301
PEER_PORT = 7620
RELAY_PORT = 8399
# Relays have the IP numbers of their instances and this much.
RELAY_HOST_OFFSET = 100
HOST_NAME = "shop.example"


@dataclass(slots=True)
class PlatformInstance:
    """Hold one instance: a target and the daemon beside it."""

    name: str
    host: str
    zone: str
    service: str
    version: str
    target_arguments: list[str]
    daemon: subprocess.Popen | None = None
    target: subprocess.Popen | None = None
    target_start_count: int = 0
    # Stands between the daemon and its target, the store and its peers, if there is one.
    relay_host: str = ""
    relay: subprocess.Popen | None = None
    # Tells by how many seconds the daemon's time of day is wrong, if it can be.
    clock_path: Path | None = None


@dataclass(frozen=True, slots=True)
class LoggedRun:
    """Hold a line of the targets' run log; `request_id` may be `DRAIN_MARKER`.

    `logged_at` is in Unix seconds.
    """

    request_id: str
    instance_id: str
    logged_at: float


@dataclass(slots=True)
class PlatformFleet:
    """Hold the instances of a fleet, and the configuration that it got last."""

    fleet: Fleet
    instances_by_name: dict[str, PlatformInstance] = field(default_factory=dict)
    configuration: dict = field(default_factory=dict)

    @property
    def client(self) -> PlatformClient:
        """Return a client for the store."""
        return PlatformClient.from_url(self.fleet.platform_url)
