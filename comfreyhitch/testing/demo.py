"""Run the demo: a small fleet, the evacuation and return of a zone, and two rollouts."""

import json
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random

import gevent

from comfreyhitch.management.editing import read_section, write_section
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.sections.acceptance import parse_section_status
from comfreyhitch.sections.storage import get_section
from comfreyhitch.testing.fleet import (
    Fleet,
    Instance,
    add_instance,
    call_service,
    get_target_state,
    start_daemon,
    start_fleet,
    start_platform,
    start_target,
    stop_fleet,
    wait_until_joined,
)
from comfreyhitch.testing.processes import (
    wait_until,
)

INSTANCE_COUNTS_BY_SERVICE = {"catalogue": 3, "payments": 3, "workshop": 5}
ZONES = ("za", "zb", "zc")
CALLER_COUNT = 8
CALL_PAUSE_SECONDS = 0.02
ROLLOUT_DURATION = timedelta(seconds=30)
PrintLine = Callable[[str], None]


@dataclass(slots=True)
class TrafficStatistics:
    """Count the responses that callers got, and hold their latencies."""

    random: Random
    responses: Counter[tuple[str, str]] = field(default_factory=Counter)
    versions: Counter[str] = field(default_factory=Counter)
    latencies_seconds: list[float] = field(default_factory=list)
    without_ran_verdict_count: int = 0


