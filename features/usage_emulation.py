"""Emulate candidates of the usage duty, their store and their platform in virtual time."""

import heapq
import itertools
from dataclasses import dataclass, field
from random import Random

import greenlet
from result import Err, Ok

from comfreyhitch.usage.calls import (
    CandidateAnswer,
    DutyCalls,
    Posted,
    PostResult,
    WriteFailure,
    Written,
)
from comfreyhitch.usage.counts import (
    SourceCounts,
    UsageTable,
    count_start,
    count_withdrawal,
    merge_source,
    remove_old_windows,
)
from comfreyhitch.usage.duty import Duty, observe_record, run_duty_step
from comfreyhitch.usage.lease import Lease
from comfreyhitch.usage.models import DutyTerms, FoundRecord
from comfreyhitch.usage.true_time import TrueTime, get_window, take_reading

TERMS = DutyTerms()
EPOCH = 1_767_000_000.0
STEP_SECONDS = 0.1
STORE_TIMEOUT_SECONDS = 2.5
THAW_SLACK_SECONDS = 0.3
ACCOUNTS = ("pulo780", "kabo51", "x")


@dataclass(slots=True)
class World:
    """Run greenlets in virtual time, which starts at 0."""

    now: float = 0.0
    events: list = field(default_factory=list)
    serial: itertools.count = field(default_factory=itertools.count)
    hub: greenlet.greenlet | None = None

    def spawn(self, action, delay_seconds=0.0):
        """Run an action in a greenlet of its own."""
        self._schedule(greenlet.greenlet(action), delay_seconds)

    def sleep(self, seconds):
        """Let other greenlets run for a virtual time."""
        self._schedule(greenlet.getcurrent(), seconds)
        self.hub.switch()

    def run(self, until):
        """Run all greenlets until a time."""
        self.hub = greenlet.getcurrent()
        while self.events and self.events[0][0] <= until:
            self.now, _, current = heapq.heappop(self.events)
            current.parent = self.hub
            current.switch()
        self.now = until

    def _schedule(self, current, seconds):
        heapq.heappush(self.events, (self.now + seconds, next(self.serial), current))


@dataclass(slots=True)
class Store:
    """Hold one record with conditional writes, which may take effect late or lose their answer."""

    record: object = None
    revision: int = 10
    era: int = 1
    copy: tuple | None = None
    writes: int = 0
    is_down: bool = False
    delay_seconds: float = 0.01
    lost_answers: int = 0

    def read(self):
        """Return the record as a linearizable read shows it."""
        return FoundRecord(self.record, self.revision, self.era, exists=self.record is not None)

    def write(self, record, revision, exists):
        """Write the record if the revision is still the present one."""
        if exists != (self.record is not None) or (exists and revision != self.revision):
            return Err((WriteFailure.REJECTED, "conflict"))
        self.record = record
        self.revision += 1
        self.writes += 1
        return Ok(Written(self.revision, self.era))

    def restore(self):
        """Come back from the copy, in a new era that gives out revisions again."""
        if self.copy is not None:
            self.record, self.revision = self.copy
            self.era += 1


@dataclass(frozen=True, slots=True)
class Call:
    """Hold a call that the platform has received."""

    at: float
    holder: str
    token: int
    window: int
    body: str
    is_excused: bool


@dataclass(slots=True)
class Platform:
    """Hold the received calls; while down, it answers none and takes none."""

    calls: list = field(default_factory=list)
    is_down: bool = False
    delay_seconds: float = 0.02
    lost_answers: int = 0
    # Whether targets prove long after a window that requests of it have not run.
    has_late_withdrawals: bool = False


