"""Send the heartbeats of the stand-in for a platform target, and its departure."""

import json
import os
import time

import gevent
from geventhttpclient import HTTPClient

from comfreyhitch.platform.names import PATH_INSTANCES
from comfreyhitch.testing.target_models import PlatformTarget

HEARTBEAT_INTERVAL_SECONDS = 0.5
DRAIN_DURATION_SECONDS = 2.5
# How long a finished answer may take until it is sent.
LAST_ANSWER_SECONDS = 0.1
# Written to the run log in place of a request id when the daemon has acknowledged a drain.
DRAIN_MARKER = "#drain"


def send_heartbeat(control: str, target: PlatformTarget) -> bool:
    """Send a heartbeat to the target's daemon; return whether the daemon acknowledged it."""
    target.sequence += 1
    content = {
        "Address": target.address,
        "born": target.start_time_ms,
        "Info": {
            "Service": target.service,
            "Version": target.version,
            "Zone": target.zone,
            "Slots": target.slots,
        },
        "Status": {
            "State": "draining" if target.is_draining else "ready",
            "Seq": target.sequence,
            "ColdLeft": f"{target.cold_left_ms}ms",
        },
    }
    return _call_daemon(control, "PUT", target, json.dumps(content).encode())


def _call_daemon(control: str, method: str, target: PlatformTarget, body: bytes) -> bool:
    host, _, port = control.partition(":")
    client = HTTPClient(host, int(port), concurrency=1, connection_timeout=1.0)
    try:
        path = f"{PATH_INSTANCES}{target.instance_id}"
        return client.request(method, path, body).status_code == 200
    except OSError:
        return False
    finally:
        client.close()


def send_heartbeats(control: str, target: PlatformTarget) -> None:
    """Send heartbeats until the greenlet is killed."""
    while True:
        send_heartbeat(control, target)
        gevent.sleep(HEARTBEAT_INTERVAL_SECONDS)


def drain_and_exit(control: str, target: PlatformTarget) -> None:
    """Drain as a target does before a planned end, then end the process."""
    target.is_draining = True
    while not send_heartbeat(control, target):
        gevent.sleep(0.1)
    if target.run_log is not None:
        line = f"{DRAIN_MARKER} {target.instance_id} {time.time():.3f}\n"
        os.write(target.run_log, line.encode())
    gevent.sleep(DRAIN_DURATION_SECONDS)
    while target.is_finishing_work and target.running + target.waiting > 0:
        gevent.sleep(LAST_ANSWER_SECONDS)
    if target.is_finishing_work:
        gevent.sleep(LAST_ANSWER_SECONDS)
    _call_daemon(control, "DELETE", target, b"")
    os._exit(0)
