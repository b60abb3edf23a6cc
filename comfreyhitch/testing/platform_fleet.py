"""Run a fleet on a stand-in of the platform: store, settings files and targets."""

import uuid
from pathlib import Path

from comfreyhitch.platform.names import HEADER_DEADLINE_MS, HEADER_REQUEST_ID, PATH_READY
from comfreyhitch.testing.fleet import (
    PLATFORM_PORT,
    Fleet,
    start_platform,
)
from comfreyhitch.testing.http_requests import (
    HttpResponse,
    request,
)
from comfreyhitch.testing.operator_documents import make_configuration, write_configuration
from comfreyhitch.testing.platform_models import (
    APP_PORT,
    CONTROL_PORT,
    DEFAULT_GRACE_SECONDS,
    HOST_NAME,
    OUTBOUND_PORT,
    PEER_PORT,
    READY_PORT,
    RELAY_HOST_OFFSET,
    RELAY_PORT,
    LoggedRun,
    PlatformFleet,
    PlatformInstance,
)
from comfreyhitch.testing.processes import (
    is_running,
    kill,
    resume,
    spawn,
    wait_until,
)


def start_platform_fleet(
    folder: Path,
    targets: list[tuple[str, str, list[str]]],
    *,
    has_relays: bool = False,
    grace_seconds: float = DEFAULT_GRACE_SECONDS,
    settings: dict[str, str] | None = None,
) -> PlatformFleet:
    """Start a daemon and a target for each tuple of service, zone and target arguments.

    `settings` are added to the platform's settings of each daemon.
    Wait until all instances serve all services; raise `TimeoutError` if they do not.
    """
    fleet = PlatformFleet(
        Fleet.from_folder(folder), grace_seconds=grace_seconds, settings=settings or {}
    )
    try:
        _start_all(fleet, targets, has_relays=has_relays)
    except TimeoutError:
        stop_platform_fleet(fleet)
        raise
    return fleet


def _start_all(
    fleet: PlatformFleet, targets: list[tuple[str, str, list[str]]], *, has_relays: bool
) -> None:
    start_platform(fleet.fleet)
    services = sorted({service for service, _, _ in targets})
    write_configuration(fleet, make_configuration(1, services))
    for service, zone, arguments in targets:
        add_platform_instance(fleet, service, zone, arguments, has_relay=has_relays)
    for instance in fleet.instances_by_name.values():
        wait_until(lambda instance=instance: is_ready(instance), 15.0, f"{instance.name} is ready")
    for service in services:
        wait_until(lambda service=service: _is_served_by_all(fleet, service), 15.0, service)


def add_platform_instance(
    fleet: PlatformFleet,
    service: str,
    zone: str,
    arguments: list[str],
    version: str = "v1",
    *,
    has_relay: bool = False,
) -> PlatformInstance:
    """Add an instance, and start its processes."""
    number = len(fleet.instances_by_name) + 1
    instance = PlatformInstance(
        name=f"{service}-{number}",
        host=f"{fleet.fleet.prefix}.{number}",
        zone=zone,
        service=service,
        version=version,
        target_arguments=arguments,
        relay_host=f"{fleet.fleet.prefix}.{number + RELAY_HOST_OFFSET}" if has_relay else "",
        clock_path=fleet.fleet.folder / f"{service}-{number}.clock" if has_relay else None,
    )
    fleet.instances_by_name[instance.name] = instance
    if has_relay:
        _start_relay(fleet, instance)
    start_daemon(fleet, instance)
    start_target(fleet, instance)
    return instance


def start_daemon(fleet: PlatformFleet, instance: PlatformInstance) -> None:
    """Start the daemon of an instance with its own settings file."""
    path = fleet.fleet.folder / f"{instance.name}.conf"
    path.write_text(format_settings(fleet, instance))
    environment = {"COMFREYHITCH_CONFIG": str(path)}
    if instance.relay_host:
        environment["COMFREYHITCH_ADVERTISED_ADDRESS"] = f"{instance.relay_host}:{PEER_PORT}"
    command = ["-m", "comfreyhitch.platform"]
    if instance.clock_path is not None:
        command = ["-m", "comfreyhitch.testing.stepped_daemon", str(instance.clock_path)]
    instance.daemon = spawn(fleet.fleet.folder, f"{instance.name}-daemon", command, environment)


def format_settings(fleet: PlatformFleet, instance: PlatformInstance) -> str:
    """Return the content of the settings file of an instance's daemon."""
    values = _make_settings(fleet, instance)
    return "".join(f"{name}={value}\n" for name, value in values.items())


