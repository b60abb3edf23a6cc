"""Run a fleet of daemons and stand-in targets as separate processes on loopback."""

import json
import os
import subprocess
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from comfreyhitch.testing.http_requests import HTTP_PORT, HttpResponse, request
from comfreyhitch.testing.processes import (
    is_running,
    kill,
    resume,
    spawn,
    wait_until,
)

PEER_PORT = 8081
ADMIN_PORT = 8082
TARGET_PORT = 9000
PLATFORM_PORT = 7000


@dataclass(slots=True)
class Instance:
    """Hold one instance: a target and the daemon beside it."""

    name: str
    host: str
    zone: str
    service: str
    version: str
    environment: dict[str, str]
    target_arguments: list[str]
    relay_host: str = ""
    daemon: subprocess.Popen | None = None
    target: subprocess.Popen | None = None

    @property
    def peer_address(self) -> str:
        """Return the address at which other daemons reach this one."""
        return f"{self.relay_host or self.host}:{PEER_PORT}"


@dataclass(slots=True)
class Fleet:
    """Hold a fleet, which has its own range of loopback addresses."""

    folder: Path
    prefix: str
    settings: dict[str, str] = field(default_factory=dict)
    instances_by_name: dict[str, Instance] = field(default_factory=dict)
    platform: subprocess.Popen | None = None
    relays_by_instance_name: dict[str, subprocess.Popen] = field(default_factory=dict)

    @classmethod
    def from_folder(cls, folder: Path, settings: dict[str, str] | None = None) -> "Fleet":
        """Return an empty fleet whose processes log into a folder."""
        # The address prefix is derived from the process id, so that several test runs on
        # one machine do not share addresses.
        process_id = os.getpid()
        prefix = f"127.{(process_id >> 8) % 250 + 1}.{process_id % 250 + 1}"
        return cls(folder=folder, prefix=prefix, settings=dict(settings or {}))

    @property
    def platform_url(self) -> str:
        """Return the base URL of the stand-in platform."""
        return f"http://{self.prefix}.250:{PLATFORM_PORT}"


def add_instance(
    fleet: Fleet,
    service: str,
    zone: str,
    *,
    version: str = "v1",
    slots: int = 10,
    target_arguments: list[str] | None = None,
    settings: dict[str, str] | None = None,
    has_relay: bool = False,
) -> Instance:
    """Add an instance without starting it."""
    number = len(fleet.instances_by_name) + 1
    name = f"{service}-{number}"
    instance = Instance(
        name=name,
        host=f"{fleet.prefix}.{number}",
        zone=zone,
        service=service,
        version=version,
        environment={**fleet.settings, **(settings or {})},
        target_arguments=["--slots", str(slots), *(target_arguments or [])],
        relay_host=f"{fleet.prefix}.{number + 100}" if has_relay else "",
    )
    fleet.instances_by_name[name] = instance
    return instance


def start_platform(fleet: Fleet) -> None:
    """Start the stand-in platform."""
    command = ["-m", "comfreyhitch.testing.platform", "--host", f"{fleet.prefix}.250"]
    fleet.platform = spawn(fleet.folder, "platform", [*command, "--port", str(PLATFORM_PORT)], {})
    fleet.settings["platform_url"] = fleet.platform_url
    wait_until(lambda: _is_responding(f"{fleet.prefix}.250", PLATFORM_PORT), 10.0, "platform")


def start_daemon(fleet: Fleet, instance: Instance) -> None:
    """Start the daemon of an instance."""
    first_peers = [
        item.peer_address
        for item in fleet.instances_by_name.values()
        if item.daemon is not None and item is not instance
    ]
    values = {
        "host": instance.host,
        "http_port": str(HTTP_PORT),
        "peer_port": str(PEER_PORT),
        "admin_port": str(ADMIN_PORT),
        "zone": instance.zone,
        "peers": ",".join(first_peers[:3]),
        **fleet.settings,
        **instance.environment,
    }
    if instance.relay_host:
        values["advertised_address"] = instance.peer_address
        _start_relay(fleet, instance)
    environment = {f"COMFREYHITCH_{name.upper()}": value for name, value in values.items()}
    instance.daemon = spawn(
        fleet.folder, f"{instance.name}-daemon", ["-m", "comfreyhitch.daemon"], environment
    )


