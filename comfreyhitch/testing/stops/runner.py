"""Run a fleet under load while its daemons are stopped and started again."""

import signal
import time
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import gevent

from comfreyhitch.testing.operator_documents import make_configuration, write_configuration
from comfreyhitch.testing.platform_fleet import (
    is_ready,
    read_run_ends,
    read_run_log,
    start_daemon,
    start_platform_fleet,
    stop_platform_fleet,
)
from comfreyhitch.testing.platform_models import PlatformFleet, PlatformInstance
from comfreyhitch.testing.processes import is_running, kill, wait_for_exit, wait_until
from comfreyhitch.testing.stops.callers import (
    CALLERS_BY_KIND,
    LONG_SERVICE,
    LONG_SHARE,
    ROUTE_TIMEOUT_SECONDS,
    SHORT_SERVICE,
    Load,
    run_caller,
    watch_hold_ups,
)
from comfreyhitch.testing.stops.checker import Findings, check_exchanges
from comfreyhitch.testing.stops.joining import join_runs, record_drained, record_hold_ups
from comfreyhitch.testing.stops.plan import StopKind, StopStep, draw_steps
from comfreyhitch.testing.stops.records import CallerKind, Run, Stop

# Slots are so few that long requests wait in the queues of the targets' daemons.
TARGETS = [
    (SHORT_SERVICE, "za", ["--slots", "16"]),
    (LONG_SERVICE, "za", ["--slots", "12"]),
    (LONG_SERVICE, "zb", ["--slots", "12"]),
    (SHORT_SERVICE, "zb", ["--slots", "16"]),
    (SHORT_SERVICE, "za", ["--slots", "16"]),
    (LONG_SERVICE, "za", ["--slots", "12"]),
]
# Each lane stops its own daemons, so that stops of the two lanes overlap.
LANES = ([0, 1, 4], [3, 2, 5])
LONG_OBJECTIVE_SECONDS = 4.0
WARM_UP_SECONDS = 1.0
READY_TIMEOUT_SECONDS = 20.0
# A process that runs for longer than the grace period and this after SIGTERM is killed.
EXIT_MARGIN_SECONDS = 10.0
END_TIMEOUT_SECONDS = 15.0


@dataclass(slots=True)
class StopRun:
    """Hold a run: the fleet, its load, and the stops so far."""

    fleet: PlatformFleet
    load: Load
    stops: list[Stop]
    runs_by_id: dict[str, list[Run]] = field(default_factory=dict)
    findings: Findings = field(default_factory=Findings)

    @property
    def instances(self) -> list[PlatformInstance]:
        """Return all instances in the order of their numbers."""
        return list(self.fleet.instances_by_name.values())


def run_stops(
    seed: int,
    stop_count: int,
    folder: Path,
    *,
    rate: float,
    grace_seconds: float,
    kinds: Collection[CallerKind] = tuple(CallerKind),
    long_share: float = LONG_SHARE,
) -> StopRun:
    """Stop daemons as the plan of a seed says while callers send `rate` requests per second."""
    fleet = start_platform_fleet(folder, TARGETS, grace_seconds=grace_seconds)
    counts_by_kind = {kind: CALLERS_BY_KIND[kind] for kind in kinds}
    caller_count = len(TARGETS) * sum(counts_by_kind.values())
    run = StopRun(fleet, Load(caller_count / rate, grace_seconds, long_share), [])
    try:
        write_configuration(fleet, _make_configuration(2))
        _play(run, Random(seed), stop_count, counts_by_kind)
    finally:
        stop_platform_fleet(fleet)
    run.runs_by_id = join_runs(read_run_log(fleet), read_run_ends(fleet))
    for instance in run.instances:
        path = fleet.fleet.folder / f"{instance.name}-daemon.log"
        record_drained([stop for stop in run.stops if stop.instance == instance.name], path)
    record_hold_ups(run.load.exchanges, run.load.hold_ups)
    run.findings = check_exchanges(run.load.exchanges, run.runs_by_id, run.stops, grace_seconds)
    return run


def _play(
    run: StopRun, random: Random, stop_count: int, counts_by_kind: dict[CallerKind, int]
) -> None:
    run.load.up_names.update(run.fleet.instances_by_name)
    callers = [
        gevent.spawn(run_caller, run.load, instance, kind, Random(random.random()))
        for instance in run.instances
        for kind, count in counts_by_kind.items()
        for _ in range(count)
    ]
    callers.append(gevent.spawn(watch_hold_ups, run.load))
    try:
        gevent.sleep(WARM_UP_SECONDS)
        counts = (stop_count - stop_count // 2, stop_count // 2)
        lanes = []
        for numbers, count in zip(LANES, counts, strict=True):
            steps = draw_steps(random, numbers, count, run.fleet.grace_seconds)
            lanes.append(gevent.spawn(_play_lane, run, steps))
        gevent.joinall(lanes, raise_error=True)
        run.load.is_ended = True
        gevent.joinall(callers, timeout=END_TIMEOUT_SECONDS, raise_error=True)
    finally:
        gevent.killall(callers)


def _play_lane(run: StopRun, steps: list[StopStep]) -> None:
    for step in steps:
        gevent.sleep(step.pause_seconds)
        first, *others = [run.instances[number] for number in step.numbers]
        stops = [gevent.spawn(stop_and_start, run, first, step)]
        for other in others:
            gevent.sleep(step.event_seconds)
            stops.append(gevent.spawn(stop_and_start, run, other, step))
        gevent.joinall(stops, raise_error=True)


def stop_and_start(run: StopRun, instance: PlatformInstance, step: StopStep) -> None:
    """Stop a daemon, wait for the end of its process, and start it again."""
    process = instance.daemon
    stop = Stop(instance.name, time.time(), events=(str(step.kind),))
    process.send_signal(signal.SIGTERM)
    event = gevent.spawn_later(step.event_seconds, _cause_event, run, instance, step)
    try:
        wait_for_exit(process, run.fleet.grace_seconds + EXIT_MARGIN_SECONDS)
    except TimeoutError:
        stop.events = (*stop.events, "killed")
        kill(process)
    stop.exited_at, stop.exit_code = time.time(), process.returncode
    run.load.up_names.discard(instance.name)
    run.stops.append(stop)
    event.kill()
    start_daemon(run.fleet, instance)
    wait_until(lambda: is_ready(instance), READY_TIMEOUT_SECONDS, f"{instance.name} is ready")
    run.load.up_names.add(instance.name)


def _cause_event(run: StopRun, instance: PlatformInstance, step: StopStep) -> None:
    if not is_running(instance.daemon):
        return
    match step.kind:
        case StopKind.SECOND_TERM:
            instance.daemon.send_signal(signal.SIGTERM)
        case StopKind.HANGUP:
            instance.daemon.send_signal(signal.SIGHUP)
        case StopKind.CONFIGURATION:
            version = run.fleet.configuration["Version"] + 1
            write_configuration(run.fleet, _make_configuration(version))


def _make_configuration(version: int) -> dict:
    content = make_configuration(version, [SHORT_SERVICE, LONG_SERVICE])
    for route in content["Routes"]:
        route["Timeout"] = f"{round(ROUTE_TIMEOUT_SECONDS * 1000)}ms"
        if route["Service"] == LONG_SERVICE:
            route["Slo"] = f"{round(LONG_OBJECTIVE_SECONDS * 1000)}ms"
    added = {**content["Routes"][0], "Name": f"r-{version}", "Prefix": f"/new-{version}/"}
    content["Routes"].append(added)
    return content
