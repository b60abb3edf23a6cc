"""Processes of a small deployment on loopback addresses, its operator and its clients."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import uuid
from dataclasses import dataclass, field
from pathlib import Path

from review.standins import http11
from review.standins.upstream import Upstream

ROOT = Path(__file__).resolve().parents[2]
STORE_COMMAND = ["python3", "-m", "comfreyhitch.testing.platform"]
HOST_NAME = "shop.example"
METRICS_PORT = 9464
PORT_NAMES = ("Inbound", "Outbound", "ReadinessAddr", "Control")
START_SECONDS = 20.0


class SetupError(Exception):
    """Signal that a case could not run, which says nothing about the rule."""


@dataclass(slots=True)
class Answer:
    """Hold what a client saw of one request; times are monotonic seconds, status 0 is none."""

    request_id: str
    path: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0
    body: bytes = b""
    detail: str = ""


@dataclass(slots=True)
class Machine:
    """Hold one machine: its address, its daemon and its upstream."""

    name: str
    host: str
    zone: str
    service: str
    daemon: subprocess.Popen | None = None
    started_at: float = 0.0
    upstream: Upstream | None = None


@dataclass(slots=True)
class Deployment:
    """Hold the processes of a case."""

    folder: Path
    prefix: str
    ports: dict[str, int]
    store: subprocess.Popen | None = None
    machines: list[Machine] = field(default_factory=list)
    bounds: dict[str, str] = field(default_factory=dict)
    answers: list[Answer] = field(default_factory=list)
    log: list[str] = field(default_factory=list)
    began_at: float = field(default_factory=time.monotonic)

    @property
    def store_host(self) -> str:
        """Return the address of the store."""
        return f"{self.prefix}.250"


def make_deployment() -> Deployment:
    """Return a deployment with a temporary folder and free loopback addresses and ports."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    for _ in range(50):
        prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        first = random.randint(12, 28) * 1000
        names = [*PORT_NAMES, "App", "Store", "Peer"]
        ports = {name: first + number for number, name in enumerate(names)}
        addresses = [f"{prefix}.{number}" for number in (1, 2, 3, 250)]
        if all(_is_free(host, port) for host in addresses for port in ports.values()):
            return Deployment(folder, prefix, ports)
    raise SetupError("found no free addresses")


def note(deployment: Deployment, text: str) -> None:
    """Add a line to the record, with the seconds since the case began."""
    deployment.log.append(f"{time.monotonic() - deployment.began_at:8.3f}  {text}")


async def start_store(deployment: Deployment, command: list[str] | None = None) -> None:
    """Start the stand-in for the platform's store."""
    arguments = ["--host", deployment.store_host, "--port", str(deployment.ports["Store"])]
    deployment.store = _spawn(deployment, "store", [*(command or STORE_COMMAND), *arguments], {})
    await wait_until(lambda: _answers(deployment), START_SECONDS, "store")


async def _answers(deployment: Deployment) -> bool:
    response = await http11.call(
        deployment.store_host, deployment.ports["Store"], "GET", "/healthz"
    )
    return http11.get_status(response) == 200


async def put(
    deployment: Deployment, kind: str, name: str, spec: dict, status: dict | None = None
) -> None:
    """Create a document of the operator, or of another writer."""
    await _change(deployment, "POST", f"/v1/objects/{kind}", name, spec, status)


async def replace(deployment: Deployment, kind: str, name: str, spec: dict) -> None:
    """Replace an operator's document."""
    await _change(deployment, "PUT", f"/v1/objects/{kind}/{name}", name, spec, None)


async def _change(
    deployment: Deployment, method: str, path: str, name: str, spec: dict, status: dict | None
) -> None:
    content = {"Metadata": {"Name": name}, "Spec": spec, "Status": status}
    response = await http11.call(
        deployment.store_host,
        deployment.ports["Store"],
        method,
        path,
        headers={"Content-Type": "application/json"},
        body=json.dumps(content).encode(),
    )
    if http11.get_status(response) != 200:
        raise SetupError(f"store answered {response.first_line} to {method} {path}")
    note(deployment, f"store: {method} {path} of {name} acknowledged")


