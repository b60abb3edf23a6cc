"""A service is taken out of its splits by the weight 0, and gets deposits all the same."""

import time
from collections import Counter

from comfreyhitch.testing.fleet import start_platform
from comfreyhitch.testing.operator_documents import make_configuration, write_configuration
from comfreyhitch.testing.platform_fleet import add_platform_instance, is_ready, read_run_log
from comfreyhitch.testing.platform_models import HOST_NAME, PlatformFleet, PlatformInstance
from comfreyhitch.testing.processes import wait_until
from review.fleet2 import Record, Sent, run_case, send_all, send_request

KEPT, TAKEN_OUT = "payments", "payments-old"
MACHINES = {KEPT: 3, TAKEN_OUT: 1}
WEIGHTS_BEFORE = {KEPT: 50, TAKEN_OUT: 50}
WEIGHTS_AFTER = {KEPT: 1, TAKEN_OUT: 0}
FIRST_VERSION, SECOND_VERSION = 3, 7
ROUTES = 6
REQUESTS_BEFORE, REQUESTS_AFTER = 7, 30
CONFIG_APPLY_SECONDS = 2.0


def make_routes(version: int, weights: dict[str, int]) -> dict[str, object]:
    """Return a configuration with routes for deposits that are split by weights."""
    content = make_configuration(version, list(MACHINES))
    split = [{"Service": service, "Weight": weight} for service, weight in weights.items()]
    content["Routes"] = [
        {
            "Name": f"deposit-{number}",
            "Host": HOST_NAME,
            "Prefix": f"/shop-{number}/deposit/",
            "Kind": "non_idempotent",
            "Timeout": "2000ms",
            "Slo": "600ms",
            "Priority": 1,
            "Attempts": 2,
            "Split": split,
        }
        for number in range(ROUTES)
    ]
    return content


def send_deposits(machines: list[PlatformInstance], count: int) -> list[Sent]:
    """Send a number of deposits on each route through each machine."""
    return send_all(
        [
            lambda machine=machine, number=number: send_request(
                machine.host, f"/shop-{number}/deposit/x", machine=machine.name
            )
            for _ in range(count)
            for number in range(ROUTES)
            for machine in machines
        ]
    )


def play(fleet: PlatformFleet, record: Record, has_trouble: bool) -> bool:
    """Return whether the service ran deposits that were sent too late for it."""
    start_platform(fleet.fleet)
    write_configuration(fleet, make_routes(FIRST_VERSION, WEIGHTS_BEFORE))
    for service, count in MACHINES.items():
        for _ in range(count):
            add_platform_instance(fleet, service, "za-west-a", ["--slots", "9"])
    machines = list(fleet.instances_by_name.values())
    for machine in machines:
        wait_until(lambda machine=machine: is_ready(machine), 20.0, machine.name)
        wait_until(
            lambda machine=machine: (
                send_request(machine.host, "/shop-0/deposit/first").status == 200
            ),
            20.0,
            f"{machine.name} serves",
        )
    sent = send_deposits(machines, REQUESTS_BEFORE)
    acknowledged_at = None
    if has_trouble:
        write_configuration(fleet, make_routes(SECOND_VERSION, WEIGHTS_AFTER))
        acknowledged_at = time.time()
        record.write(f"version {SECOND_VERSION} acknowledged, weights {WEIGHTS_AFTER}")
    time.sleep(CONFIG_APPLY_SECONDS + 0.5)
    sent += send_deposits(machines, REQUESTS_AFTER)
    return check(fleet, record, sent, acknowledged_at)


def check(
    fleet: PlatformFleet, record: Record, sent: list[Sent], acknowledged_at: float | None
) -> bool:
    """Record which service ran each deposit, and return whether one ran some of the late ones."""
    services = {
        f"i-{machine.name}-1": machine.service for machine in fleet.instances_by_name.values()
    }
    service_by_id = {run.request_id: services[run.instance_id] for run in read_run_log(fleet)}
    counts: Counter[tuple[str, str]] = Counter()
    for item in sent:
        record.write_sent(item)
        service = service_by_id.get(item.request_id, "nobody")
        is_late = (
            acknowledged_at is not None and item.sent_at > acknowledged_at + CONFIG_APPLY_SECONDS
        )
        counts["after the bound" if is_late else "before it", service] += 1
        if is_late and service == TAKEN_OUT:
            age = item.sent_at - acknowledged_at
            line = f"{item.request_id} {item.path}, sent {age:.2f} s after the acknowledgement"
            record.write(f"CONFIG broken: {line}, is run by {service}", item.sent_at)
    record.write(f"runs: {dict(counts)}")
    if not any(service == KEPT for _, service in counts):
        raise RuntimeError("no deposit ran")
    return counts["after the bound", TAKEN_OUT] > 0


if __name__ == "__main__":
    run_case(__file__, play)
