"""Run one soak: a fleet, its callers, the faults of a seed, and the checks."""

from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

import gevent

from comfreyhitch.core.clock import Clock
from comfreyhitch.testing.platform_fleet import (
    read_run_log,
    send,
    start_platform_fleet,
    stop_platform_fleet,
)
from comfreyhitch.testing.platform_models import (
    PlatformFleet,
)
from comfreyhitch.testing.processes import (
    wait_until,
)
from comfreyhitch.testing.soak.callers import Caller, Sent, call_forever
from comfreyhitch.testing.soak.checks import Observations, find_broken
from comfreyhitch.testing.soak.faults import inject, restore
from comfreyhitch.testing.soak.plan import Fault, FaultKind, draw_plan
from comfreyhitch.testing.soak.state import Injector, note_end

SERVICES = ["catalogue", "payments"]
ZONES = ["za", "zb"]
TARGET_ARGUMENTS = ["--cold-seconds", "2", "--cold-per-second", "8", "--slots", "8"]
RECOVERY_SECONDS = 15.0
CALLERS_PER_KIND = 2
SETTLE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Hold what a soak found, and how much it did."""

    seed: int
    broken: list[str]
    faults: Counter[str]
    statuses: Counter[int]
    longest_stop_seconds: float


def run_soak(seed: int, seconds: float, folder: Path, kind_count: int | None = None) -> SoakResult:
    """Run one soak whose processes log into a folder; all of them are ended after it."""
    plan = draw_plan(seed, seconds, kind_count)
    targets = [(service, zone, TARGET_ARGUMENTS) for service in SERVICES for zone in ZONES]
    fleet = start_platform_fleet(folder, targets, has_relays=True)
    injector = Injector(fleet, SERVICES)
    callers = _make_callers(injector)
    greenlets = [gevent.spawn(call_forever, caller) for caller in callers]
    watcher = gevent.spawn(_follow_versions, injector, callers)
    try:
        _run_plan(injector, plan)
        restore(injector)
        served_after = _check_recovery(fleet)
        for caller in callers:
            caller.is_stopping = True
        gevent.joinall(greenlets, timeout=RECOVERY_SECONDS)
        return _conclude(injector, seed, callers, served_after)
    finally:
        watcher.kill()
        gevent.killall(greenlets)
        stop_platform_fleet(fleet)


def _run_plan(injector: Injector, plan: list[Fault]) -> None:
    started_at = monotonic()
    running = []
    for fault in plan:
        gevent.sleep(max(0.0, started_at + fault.at - monotonic()))
        running.append(gevent.spawn(inject, injector, fault))
    gevent.joinall(running, raise_error=True)
    gevent.sleep(SETTLE_SECONDS)


def _make_callers(injector: Injector) -> list[Caller]:
    clock = Clock.from_system()
    callers = []
    for instance in injector.fleet.instances_by_name.values():
        for is_idempotent in (True, False):
            suffix = "" if is_idempotent else "-once"
            paths = [f"/{service}{suffix}/" for service in SERVICES]
            for number in range(CALLERS_PER_KIND):
                name = f"{instance.name}{suffix}-{number}"
                callers.append(Caller(name, instance, paths, clock, is_idempotent))
    return callers


def _follow_versions(injector: Injector, callers: list[Caller]) -> None:
    """Let callers ask for the routes of the newest version and of the one before."""
    while True:
        version = injector.version
        extra = [f"/v{number}/" for number in (version - 1, version) if number > 1]
        for caller in callers:
            if caller.is_idempotent:
                caller.paths = [f"/{service}/" for service in SERVICES] + extra
        gevent.sleep(0.1)


def _check_recovery(fleet: PlatformFleet) -> dict[str, bool]:
    served_after = {}
    ends_at = monotonic() + RECOVERY_SECONDS
    for instance in fleet.instances_by_name.values():

        def is_served(instance=instance) -> bool:
            return all(send(instance, f"/{service}/x")[1].status == 200 for service in SERVICES)

        try:
            wait_until(is_served, max(0.1, ends_at - monotonic()), instance.name)
            served_after[instance.name] = True
        except TimeoutError:
            served_after[instance.name] = False
    return served_after


def _conclude(
    injector: Injector, seed: int, callers: list[Caller], served_after: dict[str, bool]
) -> SoakResult:
    instances = injector.fleet.instances_by_name.values()
    for instance in instances:
        note_end(injector, instance.name, instance.daemon)
        note_end(injector, instance.name, instance.target)
    sent: list[Sent] = [item for caller in callers for item in caller.sent if item.ended_at]
    seen = Observations(
        sent=sent,
        runs=read_run_log(injector.fleet),
        spans=injector.spans,
        accepted_at_by_version=injector.accepted_at_by_version,
        zones_by_instance_name={instance.name: instance.zone for instance in instances},
        own_ends=injector.own_ends,
        served_after=served_after,
    )
    faults = Counter(span.kind.value for span in injector.spans)
    stops = [span for span in injector.spans if span.kind is FaultKind.STOP_DAEMON]
    return SoakResult(
        seed=seed,
        broken=find_broken(seen),
        faults=faults,
        statuses=Counter(item.status for item in sent),
        longest_stop_seconds=max((stop.ended_at - stop.begun_at for stop in stops), default=0.0),
    )