async def read_status(deployment: Deployment, kind: str, name: str) -> dict:
    """Return the status of a document."""
    port = deployment.ports["Store"]
    path = f"/v1/objects/{kind}/{name}"
    response = await http11.call(deployment.store_host, port, "GET", path)
    return json.loads(response.body).get("Status") or {}


def make_configuration(
    services: list[str], *, cold_per_second: float = 8.4, timeout_ms: int = 2500
) -> dict:
    """Return a configuration with an idempotent and a non-idempotent route for each service."""
    routes = [
        {
            "Name": f"r-{service}{suffix}",
            "Host": HOST_NAME,
            "Prefix": f"/{service}{suffix}/",
            "Kind": kind,
            "Timeout": f"{timeout_ms}ms",
            "Slo": "600ms",
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
            "MaxConns": 240,
            "ColdStart": "3s",
            "ColdPerS": cold_per_second,
        }
        for service in services
    ]
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    }
    return {"Version": 3, "Routes": routes, "Services": profiles, "Limits": limits}


def add_machine(deployment: Deployment, zone: str, service: str) -> Machine:
    """Add a machine without starting anything on it."""
    number = len(deployment.machines) + 1
    machine = Machine(f"side-{zone}-{number}", f"{deployment.prefix}.{number}", zone, service)
    deployment.machines.append(machine)
    return machine


def make_upstream(deployment: Deployment, machine: Machine, **values: object) -> Upstream:
    """Return a new incarnation of a machine's upstream, which is not started yet."""
    machine.upstream = Upstream(
        instance_id=f"i-{uuid.uuid4().hex[:8]}",
        service=machine.service,
        zone=machine.zone,
        host=machine.host,
        port=deployment.ports["App"],
        control_port=deployment.ports["Control"],
        **values,
    )
    return machine.upstream


def start_daemon(deployment: Deployment, machine: Machine) -> None:
    """Start the daemon of a machine with the command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    command = deploy["roles"]["balancer"]["run"].split(" ")
    path = deployment.folder / f"{machine.name}.conf"
    settings = _make_settings(deployment, machine)
    path.write_text("".join(f"{name}={value}\n" for name, value in settings.items()))
    machine.daemon = _spawn(deployment, machine.name, command, {"COMFREYHITCH_CONFIG": str(path)})
    machine.started_at = time.monotonic()
    note(deployment, f"daemon of {machine.name} ({machine.service}) started")


def kill_daemon(deployment: Deployment, machine: Machine) -> None:
    """Kill the daemon of a machine."""
    machine.daemon.send_signal(signal.SIGKILL)
    machine.daemon.wait()
    note(deployment, f"daemon of {machine.name} killed")


async def is_ready(deployment: Deployment, machine: Machine) -> bool:
    """Return whether a daemon says that it is ready."""
    port = deployment.ports["ReadinessAddr"]
    return http11.get_status(await http11.call(machine.host, port, "GET", "/v1/ready")) == 200


async def wait_until(condition: object, timeout_s: float, description: str) -> None:
    """Wait until an asynchronous condition holds; an `OSError` means that it does not yet."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        try:
            if await condition():
                return
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.05)
    raise SetupError(f"{description}: not within {timeout_s} s")


async def send(
    deployment: Deployment,
    machine: Machine,
    path: str,
    *,
    method: str = "GET",
    body: bytes = b"",
    deadline_ms: int = 2500,
) -> Answer:
    """Send one client request on a new connection, and record what the client saw."""
    answer = Answer(uuid.uuid4().hex[:16], path, time.monotonic())
    deployment.answers.append(answer)
    headers = {
        "Host": HOST_NAME,
        "X-Comfreyhitch-Request-Id": answer.request_id,
        "X-Comfreyhitch-Deadline-Ms": str(deadline_ms),
    }
    try:
        response = await http11.call(
            machine.host,
            deployment.ports["Outbound"],
            method,
            path,
            headers=headers,
            body=body,
            timeout_s=deadline_ms / 1000 + 1.0,
        )
        answer.status = http11.get_status(response)
        answer.body = response.body
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        answer.detail = repr(error)
    answer.answered_at = time.monotonic()
    return answer


