"""Repeat a request that crashes the only upstream of its service."""

import asyncio
import time
from pathlib import Path

from review.standins import fleet, upstream
from review.standins.case import run_case
from review.standins.fleet import Deployment, note

SERVICE = "payments"
OTHER_SERVICE = "catalogue"
PLACES = (("za-west-a", SERVICE), ("za-west-b", OTHER_SERVICE), ("za-west-c", OTHER_SERVICE))
POISON = f"/{SERVICE}/poison"
DOWN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
CRASHES_BEFORE = 3
MOST_RETRIES = 3
POISON_INTERVAL_SECONDS = 1.0
LENGTH_SECONDS = 40.0
REQUESTS_PER_SECOND = 40.0


async def play(deployment: Deployment, has_trouble: bool) -> bool:
    """Return whether the request reached upstreams too often after its third crash."""
    await fleet.start_store(deployment)
    configuration = fleet.make_configuration([SERVICE, OTHER_SERVICE])
    await fleet.put(deployment, "config", "main", configuration)
    for zone, service in PLACES:
        machine = fleet.add_machine(deployment, zone, service)
        server = fleet.make_upstream(deployment, machine)
        if has_trouble:
            server.on_arrival = crash_on_poison
        await upstream.start(server)
        fleet.start_daemon(deployment, machine)
    await fleet.serve_all(deployment, [SERVICE, OTHER_SERVICE])
    traffic = asyncio.create_task(send_traffic(deployment))
    await send_poison(deployment)
    traffic.cancel()
    await asyncio.sleep(3.0)
    arrivals = [
        item
        for machine in deployment.machines
        for item in machine.upstream.arrivals
        if item.path == POISON
    ]
    late = []
    if has_trouble and len(arrivals) > CRASHES_BEFORE:
        # Each run crashes an upstream, so the third crash is the third arrival.
        since = arrivals[CRASHES_BEFORE - 1].at + CONTACT_SECONDS
        sent_at_by_id = {item.request_id: item.sent_at for item in deployment.answers}
        late = [item for item in arrivals if sent_at_by_id.get(item.request_id, 0.0) > since]
    others = [item for item in deployment.answers if item.path != POISON]
    served = sum(item.status == 200 for item in others)
    note(
        deployment,
        f"  result: {len(arrivals)} arrivals of the crashing request, {len(late)} of them sent"
        f" later than {CONTACT_SECONDS} s after the third crash, at most {MOST_RETRIES} allowed",
    )
    note(deployment, f"  result: {served} of {len(others)} other requests served")
    return len(late) > MOST_RETRIES


def crash_on_poison(server: upstream.Upstream, arrival: upstream.Arrival) -> None:
    """End an upstream that begins to run the crashing request."""
    if arrival.path == POISON:
        server.server.close()
        asyncio.get_running_loop().call_soon(lambda: _keep(asyncio.create_task(crash(server))))


async def crash(server: upstream.Upstream) -> None:
    """End an upstream, and start it again as a new incarnation after a pause."""
    await upstream.stop(server)
    await asyncio.sleep(DOWN_SECONDS)
    server.instance_id = f"{server.instance_id}x"
    server.sequence = 0
    await upstream.start(server)


async def send_poison(deployment: Deployment) -> None:
    """Send the crashing request at intervals, in turn through each machine."""
    until = time.monotonic() + LENGTH_SECONDS
    number = 0
    while time.monotonic() < until:
        machine = deployment.machines[number % len(deployment.machines)]
        await fleet.send(deployment, machine, POISON)
        number += 1
        await asyncio.sleep(POISON_INTERVAL_SECONDS)


async def send_traffic(deployment: Deployment) -> None:
    """Send requests that may run once at a steady rate through each machine, until cancelled."""
    number = 0
    next_at = time.monotonic()
    while True:
        machine = deployment.machines[number % len(deployment.machines)]
        path = f"/{SERVICE}-once/{number}"
        sending = fleet.send(deployment, machine, path, method="POST", body=b"deposit")
        _keep(asyncio.create_task(sending))
        number += 1
        next_at += 1 / REQUESTS_PER_SECOND
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))


_tasks: set[asyncio.Task] = set()


def _keep(task: asyncio.Task) -> None:
    _tasks.add(task)
    task.add_done_callback(_tasks.discard)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