def start_target(fleet: Fleet, instance: Instance) -> None:
    """Start the target of an instance; it announces itself to its daemon."""
    arguments = ["-m", "comfreyhitch.testing.target", "--host", instance.host]
    arguments += ["--port", str(TARGET_PORT), "--admin", f"{instance.host}:{ADMIN_PORT}"]
    arguments += ["--service", instance.service, "--version", instance.version]
    arguments += ["--run-log", str(fleet.folder / "runs")]
    arguments += instance.target_arguments
    instance.target = spawn(fleet.folder, f"{instance.name}-target", arguments, {})


def start_fleet(fleet: Fleet) -> None:
    """Start all instances, and wait until every daemon knows every target."""
    for instance in fleet.instances_by_name.values():
        start_daemon(fleet, instance)
        start_target(fleet, instance)
    wait_until_joined(fleet)


def wait_until_joined(fleet: Fleet, timeout_seconds: float = 30.0) -> None:
    """Wait until every running daemon knows every running target."""
    running = [
        item
        for item in fleet.instances_by_name.values()
        if is_running(item.daemon) and is_running(item.target)
    ]
    expected = {item.peer_address for item in running}

    def is_joined(instance: Instance) -> bool:
        members = get_admin(instance, "/v1/members")
        readiness = get_admin(instance, "/readyz")
        if members is None or readiness is None or not readiness["ready"]:
            return False
        known = {item["address"] for item in members if item["service"]}
        return expected <= known

    for instance in running:
        wait_until(lambda instance=instance: is_joined(instance), timeout_seconds, instance.name)


def get_admin(instance: Instance, path: str) -> object | None:
    """Return the JSON content of a daemon's admin path, or None if there is no JSON response."""
    try:
        return request(instance.host, path, port=ADMIN_PORT).json
    except (OSError, ValueError):
        return None


def get_target_state(instance: Instance) -> dict:
    """Return the counters of the stand-in target."""
    return request(instance.host, "/_standin/state", port=TARGET_PORT).json


def count_runs(fleet: Fleet) -> Counter[str]:
    """Count the runs of each X-Run-Id over all targets, killed ones included."""
    path = fleet.folder / "runs"
    return Counter(path.read_text().split()) if path.exists() else Counter()


def set_faults(instance: Instance, **faults: object) -> None:
    """Change the injected faults of a running target."""
    body = json.dumps(faults).encode()
    request(instance.host, "/_standin/faults", method="POST", body=body, port=TARGET_PORT)


def set_relay_faults(instance: Instance, **changes: object) -> None:
    """Change the network faults that the relay in front of an instance's daemon injects."""
    body = json.dumps(changes).encode()
    request(instance.relay_host, "/_standin/relay", method="POST", body=body, port=ADMIN_PORT)


def set_platform_faults(fleet: Fleet, **faults: object) -> None:
    """Change the injected faults of the running platform."""
    body = json.dumps(faults).encode()
    host = fleet.platform_url.removeprefix("http://").partition(":")[0]
    request(host, "/_standin/faults", method="POST", body=body, port=PLATFORM_PORT)


def call_service(
    instance: Instance, service: str, path: str = "/", **options: object
) -> HttpResponse:
    """Send one request for a service through the daemon of an instance."""
    headers = {"Comfreyhitch-Service": service, **options.pop("headers", {})}
    return request(instance.host, path, headers=headers, **options)


def stop_fleet(fleet: Fleet) -> None:
    """Kill every process of the fleet."""
    processes = [fleet.platform, *fleet.relays_by_instance_name.values()]
    for instance in fleet.instances_by_name.values():
        processes += [instance.daemon, instance.target]
    for process in processes:
        if is_running(process):
            resume(process)
        kill(process)


def _start_relay(fleet: Fleet, instance: Instance) -> None:
    if is_running(fleet.relays_by_instance_name.get(instance.name)):
        return
    arguments = ["-m", "comfreyhitch.testing.relay", "--host", instance.relay_host]
    arguments += ["--target", f"{instance.host}:{PEER_PORT}", "--admin-port", str(ADMIN_PORT)]
    fleet.relays_by_instance_name[instance.name] = spawn(
        fleet.folder, f"{instance.name}-relay", arguments, {}
    )
    wait_until(lambda: _is_responding(instance.relay_host, ADMIN_PORT), 10.0, "relay")


def _is_responding(host: str, port: int) -> bool:
    return request(host, "/healthz", port=port).status < 500
