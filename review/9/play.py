"""A store that answers reads with `Serializable` as it was some seconds ago."""

import time

from moved_route import move_route, start_machines

from comfreyhitch.testing.fleet import PLATFORM_PORT
from comfreyhitch.testing.http_requests import request
from comfreyhitch.testing.platform_models import PlatformFleet
from comfreyhitch.testing.processes import spawn, wait_until
from review.fleet2 import Record, run_case

# The age that `fleetbench kinds` gives as the default of stale reads.
LAG_SECONDS = 3.0
SETTLE_SECONDS = 8.0


def start_store(fleet: PlatformFleet, lag_seconds: float) -> None:
    """Start the store, and wait until it answers."""
    host = f"{fleet.fleet.prefix}.250"
    command = ["review/9/store.py", "--host", host, "--port", str(PLATFORM_PORT)]
    command += ["--lag-seconds", str(lag_seconds)]
    fleet.fleet.platform = spawn(fleet.fleet.folder, "platform", command, {})
    wait_until(
        lambda: request(host, "/healthz", port=PLATFORM_PORT).status < 500, 10.0, "the store"
    )


def play(fleet: PlatformFleet, record: Record, has_trouble: bool) -> bool:
    """Return whether the old service ran a deposit that was sent too late for it."""
    start_store(fleet, LAG_SECONDS if has_trouble else 0.0)
    start_machines(fleet)
    time.sleep(SETTLE_SECONDS)
    return move_route(fleet, record)


if __name__ == "__main__":
    run_case(__file__, play)
