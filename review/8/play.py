"""A service with the weight 0 in a split, which no configuration lets run anything."""

import json
import time
from collections import Counter

from comfreyhitch.testing.fleet import start_platform
from comfreyhitch.testing.operator_documents import make_configuration, write_configuration
from comfreyhitch.testing.platform_fleet import add_platform_instance, is_ready, read_run_log
from comfreyhitch.testing.platform_models import HOST_NAME, PlatformFleet
from comfreyhitch.testing.processes import wait_until
from review.fleet2 import Record, Sent, run_case, send_all, send_request

# The service that gets a weight of 0 in every configuration that names it for these routes.
UNUSED = "payments-next"
SERVICES = {"payments": 2, "payments-old": 1, UNUSED: 1}
SPLIT = [
    {"Service": "payments", "Weight": 90},
    {"Service": UNUSED, "Weight": 0},
    {"Service": "payments-old", "Weight": 10},
]
ROUTES = 60
REQUESTS_OF_A_ROUTE = 6
CONFIG_APPLY_SECONDS = 2.0


def make_routes(version: int, target: dict[str, object]) -> dict[str, object]:
    """Return a configuration with routes for deposits that all lead to the same target."""
    content = make_configuration(version, list(SERVICES))
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
            **target,
        }
        for number in range(ROUTES)
    ]
    return content


def play(fleet: PlatformFleet, record: Record, has_trouble: bool) -> bool:
    """Return whether the unused service ran a deposit."""
    start_platform(fleet.fleet)
    write_configuration(fleet, make_routes(3, {"Service": "payments"}))
    for service, count in SERVICES.items():
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
    if has_trouble:
        write_configuration(fleet, make_routes(7, {"Split": SPLIT}))
        record.write(f"version 7 acknowledged, each route with Split {json.dumps(SPLIT)}")
    time.sleep(CONFIG_APPLY_SECONDS)
    sent = send_all(
        [
            lambda machine=machine, number=number: send_request(
                machine.host, f"/shop-{number}/deposit/x", machine=machine.name
            )
            for _ in range(REQUESTS_OF_A_ROUTE)
            for number in range(ROUTES)
            for machine in machines
        ]
    )
    for item in sent:
        record.write_sent(item)
    return check(fleet, record, {item.request_id: item for item in sent})


def check(fleet: PlatformFleet, record: Record, sent_by_id: dict[str, Sent]) -> bool:
    """Record which service ran each deposit, and return whether the unused one ran any."""
    services = {
        f"i-{machine.name}-1": machine.service for machine in fleet.instances_by_name.values()
    }
    counts: Counter[str] = Counter()
    for run in read_run_log(fleet):
        sent = sent_by_id.get(run.request_id)
        if sent is None:
            continue
        service = services[run.instance_id]
        counts[service] += 1
        if service == UNUSED:
            line = f"{run.request_id} {sent.path} of {sent.machine} is run by {run.instance_id}"
            record.write(f"ROUTE broken: {line}", run.logged_at)
    statuses = Counter(item.status for item in sent_by_id.values())
    record.write(f"statuses {dict(statuses)}, runs by service {dict(counts)}")
    if not counts:
        raise RuntimeError("no deposit ran")
    return counts[UNUSED] > 0


if __name__ == "__main__":
    run_case(__file__, play)