def run_demo(print_line: PrintLine) -> bool:
    """Run the demo; return whether the good rollout succeeded and the bad one was rolled back."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet.from_folder(Path(folder))
        try:
            return _run(fleet, print_line)
        finally:
            stop_fleet(fleet)


def _run(fleet: Fleet, print_line: PrintLine) -> bool:
    start_platform(fleet)
    for service, count in INSTANCE_COUNTS_BY_SERVICE.items():
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            add_instance(fleet, service, zone, target_arguments=["--warm-up-seconds", "2"])
    start_fleet(fleet)
    print_line(f"{len(fleet.instances_by_name)} daemons started in zones {', '.join(ZONES)}")
    client = PlatformClient.from_url(fleet.platform_url)
    _write_section(client, "workshop", {"services": {"workshop": {"version": "v1"}}, "freezes": []})
    _write_section(
        client, "web-shop", {"services": {"payments": {"version": "v1"}, "catalogue": {}}}
    )
    _write_section(client, "zones", {"zones": {zone: {"state": "in"} for zone in ZONES}})
    traffic = TrafficStatistics(Random(7))
    callers = [gevent.spawn(_call_forever, fleet, traffic) for _ in range(CALLER_COUNT)]
    try:
        gevent.sleep(3)
        _report(print_line, traffic, "normal traffic for 3 s")
        _show_zone_out(fleet, client, traffic, print_line)
        is_done = _show_rollout(fleet, client, traffic, print_line, "v2", {})
        is_rolled_back = not _show_rollout(
            fleet, client, traffic, print_line, "v3", {"failure_share": 0.5}
        )
    finally:
        gevent.killall(callers)
    print_line(f"total responses without verdict ran: {traffic.without_ran_verdict_count}")
    return is_done and is_rolled_back


def _show_zone_out(
    fleet: Fleet, client: PlatformClient, traffic: TrafficStatistics, print_line: PrintLine
) -> None:
    states = {zone: {"state": "out" if zone == "zb" else "in"} for zone in ZONES}
    _write_section(client, "zones", {"zones": states})
    gevent.sleep(2)
    before = _count_runs(fleet, "zb")
    gevent.sleep(2)
    after = _count_runs(fleet, "zb")
    _report(print_line, traffic, f"zone zb is out: it got {after - before} new requests in 2 s")
    _write_section(client, "zones", {"zones": {zone: {"state": "in"} for zone in ZONES}})
    gevent.sleep(3)
    back = _count_runs(fleet, "zb")
    _report(print_line, traffic, f"zone zb is back: it got {back - after} requests in 3 s")


def _show_rollout(
    fleet: Fleet,
    client: PlatformClient,
    traffic: TrafficStatistics,
    print_line: PrintLine,
    version: str,
    faults: dict[str, float],
) -> bool:
    current = "v1" if version == "v2" else "v2"
    for zone in ZONES:
        arguments = ["--faults", json.dumps(faults)]
        instance = add_instance(
            fleet, "workshop", zone, version=version, target_arguments=arguments
        )
        start_daemon(fleet, instance)
        start_target(fleet, instance)
    wait_until_joined(fleet)
    start = datetime.now(UTC)
    rollout = {
        "to": version,
        "start": start.isoformat(),
        "finish_by": (start + ROLLOUT_DURATION).isoformat(),
    }
    service = {"version": current, "rollout": rollout}
    _write_section(client, "workshop", {"services": {"workshop": service}, "freezes": []})
    started_at = time.monotonic()
    traffic.versions.clear()
    outcome = _wait_for_outcome(client)
    seconds = time.monotonic() - started_at
    _report(
        print_line,
        traffic,
        f"rollout of workshop to {version}: {outcome['phase']} after {seconds:.0f} s of "
        f"{ROLLOUT_DURATION.seconds} s ({outcome['reason']}); "
        f"{traffic.versions[version]} requests ran on {version}",
    )
    return outcome["phase"] == "done"


def _wait_for_outcome(client: PlatformClient) -> dict[str, str]:
    found: dict[str, str] = {}

    def has_ended() -> bool:
        item = get_section(client, "workshop").unwrap()
        status = parse_section_status(item)
        accepted = status.accepted
        if accepted is None or accepted.generation != item.generation:
            return False
        wanted = accepted.content["services"]["workshop"]["rollout"]["to"]
        for entry in status.rollouts.values():
            if entry["to"] == wanted and entry["phase"] in ("done", "rolled-back"):
                found.update(entry)
        return bool(found)

    wait_until(has_ended, ROLLOUT_DURATION.total_seconds() + 30, "rollout")
    return found


def _write_section(client: PlatformClient, name: str, content: dict) -> None:
    base = read_section(client, name).unwrap()
    write_section(client, name, content, base).unwrap()


def _count_runs(fleet: Fleet, zone: str) -> int:
    instances = [item for item in fleet.instances_by_name.values() if item.zone == zone]
    return sum(get_target_state(item)["requests"] for item in instances)


def _call_forever(fleet: Fleet, traffic: TrafficStatistics) -> None:
    while True:
        instances: list[Instance] = list(fleet.instances_by_name.values())
        instance = traffic.random.choice(instances[: sum(INSTANCE_COUNTS_BY_SERVICE.values())])
        service = traffic.random.choice(list(INSTANCE_COUNTS_BY_SERVICE))
        is_deposit = service == "payments"
        options: dict = {}
        if is_deposit:
            key = f"{traffic.random.getrandbits(64):x}"
            options = {"method": "POST", "body": b"1", "headers": {"Idempotency-Key": key}}
        started_at = time.monotonic()
        with suppress(OSError):
            response = call_service(instance, service, **options)
            traffic.without_ran_verdict_count += response.verdict != "ran"
            traffic.responses[(service, response.verdict)] += 1
            if service == "workshop" and response.status == 200:
                traffic.versions[response.json["version"]] += 1
        traffic.latencies_seconds.append(time.monotonic() - started_at)
        gevent.sleep(CALL_PAUSE_SECONDS)


def _report(print_line: PrintLine, traffic: TrafficStatistics, title: str) -> None:
    seconds = sorted(traffic.latencies_seconds)
    verdicts: Counter[str] = Counter()
    for (_, verdict), count in traffic.responses.items():
        verdicts[verdict] += count
    counts = ", ".join(f"{count} {verdict}" for verdict, count in sorted(verdicts.items()))
    p99_ms = seconds[int(len(seconds) * 0.99)] * 1000 if seconds else 0.0
    print_line(f"{title}\n    {counts}; p99 {p99_ms:.0f} ms")
    traffic.responses.clear()
    traffic.latencies_seconds.clear()
