"""The platform's store moves to another address, and the settings files say so."""

import signal
import subprocess
import time

from comfreyhitch.testing.fleet import PLATFORM_PORT, start_platform
from comfreyhitch.testing.http_requests import request
from comfreyhitch.testing.platform_models import PlatformFleet
from comfreyhitch.testing.processes import kill, spawn, stop_gracefully, wait_until
from review.fleet2 import Record, run_case
from review.moved_route import move_route, start_machines

RELAY_ADMIN_PORT = 7399
OLD_ADDRESS, NEW_ADDRESS = 251, 252
# How long both addresses lead to the store after the settings have changed.
OVERLAP_SECONDS = 8.0
# Longer than `Contact`.
SETTLE_SECONDS = 5.0


def start_address(fleet: PlatformFleet, last_octet: int) -> subprocess.Popen:
    """Let a further address lead to the store, and return the process that does."""
    prefix = fleet.fleet.prefix
    host = f"{prefix}.{last_octet}"
    command = ["-m", "comfreyhitch.testing.relay", "--host", host]
    command += ["--target", f"{prefix}.250:{PLATFORM_PORT}"]
    command += ["--admin-port", str(RELAY_ADMIN_PORT)]
    process = spawn(fleet.fleet.folder, f"address-{last_octet}", command, {})
    wait_until(lambda: request(host, "/healthz", port=PLATFORM_PORT).status < 500, 10.0, host)
    return process


def move_store(fleet: PlatformFleet, record: Record) -> None:
    """Change the address in all settings files, and send SIGHUP to the daemons."""
    prefix = fleet.fleet.prefix
    for machine in fleet.instances_by_name.values():
        path = fleet.fleet.folder / f"{machine.name}.conf"
        changed = path.read_text().replace(
            f"Platform.Address={prefix}.{OLD_ADDRESS}:", f"Platform.Address={prefix}.{NEW_ADDRESS}:"
        )
        new_path = path.with_suffix(".new")
        new_path.write_text(changed)
        new_path.replace(path)
        machine.daemon.send_signal(signal.SIGHUP)
        record.write(f"{machine.name}: settings name the new address of the store, SIGHUP is sent")


def play(fleet: PlatformFleet, record: Record, has_trouble: bool) -> bool:
    """Return whether the old service ran a deposit that was sent too late for it."""
    start_platform(fleet.fleet)
    addresses = [start_address(fleet, OLD_ADDRESS), start_address(fleet, NEW_ADDRESS)]
    try:
        fleet.settings["Platform.Address"] = f"{fleet.fleet.prefix}.{OLD_ADDRESS}:{PLATFORM_PORT}"
        start_machines(fleet)
        if has_trouble:
            move_store(fleet, record)
        time.sleep(OVERLAP_SECONDS)
        if has_trouble:
            stop_gracefully(addresses[0])
            record.write("the old address does not lead to the store any more")
        time.sleep(SETTLE_SECONDS)
        return move_route(fleet, record)
    finally:
        for process in addresses:
            kill(process)


if __name__ == "__main__":
    run_case(__file__, play)
