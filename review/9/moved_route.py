"""Move the route of deposits to another service, and see which service runs them afterwards."""

import time
from collections import Counter

from comfreyhitch.testing.operator_documents import make_configuration, write_configuration
from comfreyhitch.testing.platform_fleet import add_platform_instance, is_ready, read_run_log
from comfreyhitch.testing.platform_models import HOST_NAME, PlatformFleet
from comfreyhitch.testing.processes import wait_until
from review.fleet2 import Record, Sent, send_all, send_request

OLD, NEW = "payments", "payments-next"
MACHINES_OF_A_SERVICE = 2
CONFIG_APPLY_SECONDS = 2.0
SEND_SECONDS = 6.0
ROUNDS_A_SECOND = 5
FIRST_VERSION, SECOND_VERSION = 3, 7


def make_route(version: int, service: str) -> dict[str, object]:
    """Return a configuration whose route for deposits leads to a service."""
    content = make_configuration(version, [OLD, NEW])
    content["Routes"] = [
        {
            "Name": "deposit",
            "Host": HOST_NAME,
            "Prefix": "/deposit/",
            "Kind": "non_idempotent",
            "Timeout": "2000ms",
            "Slo": "600ms",
            "Priority": 1,
            "Attempts": 2,
            "Service": service,
        }
    ]
    return content


def start_machines(fleet: PlatformFleet) -> None:
    """Write the first configuration, and start machines of both services that serve it."""
    write_configuration(fleet, make_route(FIRST_VERSION, OLD))
    for service in (OLD, NEW):
        for _ in range(MACHINES_OF_A_SERVICE):
            add_platform_instance(fleet, service, "za-west-a", ["--slots", "9"])
    for machine in fleet.instances_by_name.values():
        wait_until(lambda machine=machine: is_ready(machine), 20.0, machine.name)
        wait_until(
            lambda machine=machine: send_request(machine.host, "/deposit/first").status == 200,
            20.0,
            f"{machine.name} serves",
        )


def move_route(fleet: PlatformFleet, record: Record) -> bool:
    """Move the route under steady deposits; return whether the old service ran a late one."""
    write_configuration(fleet, make_route(SECOND_VERSION, NEW))
    acknowledged_at = time.time()
    record.write(f"version {SECOND_VERSION} acknowledged: deposits go to {NEW}")
    sent: list[Sent] = []
    while time.time() < acknowledged_at + SEND_SECONDS:
        sent += send_all(
            [
                lambda machine=machine: send_request(
                    machine.host, "/deposit/x", machine=machine.name
                )
                for machine in fleet.instances_by_name.values()
            ]
        )
        time.sleep(1 / ROUNDS_A_SECOND)
    return _has_late_runs(fleet, record, sent, acknowledged_at)


def _has_late_runs(
    fleet: PlatformFleet, record: Record, sent: list[Sent], acknowledged_at: float
) -> bool:
    services = {
        f"i-{machine.name}-1": machine.service for machine in fleet.instances_by_name.values()
    }
    service_by_id = {run.request_id: services[run.instance_id] for run in read_run_log(fleet)}
    counts: Counter[tuple[str, str]] = Counter()
    for item in sent:
        record.write_sent(item)
        age = item.sent_at - acknowledged_at
        is_late = age > CONFIG_APPLY_SECONDS
        service = service_by_id.get(item.request_id, "nobody")
        counts["after the bound" if is_late else "before it", service] += 1
        if is_late and service == OLD:
            line = f"{item.request_id}, sent {age:.2f} s after the acknowledgement, is run by {OLD}"
            record.write(f"CONFIG broken: {line}", item.sent_at)
    record.write(f"runs: {dict(counts)}")
    if not any(service in (OLD, NEW) for _, service in counts):
        raise RuntimeError("no deposit ran")
    return counts["after the bound", OLD] > 0