def start_target(fleet: PlatformFleet, instance: PlatformInstance) -> None:
    """Start the target of an instance as a new incarnation."""
    instance.target_start_count += 1
    arguments = ["-m", "comfreyhitch.testing.platform_target"]
    arguments += ["--address", f"{instance.host}:{APP_PORT}"]
    arguments += ["--control", f"{instance.host}:{CONTROL_PORT}"]
    arguments += ["--announced-address", f"{instance.relay_host or instance.host}:{APP_PORT}"]
    arguments += ["--instance", f"i-{instance.name}-{instance.target_start_count}"]
    arguments += ["--service", instance.service, "--version", instance.version]
    arguments += ["--zone", instance.zone, "--run-log", str(fleet.fleet.folder / "runs")]
    arguments += ["--end-log", str(fleet.fleet.folder / "run-ends")]
    arguments += instance.target_arguments
    instance.target = spawn(fleet.fleet.folder, f"{instance.name}-target", arguments, {})


def send(
    instance: PlatformInstance,
    path: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 5000,
    headers: dict[str, str] | None = None,
) -> tuple[str, HttpResponse]:
    """Send one request through the daemon of an instance; return its id and the response."""
    request_id = uuid.uuid4().hex
    response = request(
        instance.host,
        path,
        method=method,
        body=body,
        headers={
            "Host": HOST_NAME,
            HEADER_REQUEST_ID: request_id,
            HEADER_DEADLINE_MS: str(deadline_ms),
            **(headers or {}),
        },
        port=OUTBOUND_PORT,
    )
    return request_id, response


def read_runs(fleet: PlatformFleet) -> list[tuple[str, str]]:
    """Return request id and target incarnation of each run, including runs of killed targets."""
    return [(entry.request_id, entry.instance_id) for entry in read_run_log(fleet)]


def read_run_log(fleet: PlatformFleet) -> list[LoggedRun]:
    """Return each run that a target started, and each acknowledged drain of a target."""
    return _read_log(fleet.fleet.folder / "runs")


def read_run_ends(fleet: PlatformFleet) -> list[LoggedRun]:
    """Return each run whose work at a target has ended, with the time of its end."""
    return _read_log(fleet.fleet.folder / "run-ends")


def _read_log(path: Path) -> list[LoggedRun]:
    lines = path.read_text().splitlines() if path.exists() else []
    entries = (line.split(" ") for line in lines)
    return [LoggedRun(first, instance_id, float(at)) for first, instance_id, at in entries]


def is_ready(instance: PlatformInstance) -> bool:
    """Return whether the daemon of an instance reports that it is ready."""
    return request(instance.host, PATH_READY, port=READY_PORT).status == 200


def stop_platform_fleet(fleet: PlatformFleet) -> None:
    """Kill every process of the fleet."""
    processes = [fleet.fleet.platform]
    for instance in fleet.instances_by_name.values():
        processes += [instance.daemon, instance.target, instance.relay]
    for process in processes:
        if is_running(process):
            resume(process)
        kill(process)


def _start_relay(fleet: PlatformFleet, instance: PlatformInstance) -> None:
    arguments = ["-m", "comfreyhitch.testing.relay", "--host", instance.relay_host]
    arguments += ["--admin-port", str(RELAY_PORT)]
    for target in (
        f"{instance.host}:{APP_PORT}",
        f"{instance.host}:{PEER_PORT}",
        f"{_get_store_host(fleet)}:{PLATFORM_PORT}",
    ):
        arguments += ["--target", target]
    instance.relay = spawn(fleet.fleet.folder, f"{instance.name}-relay", arguments, {})


def _get_store_host(fleet: PlatformFleet) -> str:
    return f"{fleet.fleet.prefix}.250"


def _is_served_by_all(fleet: PlatformFleet, service: str) -> bool:
    instances = fleet.instances_by_name.values()
    return all(send(instance, f"/{service}/start")[1].status == 200 for instance in instances)


def _make_settings(fleet: PlatformFleet, instance: PlatformInstance) -> dict[str, str]:
    host = instance.host
    return {
        "Node": instance.name,
        "Zone": instance.zone,
        "Region": "r",
        "Listen.Outbound": f"{host}:{OUTBOUND_PORT}",
        "Listen.ReadinessAddr": f"{host}:{READY_PORT}",
        "Listen.Control": f"{host}:{CONTROL_PORT}",
        "PortRange": f"{PEER_PORT},{PEER_PORT + 15}",
        "AppAddr": f"{instance.relay_host or host}:{APP_PORT}",
        "Service": instance.service,
        "Platform.Address": f"{instance.relay_host or _get_store_host(fleet)}:{PLATFORM_PORT}",
        "Bounds.Grace": f"{round(fleet.grace_seconds * 1000)}ms",
        "Bounds.BudgetRatio": "0.2",
        "Bounds.BudgetExtra": "60",
        "Bounds.BudgetWindow": "10s",
        "Bounds.ProbesPerS": "60",
        **fleet.settings,
    }