class Node:
    """Run one candidate, with faults of its own."""

    def __init__(self, world, name, nodes, store, platform, random):
        self.world, self.name, self.nodes = world, name, nodes
        self.store, self.platform, self.random = store, platform, random
        self.clock_error = 0.0
        self.paused_until = self.resumed_at = -10.0
        self.is_cut_from_store = self.is_cut_from_peers = self.is_cut_from_platform = False
        self.life = 0
        self.start()

    def start(self):
        """Start a process that knows nothing."""
        self.life += 1
        writer = f"{self.name}/{self.life}"
        true_time = TrueTime.from_clocks(
            lambda: self.world.now, lambda: EPOCH + self.world.now + self.clock_error
        )
        current = get_window(true_time.now(), TERMS.window_seconds)
        self.duty = Duty(
            lease=Lease(self.name, writer),
            table=UsageTable.from_window((self.name, writer), current),
            terms=TERMS,
            true_time=true_time,
            calls=DutyCalls(self._read, self._write, self._post, self._ask),
            random=self.random,
        )
        life = self.life
        for action in (self._step, self._push, self._watch):
            self.world.spawn(lambda action=action: action(life), self.random.uniform(0.0, 0.5))

    @property
    def current_window(self):
        """Return the window that this node takes for the present one."""
        return get_window(self.duty.true_time.now(), TERMS.window_seconds)

    def _sleep(self, seconds):
        """Sleep, and go on only after a pause of the process."""
        self.world.sleep(seconds)
        while self.world.now < self.paused_until:
            self.world.sleep(self.paused_until - self.world.now)

    def _step(self, life):
        while self.life == life:
            rank = sorted(self.nodes).index(self.name)
            run_duty_step(self.duty, rank)
            self._sleep(STEP_SECONDS)

    def _push(self, life):
        while self.life == life:
            take_reading(self.duty.true_time)
            table, current = self.duty.table, self.current_window
            for _ in range(self.random.randrange(4)):
                count_start(table, current, self.random.choice(ACCOUNTS))
            if self.platform.has_late_withdrawals and current - 1 in table.own.counts_by_window:
                count_withdrawal(table, current - 1, self.random.choice(ACCOUNTS))
            table.own.closed_through = current - 1
            remove_old_windows(table, current)
            for node in self._list_reachable():
                _copy_source(self.duty, table.own_id, node.duty)
            self._sleep(1.0)

    def _watch(self, life):
        shown = None
        while self.life == life:
            found = self.store.read()
            if not self.store.is_down and not self.is_cut_from_store and found != shown:
                shown = found
                self._sleep(self.random.choice((0.0, 0.02, 0.5)))
                if self.life == life:
                    observe_record(self.duty, found)
            self._sleep(0.05)

    def _list_reachable(self):
        return [
            node
            for node in self.nodes.values()
            if node is not self
            and not (node.is_cut_from_peers or self.is_cut_from_peers)
            and self.world.now >= node.paused_until
        ]

    def _ask(self, window):
        self._sleep(0.01)
        answers = []
        for node in self._list_reachable():
            for source_id in list(node.duty.table.sources_by_id):
                _copy_source(node.duty, source_id, self.duty)
            lease = node.duty.lease
            record = None if lease.is_from_copy else lease.record
            answers.append(CandidateAnswer(node.duty.table.complete_since, record))
        return answers

    def _read(self):
        if self.store.is_down or self.is_cut_from_store:
            self._sleep(STORE_TIMEOUT_SECONDS)
            return Err("unavailable")
        self._sleep(self.store.delay_seconds)
        found = self.store.read()
        self._sleep(0.01)
        return Ok(found)

    def _write(self, record, revision, exists):
        result = []
        is_lost = self.store.is_down or self.is_cut_from_store

        def apply():
            result.append(self.store.write(record, revision, exists))

        if not is_lost:
            self.world.spawn(apply, self.store.delay_seconds)
        if self.store.lost_answers > 0:
            self.store.lost_answers -= 1
            is_lost = True
        sent_at = self.world.now
        while self.world.now - sent_at < STORE_TIMEOUT_SECONDS:
            self._sleep(0.01)
            if result and not is_lost:
                return result[0]
        return Err((WriteFailure.UNKNOWN, "timed out"))

    def _post(self, report, token, may_send, timeout_seconds):
        self._sleep(self.random.choice((0.0, 0.01, 0.3)))
        if not may_send():
            return Posted(PostResult.NOT_SENT)
        state = {"is_reset": False, "is_answered": False}
        life = self.life

        def arrive():
            is_cut = self.platform.is_down or self.is_cut_from_platform
            if state["is_reset"] or is_cut or self.life != life:
                return
            # Only a suspended sender could not reset the call in time.
            thawed_for = self.world.now - self.resumed_at
            call = Call(
                self.world.now,
                self.name,
                token,
                report.window,
                report.body,
                is_excused=self.world.now < self.paused_until
                or 0 <= thawed_for <= THAW_SLACK_SECONDS,
            )
            self.platform.calls.append(call)
            state["is_answered"] = self.platform.lost_answers <= 0
            self.platform.lost_answers -= 1

        self.world.spawn(arrive, self.platform.delay_seconds)
        sent_at = self.world.now
        while self.world.now - sent_at < timeout_seconds and may_send():
            self._sleep(0.05)
            if state["is_answered"]:
                return Posted(PostResult.ACKNOWLEDGED)
        state["is_reset"] = True
        return Posted(PostResult.RESET)


def make_world(seed, count=3):
    """Return a world with candidates, and its parts."""
    world, store, platform, nodes = World(), Store(), Platform(), {}
    for number in range(count):
        name = f"node-{number}"
        nodes[name] = Node(world, name, nodes, store, platform, Random(f"{seed}/{number}"))
    return world, store, platform, nodes


def pause(node, seconds):
    """Suspend a process, as a machine that is suspended does."""
    node.paused_until = node.resumed_at = node.world.now + seconds


def _copy_source(sender, source_id, receiver):
    source = sender.table.sources_by_id[source_id]
    if source_id == receiver.table.own_id:
        return
    heard_at = receiver.true_time.read_boot() if source_id == sender.table.own_id else 0.0
    received = SourceCounts(
        {window: dict(counts) for window, counts in source.counts_by_window.items()},
        source.closed_through,
        heard_at,
    )
    current = get_window(receiver.true_time.now(), TERMS.window_seconds)
    merge_source(receiver.table, source_id, received, current)
