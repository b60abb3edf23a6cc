"""Run one soak: a fleet, its callers, the faults of a seed, and the checks."""

from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

import gevent

from comfreyhitch.core.clock import Clock
from comfreyhitch.testing.fleet import set_platform_faults
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
from comfreyhitch.testing.soak.callers import Caller, SentRequest, call_forever
from comfreyhitch.testing.soak.checks import Observations, find_violations
from comfreyhitch.testing.soak.faults import inject_fault, restore_fleet
from comfreyhitch.testing.soak.plan import STOP_KINDS, Fault, generate_fault_plan
from comfreyhitch.testing.soak.state import FaultInjector, record_unexpected_exit
from comfreyhitch.watching.waits import NEW_READER_SECONDS

SERVICES = ["catalogue", "payments"]
ZONES = ["za", "zb"]
TARGET_ARGUMENTS = ["--cold-seconds", "2", "--cold-per-second", "8", "--slots", "8"]
RECOVERY_TIMEOUT_SECONDS = 15.0
CALLERS_PER_INSTANCE_AND_KIND = 2
SETTLE_SECONDS = 1.0
# Age of the store's reads that may be stale, in soaks with an even seed.
STALE_READ_SECONDS = 6.0


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Hold the violations that a soak found, and statistics of its faults and responses."""

    seed: int
    violations: list[str]
    fault_counts: Counter[str]
    status_counts: Counter[int]
    longest_stop_seconds: float


def run_soak(seed: int, seconds: float, folder: Path, kind_count: int | None = None) -> SoakResult:
    """Run one soak whose processes log into a folder; kill all of them at the end.

    With an even seed and all kinds of faults, reads that may be stale are seconds old throughout.
    """
    plan = generate_fault_plan(seed, seconds, kind_count)
    targets = [(service, zone, TARGET_ARGUMENTS) for service in SERVICES for zone in ZONES]
    fleet = start_platform_fleet(folder, targets, has_relays=True)
    if kind_count is None and seed % 2 == 0:
        _make_stale_reads_late(fleet)
    injector = FaultInjector(fleet, SERVICES)
    callers = _make_callers(injector)
    greenlets = [gevent.spawn(call_forever, caller) for caller in callers]
    paths_updater = gevent.spawn(_update_caller_paths, injector, callers)
    try:
        _run_plan(injector, plan)
        restore_fleet(injector)
        is_recovered_by_instance_name = _check_recovery(fleet)
        for caller in callers:
            caller.is_stopping = True
        gevent.joinall(greenlets, timeout=RECOVERY_TIMEOUT_SECONDS)
        return _make_result(injector, seed, callers, is_recovered_by_instance_name)
    finally:
        paths_updater.kill()
        gevent.killall(greenlets)
        stop_platform_fleet(fleet)


def _make_stale_reads_late(fleet: PlatformFleet) -> None:
    gevent.sleep(NEW_READER_SECONDS + SETTLE_SECONDS)
    set_platform_faults(fleet.fleet, stale_read_seconds=STALE_READ_SECONDS)


def _run_plan(injector: FaultInjector, plan: list[Fault]) -> None:
    started_at = monotonic()
    running = []
    for fault in plan:
        gevent.sleep(max(0.0, started_at + fault.at_seconds - monotonic()))
        running.append(gevent.spawn(inject_fault, injector, fault))
    gevent.joinall(running, raise_error=True)
    gevent.sleep(SETTLE_SECONDS)


def _make_callers(injector: FaultInjector) -> list[Caller]:
    clock = Clock.from_system()
    callers = []
    for instance in injector.fleet.instances_by_name.values():
        for is_idempotent in (True, False):
            suffix = "" if is_idempotent else "-once"
            paths = [f"/{service}{suffix}/" for service in SERVICES]
            for number in range(CALLERS_PER_INSTANCE_AND_KIND):
                name = f"{instance.name}{suffix}-{number}"
                callers.append(Caller(name, instance, paths, clock, is_idempotent))
    return callers


def _update_caller_paths(injector: FaultInjector, callers: list[Caller]) -> None:
    """Keep the routes of the newest two versions among the paths of idempotent callers."""
    while True:
        version = injector.version
        extra = [f"/v{number}/" for number in (version - 1, version) if number > 1]
        for caller in callers:
            if caller.is_idempotent:
                caller.paths = [f"/{service}/" for service in SERVICES] + extra
        gevent.sleep(0.1)


def _check_recovery(fleet: PlatformFleet) -> dict[str, bool]:
    is_recovered_by_instance_name = {}
    deadline = monotonic() + RECOVERY_TIMEOUT_SECONDS
    for instance in fleet.instances_by_name.values():

        def is_served(instance=instance) -> bool:
            return all(send(instance, f"/{service}/x")[1].status == 200 for service in SERVICES)

        try:
            wait_until(is_served, max(0.1, deadline - monotonic()), instance.name)
            is_recovered_by_instance_name[instance.name] = True
        except TimeoutError:
            is_recovered_by_instance_name[instance.name] = False
    return is_recovered_by_instance_name


def _make_result(
    injector: FaultInjector,
    seed: int,
    callers: list[Caller],
    is_recovered_by_instance_name: dict[str, bool],
) -> SoakResult:
    instances = injector.fleet.instances_by_name.values()
    for instance in instances:
        record_unexpected_exit(injector, instance.name, instance.daemon)
        record_unexpected_exit(injector, instance.name, instance.target)
    sent_requests: list[SentRequest] = [
        item for caller in callers for item in caller.sent_requests if item.ended_at
    ]
    observations = Observations(
        sent_requests=sent_requests,
        runs=read_run_log(injector.fleet),
        spans=injector.spans,
        accepted_at_by_version=injector.accepted_at_by_version,
        zones_by_instance_name={instance.name: instance.zone for instance in instances},
        unexpected_exits=injector.unexpected_exits,
        is_recovered_by_instance_name=is_recovered_by_instance_name,
    )
    fault_counts = Counter(span.kind.value for span in injector.spans)
    stops = [span for span in injector.spans if span.kind in STOP_KINDS]
    return SoakResult(
        seed=seed,
        violations=find_violations(observations),
        fault_counts=fault_counts,
        status_counts=Counter(item.status for item in sent_requests),
        longest_stop_seconds=max((stop.ended_at - stop.started_at for stop in stops), default=0.0),
    )
