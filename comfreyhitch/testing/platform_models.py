"""Define the instances of a fleet on the platform's stand-in, and their ports."""

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
# Added to the last octet of an instance's IP address to get the address of its relay.
RELAY_HOST_OFFSET = 100
HOST_NAME = "shop.example"
DEFAULT_GRACE_SECONDS = 4.0


@dataclass(slots=True)
class PlatformInstance:
    """Hold one instance: a target, its daemon and, if there is one, their relay."""

    name: str
    host: str
    zone: str
    service: str
    version: str
    target_arguments: list[str]
    daemon: subprocess.Popen | None = None
    target: subprocess.Popen | None = None
    target_start_count: int = 0
    # The relay forwards the daemon's connections to its target and the store, and those of
    # its peers to the daemon.
    relay_host: str = ""
    relay: subprocess.Popen | None = None
    # File with the offset in seconds of the daemon's wall clock, if the clock can be stepped.
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
    """Hold the instances of a fleet, and the last configuration written for it."""

    fleet: Fleet
    instances_by_name: dict[str, PlatformInstance] = field(default_factory=dict)
    configuration: dict = field(default_factory=dict)
    # The time from SIGTERM to the forced end of a process, which daemons read as `Bounds.Grace`.
    grace_seconds: float = DEFAULT_GRACE_SECONDS
    # Added to the platform's settings of each daemon.
    settings: dict[str, str] = field(default_factory=dict)

    @property
    def client(self) -> PlatformClient:
        """Return a client for the store."""
        return PlatformClient.from_url(self.fleet.platform_url)
