"""Replay of arrivals at the admission queue of one simulated target, without a network."""

import heapq
import itertools
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from random import Random

from comfreyhitch.admission.models import AdmissionDecision, QueueEntry, SchedulingTerms
from comfreyhitch.admission.queue import (
    DEFAULT_TENANT_SHARE,
    AdmissionQueue,
    release,
    request_admission,
    request_scheduled_admission,
    withdraw,
)
from comfreyhitch.admission.schedule import Schedule
from comfreyhitch.admission.work_estimates import record_work
from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.sections.models import TrafficClass

SLOTS = 5
# 3 in 100 requests take 7 times as long as the others.
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
MEAN_FACTOR = 1.0 + TAIL_SHARE * (TAIL_FACTOR - 1.0)
SLOW_SHARE = 0.25
SLOW_FACTOR = 5.0
SLOW_PERIOD_SECONDS = 0.15
WARM_UP_SECONDS = 5.0


@dataclass(frozen=True)
class Kind:
    """Describe one kind of request: arrivals a second, and times in seconds."""

    name: str
    rank: int
    rate: float
    work: float
    objective: float
    deadline: float
    is_nested: bool = False
    tenants: tuple[tuple[str, float], ...] = (("default", 1.0),)


BUILD_FARM = (
    Kind("publish-release", 0, 51.6, 0.071, 0.270, 0.863),
    Kind("submit-build", 1, 77.5, 0.140, 0.510, 1.225),
    Kind("fetch-log", 2, 221.0, 0.100, 0.410, 1.026),
    Kind("sign-package", 2, 19.6, 0.082, 0.260, 0.833),
)
TENDER_PLATFORM = (
    Kind("notice-browse", 0, 293.0, 0.133, 0.613, 1.5),
    Kind("bid-submit", 1, 89.3, 0.178, 0.724, 1.5),
    Kind("dossier-fetch", 2, 38.2, 0.108, 1.425, 4.618),
)
WITH_NESTED_CALLS = (
    Kind("internal", 1, 200.0, 0.033, 0.195, 0.597, is_nested=True),
    Kind("notice-browse", 0, 100.0, 0.133, 0.613, 1.5),
    Kind("bid-submit", 1, 40.0, 0.178, 0.724, 1.5),
)


@dataclass
class Result:
    """Hold the requests of one kind by what became of them; times in seconds."""

    arrived: int = 0
    served: int = 0
    timely: int = 0
    late_responses: int = 0
    # How long refused requests were held, as a share of their time until the deadline.
    held_shares: list[float] = field(default_factory=list)

    @property
    def served_share(self):
        """Return the share of the requests that were answered before their deadline."""
        return self.served / max(1, self.arrived)

    @property
    def timely_share(self):
        """Return the share of the requests that were answered within their objective."""
        return self.timely / max(1, self.arrived)


