"""Run a fleet under load while its daemons are stopped and started again."""

from collections.abc import Collection
from pathlib import Path
from random import Random

import gevent

from comfreyhitch.testing.operator_documents import write_configuration
from comfreyhitch.testing.platform_fleet import (
    read_run_ends,
    read_run_log,
    start_platform_fleet,
    stop_platform_fleet,
)
from comfreyhitch.testing.stops.callers import (
    CALLERS_BY_KIND,
    LONG_SERVICE,
    LONG_SHARE,
    SHORT_SERVICE,
    Load,
    run_caller,
    watch_hold_ups,
)
from comfreyhitch.testing.stops.checker import check_exchanges
from comfreyhitch.testing.stops.joining import join_runs, record_drained, record_hold_ups
from comfreyhitch.testing.stops.plan import (
    StopKind,
    StopStep,
    draw_steps,
    draw_steps_with_series,
)
from comfreyhitch.testing.stops.records import CallerKind
from comfreyhitch.testing.stops.state import StopRun
from comfreyhitch.testing.stops.stopping import make_stop_configuration, stop_and_start

# Slots are so few that long requests wait in the queues of the targets' daemons. A target that
# leaves finishes its work, so that none of its requests is excused by its end.
TARGETS = [
    (SHORT_SERVICE, "za", ["--slots", "16", "--finish-work"]),
    (LONG_SERVICE, "za", ["--slots", "12", "--finish-work"]),
    (LONG_SERVICE, "zb", ["--slots", "12", "--finish-work"]),
    (SHORT_SERVICE, "zb", ["--slots", "16", "--finish-work"]),
    (SHORT_SERVICE, "za", ["--slots", "16", "--finish-work"]),
    (LONG_SERVICE, "za", ["--slots", "12", "--finish-work"]),
]
# Each lane stops its own daemons, so that stops of the two lanes overlap.
LANES = ([0, 1, 4], [3, 2, 5])
WARM_UP_SECONDS = 1.0
END_TIMEOUT_SECONDS = 15.0


def run_stops(
    seed: int,
    stop_count: int,
    folder: Path,
    *,
    rate: float,
    grace_seconds: float,
    kinds: Collection[CallerKind] = tuple(CallerKind),
    long_share: float = LONG_SHARE,
    has_series: bool = False,
) -> StopRun:
    """Stop daemons as the plan of a seed says while callers send `rate` requests per second.

    With `has_series`, stops overlap and a process gets several signals during one.
    """
    fleet = start_platform_fleet(folder, TARGETS, grace_seconds=grace_seconds)
    counts_by_kind = {kind: CALLERS_BY_KIND[kind] for kind in kinds}
    caller_count = len(TARGETS) * sum(counts_by_kind.values())
    run = StopRun(fleet, Load(caller_count / rate, grace_seconds, long_share), [])
    try:
        write_configuration(fleet, make_stop_configuration(2))
        _play(run, Random(seed), stop_count, counts_by_kind, has_series=has_series)
    finally:
        stop_platform_fleet(fleet)
    run.runs_by_id = join_runs(read_run_log(fleet), read_run_ends(fleet))
    for instance in run.instances:
        path = fleet.fleet.folder / f"{instance.name}-daemon.log"
        record_drained([stop for stop in run.stops if stop.instance == instance.name], path)
    record_hold_ups(run.load.exchanges, run.stops, run.load.hold_ups)
    run.findings = check_exchanges(run.load.exchanges, run.runs_by_id, run.stops, grace_seconds)
    return run


def _play(
    run: StopRun,
    random: Random,
    stop_count: int,
    counts_by_kind: dict[CallerKind, int],
    *,
    has_series: bool,
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
        draw = draw_steps_with_series if has_series else draw_steps
        lanes = []
        for numbers, count in zip(LANES, counts, strict=True):
            steps = draw(random, numbers, count, run.fleet.grace_seconds)
            lanes.append(gevent.spawn(_play_lane, run, steps))
        gevent.joinall(lanes, raise_error=True)
        run.load.is_ended = True
        gevent.joinall(callers, timeout=END_TIMEOUT_SECONDS, raise_error=True)
    finally:
        gevent.killall(callers)


def _play_lane(run: StopRun, steps: list[StopStep]) -> None:
    for step in steps:
        gevent.sleep(step.pause_seconds)
        stops = []
        for number, series in zip(step.numbers, step.series, strict=True):
            if stops:
                if step.kind is StopKind.AGAIN:
                    gevent.joinall(stops, raise_error=True)
                gevent.sleep(step.event_seconds)
            stops.append(gevent.spawn(stop_and_start, run, run.instances[number], step, series))
        gevent.joinall(stops, raise_error=True)
