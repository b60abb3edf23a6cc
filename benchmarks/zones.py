"""Measure when the last request starts in a zone taken out, and the first after its return."""

import time
from collections.abc import Iterator
from random import Random

import gevent

from comfreyhitch.management.editing import read_section, write_section
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.testing.fleet import (
    Fleet,
    add_instance,
    start_fleet,
    start_platform,
)
from comfreyhitch.testing.traffic import Traffic, select_results, start_traffic, stop_traffic

ROUND_COUNT = 5
CALLER_COUNT = 16
SETTLE_SECONDS = 4.0
GOAL_SECONDS = 5.0


def measure_zone_changes(fleet: Fleet) -> Iterator[dict[str, object]]:
    """Take a zone out and bring it back several times under steady traffic."""
    start_platform(fleet)
    for zone in ("za", "zb", "zc", "zd"):
        for _ in range(2):
            add_instance(fleet, "catalogue", zone, target_arguments=["--warm-up-seconds", "1"])
    start_fleet(fleet)
    instances = list(fleet.instances_by_name.values())
    hosts = {item.host for item in instances if item.zone == "zb"}
    client = PlatformClient.from_url(fleet.platform_url)
    traffic = Traffic(instances, "catalogue", Random(5), pause_seconds=0.005)
    start_traffic(traffic, CALLER_COUNT)
    gevent.sleep(3.0)
    seconds_to_last_request = []
    seconds_to_first_request = []
    for _ in range(ROUND_COUNT):
        edited_at = _set_zone_state(client, "out")
        gevent.sleep(SETTLE_SECONDS)
        results_in_zone = select_results(traffic, lambda item: item.host in hosts)
        seconds_to_last_request.append(max(item.started_at for item in results_in_zone) - edited_at)
        edited_at = _set_zone_state(client, "in")
        gevent.sleep(SETTLE_SECONDS)
        results_since_return = select_results(
            traffic, lambda item, since=edited_at: item.host in hosts and item.started_at > since
        )
        seconds_to_first_request.append(
            min(item.started_at for item in results_since_return) - edited_at
        )
    stop_traffic(traffic)
    results_not_run = select_results(traffic, lambda item: item.verdict != "ran")
    yield {
        "case": "zone out and back",
        "rounds": ROUND_COUNT,
        "seconds_to_last_new_request": [round(value, 3) for value in seconds_to_last_request],
        "seconds_to_first_request_back": [round(value, 3) for value in seconds_to_first_request],
        "target_seconds": GOAL_SECONDS,
        "requests": len(traffic.results),
        "requests_not_run": len(results_not_run),
    }


def _set_zone_state(client: PlatformClient, state: str) -> float:
    base = read_section(client, "zones").unwrap()
    write_section(client, "zones", {"zones": {"zb": {"state": state}}}, base).unwrap()
    return time.monotonic()


RUNS = (measure_zone_changes,)