@dataclass
class Replay:
    """Replay arrivals of several kinds at a target; `load` is a multiple of what it can take."""

    kinds: tuple[Kind, ...]
    random: Random
    is_by_cost: bool
    load: float = 1.5
    has_slow_periods: bool = False
    # Seconds at which the load changes, and the load from then on.
    load_changes: tuple[tuple[float, float], ...] = ()
    limit: int = SLOTS
    now: float = 0.0
    results: dict[str, Result] = field(default_factory=lambda: defaultdict(Result))
    served_by_tenant: Counter = field(default_factory=Counter)
    arrived_by_tenant: Counter = field(default_factory=Counter)
    max_waiting: int = 0
    arrived_at: dict[QueueEntry, float] = field(default_factory=dict)
    events: list = field(default_factory=list)
    numbers: itertools.count = field(default_factory=itertools.count)
    slow_until: list = field(default_factory=list)

    def __post_init__(self):
        self.queue = AdmissionQueue.from_slots(SLOTS)
        self.queue.limit.limit = self.limit
        self.queue.limit.is_fixed = True
        if self.is_by_cost:
            self.queue.schedule = Schedule()
        demand = sum(kind.rate * kind.work * MEAN_FACTOR for kind in self.kinds)
        self.rate_factor = self.limit / demand

    def run(self, seconds):
        """Replay the arrivals of some seconds, and return the results by kind."""
        self.until = seconds
        self._draw_pace(seconds + 60.0)
        for kind in self.kinds:
            self._plan_arrival(kind)
        while self.events:
            self.now, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
            self.max_waiting = max(self.max_waiting, len(self.queue.waiting))
        assert self.queue.running == 0
        assert not self.queue.waiting
        return self.results

    def _plan(self, at, callback, *arguments):
        heapq.heappush(self.events, (at, next(self.numbers), callback, arguments))

    def _get_load(self):
        load = self.load
        for at, changed in self.load_changes:
            if self.now >= at:
                load = changed
        return load

    def _plan_arrival(self, kind):
        rate = kind.rate * self.rate_factor * self._get_load()
        at = self.now + self.random.expovariate(rate)
        if at < self.until:
            self._plan(at, self._arrive, kind)

    def _draw_pace(self, seconds):
        at = 0.0
        while self.has_slow_periods and at < seconds:
            at += self.random.expovariate(SLOW_SHARE / (1 - SLOW_SHARE) / SLOW_PERIOD_SECONDS)
            duration = self.random.expovariate(1 / SLOW_PERIOD_SECONDS)
            self.slow_until.append((at, at + duration))
            at += duration

    def _get_slowness(self, at):
        return SLOW_FACTOR if any(start <= at < end for start, end in self.slow_until) else 1.0

    def _finish_work(self, work_seconds):
        """Return when work that starts now ends; it makes less progress in slow periods."""
        at = self.now
        for start, end in self.slow_until:
            if end <= at:
                continue
            if at < start:
                if at + work_seconds <= start:
                    break
                work_seconds -= start - at
                at = start
            progress = (end - at) / SLOW_FACTOR
            if progress >= work_seconds:
                return at + work_seconds * SLOW_FACTOR
            work_seconds -= progress
            at = end
        return at + work_seconds

    def _arrive(self, kind):
        self._plan_arrival(kind)
        names, weights = zip(*kind.tenants, strict=True)
        tenant = self.random.choices(names, weights)[0]
        entry = QueueEntry(
            tenant,
            (TrafficClass.CRITICAL, TrafficClass.NORMAL, TrafficClass.BACKGROUND)[kind.rank],
            self.now + kind.deadline,
            lambda refusal: self._resolve(kind, entry, refusal),
        )
        self.arrived_at[entry] = self.now
        if self._counts(entry):
            self.results[kind.name].arrived += 1
            self.arrived_by_tenant[tenant] += 1
        if self.is_by_cost:
            entry.terms = SchedulingTerms(
                route=kind.name,
                rank=kind.rank,
                arrived_at=self.now,
                objective_at=self.now + kind.objective,
                is_nested=kind.is_nested,
                has_returned=False,
            )
            decision, refusal = request_scheduled_admission(self.queue, entry, self.now)
        else:
            decision, refusal = request_admission(self.queue, entry, DEFAULT_TENANT_SHARE)
        if decision is AdmissionDecision.WAIT:
            limit_at = entry.terms.give_up_at if self.is_by_cost else entry.deadline
            self._plan(limit_at, self._give_up, entry)
        else:
            self._resolve(kind, entry, refusal)

    def _counts(self, entry):
        return self.arrived_at[entry] >= WARM_UP_SECONDS

    def _give_up(self, entry):
        withdraw(self.queue, entry, Refusal.OVERLOADED, self.now)

    def _resolve(self, kind, entry, refusal):
        arrived_at = self.arrived_at[entry]
        if refusal is not None:
            if self._counts(entry):
                held = (self.now - arrived_at) / kind.deadline
                self.results[kind.name].held_shares.append(held)
            return
        is_tail = self.random.random() < TAIL_SHARE
        work_seconds = kind.work * (TAIL_FACTOR if is_tail else 1.0)
        self._plan(self._finish_work(work_seconds), self._end, kind, entry, self.now)

    def _end(self, kind, entry, started_at):
        if self.is_by_cost:
            slowness = (self._get_slowness(started_at) + self._get_slowness(self.now)) / 2
            estimates = self.queue.schedule.estimates
            record_work(estimates, kind.name, self.now - started_at, slowness, self.now)
        if self._counts(entry):
            result = self.results[kind.name]
            seconds = self.now - self.arrived_at[entry]
            result.served += seconds <= kind.deadline
            result.late_responses += seconds > kind.deadline
            result.timely += seconds <= kind.objective
            self.served_by_tenant[entry.tenant] += seconds <= kind.deadline
        release(self.queue, entry, self.now)
