"""Let faulty upstreams send bytes that are no response, and see whether daemons still answer."""

import asyncio
import random
import time
from pathlib import Path

from review.standins import fleet, upstream
from review.standins.case import run_case
from review.standins.fleet import Answer, Deployment, Machine, note

# Services with the timeouts of their routes, and the requests a second.
SLOW_SERVICE = "catalogue"
FAST_SERVICE = "orders"
TIMEOUT_MS_BY_SERVICE = {SLOW_SERVICE: 8000, FAST_SERVICE: 2500}
RATE_BY_SERVICE = {SLOW_SERVICE: 20.0, FAST_SERVICE: 40.0}
PLACES = (
    ("sthlm-a", SLOW_SERVICE),
    ("sthlm-b", SLOW_SERVICE),
    ("sthlm-c", SLOW_SERVICE),
    ("sthlm-d", SLOW_SERVICE),
    ("sthlm-c", FAST_SERVICE),
    ("sthlm-d", FAST_SERVICE),
)
FAULTY_COUNT = 2
SPOILT_SHARE = 0.03
FAULT_SECONDS = 5.0
FAULT_TIMES = 4
PAUSE_SECONDS = 9.0
WORK_SECONDS = 0.1
DEADLINE_MS = 12_000
# A request without an answer this long after its route's timeout has none in time.
ANSWER_SECONDS = 0.5
CHECK_SECONDS = 0.25


async def play(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether most requests that reach their route's timeout stay without an answer."""
    await fleet.start_store(deployment)
    services = list(TIMEOUT_MS_BY_SERVICE)
    configuration = fleet.make_configuration(services)
    for route in configuration["Routes"]:
        route["Timeout"] = f"{TIMEOUT_MS_BY_SERVICE[route['Service']]}ms"
    await fleet.put(deployment, "config", "main", configuration)
    for zone, service in PLACES:
        machine = fleet.add_machine(deployment, zone, service)
        server = fleet.make_upstream(deployment, machine, work_seconds=WORK_SECONDS)
        await upstream.start(server)
        fleet.start_daemon(deployment, machine)
    await fleet.serve_all(deployment, services)
    silent_seconds = {machine.name: 0.0 for machine in deployment.machines}
    checks = [
        asyncio.create_task(check_readiness(deployment, machine, silent_seconds))
        for machine in deployment.machines
    ]
    traffic = [asyncio.create_task(send_traffic(deployment, service)) for service in services]
    for _ in range(FAULT_TIMES):
        await asyncio.sleep(PAUSE_SECONDS)
        faulty = [machine.upstream for machine in deployment.machines[:FAULTY_COUNT]]
        for server in faulty if has_trouble else ():
            server.is_endless = lambda: random.random() < SPOILT_SHARE
        note(deployment, f"{len(faulty)} upstreams send bytes that are no response: {has_trouble}")
        await asyncio.sleep(FAULT_SECONDS)
        for server in faulty:
            server.is_endless = lambda: False
    await asyncio.sleep(PAUSE_SECONDS)
    for task in (*traffic, *checks):
        task.cancel()
    await asyncio.sleep(DEADLINE_MS / 1000)
    overdue = [get_overdue_seconds(item) for item in deployment.answers]
    late = [seconds for seconds in overdue if seconds > 0.0]
    silent = [seconds for seconds in late if seconds > ANSWER_SECONDS]
    note(
        deployment,
        f"  result: {len(late)} of {len(deployment.answers)} requests had no answer at the timeout,"
        f" {len(silent)} none {ANSWER_SECONDS} s later, the longest {max(late, default=0.0):.1f} s",
    )
    rounded = {name: round(seconds, 1) for name, seconds in silent_seconds.items()}
    note(deployment, f"  result: longest silence of the readiness check in seconds: {rounded}")
    return 2 * len(silent) > len(late)


def get_overdue_seconds(answer: Answer) -> float:
    """Return how long after its route's timeout a client got an answer, or gave up."""
    service = answer.path.split("/")[1].removesuffix("-once")
    return answer.answered_at - answer.sent_at - TIMEOUT_MS_BY_SERVICE[service] / 1000


async def check_readiness(
    deployment: Deployment, machine: Machine, silent_seconds: dict[str, float]
) -> None:
    """Ask a daemon whether it is ready, and keep the longest time without an answer."""
    answered_at = time.monotonic()
    while True:
        try:
            await asyncio.wait_for(fleet.is_ready(deployment, machine), 1.0)
            answered_at = time.monotonic()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            silence = time.monotonic() - answered_at
            silent_seconds[machine.name] = max(silent_seconds[machine.name], silence)
        await asyncio.sleep(CHECK_SECONDS)


async def send_traffic(deployment: Deployment, service: str) -> None:
    """Send requests to a service at a steady rate through each machine, until cancelled."""
    tasks = set()
    number = 0
    next_at = time.monotonic()
    while True:
        machine = deployment.machines[number % len(deployment.machines)]
        method, route = ("GET", service) if service == SLOW_SERVICE else ("POST", f"{service}-once")
        sending = fleet.send(
            deployment, machine, f"/{route}/{number}", method=method, deadline_ms=DEADLINE_MS
        )
        task = asyncio.create_task(sending)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        number += 1
        next_at += 1 / RATE_BY_SERVICE[service]
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