async def serve_all(deployment: Deployment, services: list[str]) -> None:
    """Wait until each machine has had each of the services answer."""
    for machine in deployment.machines:
        await wait_until(
            lambda machine=machine: is_ready(deployment, machine), START_SECONDS, machine.name
        )
        for service in services:

            async def is_served(machine: Machine = machine, service: str = service) -> bool:
                return (await send(deployment, machine, f"/{service}/start")).status == 200

            await wait_until(is_served, START_SECONDS, f"{service} from {machine.name}")
    deployment.answers.clear()


async def stop_all(deployment: Deployment) -> None:
    """End every process that the case started."""
    for machine in deployment.machines:
        if machine.upstream is not None and machine.upstream.beats is not None:
            machine.upstream.beats.cancel()
        _end(machine.daemon)
    _end(deployment.store)
    shutil.rmtree(deployment.folder, ignore_errors=True)


def _end(process: subprocess.Popen | None) -> None:
    if process is not None and process.poll() is None:
        process.kill()
        process.wait()


def _spawn(
    deployment: Deployment, name: str, command: list[str], environment: dict[str, str]
) -> subprocess.Popen:
    kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
    kept["PYTHONPATH"] = str(ROOT / "target/deps")
    kept["PYTHONDONTWRITEBYTECODE"] = "1"
    with (deployment.folder / f"{name}.log").open("ab") as log:
        return subprocess.Popen(
            command,
            cwd=ROOT,
            env={**kept, **environment},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )


def _make_settings(deployment: Deployment, machine: Machine) -> dict[str, str]:
    ports = deployment.ports
    zones = sorted({item.zone for item in deployment.machines})
    return {
        "Node": machine.name,
        "Role": "balancer",
        "MachineClass": "sidecar",
        "Serves": "sidecar",
        "Ip": machine.host,
        "Zone": machine.zone,
        "Region": "za-west",
        **{f"Zones.{zone}": "za-west" for zone in zones},
        **{f"Listen.{name}": f"{machine.host}:{ports[name]}" for name in PORT_NAMES},
        "PortRange": f"{ports['Peer']},{ports['Peer'] + 15}",
        "Seeds": "",
        "Bootstrap": "true",
        "Limits.MemoryMb": "300",
        "Discovery": "local",
        "Entry": "local",
        "Heartbeat": "1500ms",
        "Contracts": "base,drain,config,cost,retry,recover,health,places,rollout,platform",
        "Bounds.Contact": "3000ms",
        "Bounds.Drain": "2000ms",
        "Bounds.Grace": "6s",
        "Bounds.ConfigApply": "2000ms",
        "Bounds.BudgetRatio": "0.2",
        "Bounds.BudgetWindow": "10s",
        "Bounds.BudgetExtra": "60",
        "Bounds.ExposeShare": "0.1",
        "Bounds.ExposeSlack": "50",
        "Bounds.Rollback": "5000ms",
        "Bounds.ColdFactor": "1.5",
        "Bounds.ColdSlack": "5",
        "Bounds.Evacuate": "5000ms",
        "Bounds.Recovery": "15s",
        "Bounds.ProbesPerS": "60",
        "AppAddr": f"{machine.host}:{ports['App']}",
        "Service": machine.service,
        "Platform.Address": f"{deployment.store_host}:{ports['Store']}",
        "Platform.form": "objects",
        "Platform.WritesPerS": "400",
        "Platform.ReadsPerS": "2000",
        "Platform.History": "20s",
        **deployment.bounds,
    }


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as sock:
            try:
                sock.bind((host, port))
            except OSError:
                return False
    return True
