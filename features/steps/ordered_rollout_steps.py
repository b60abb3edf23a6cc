"""Ordered rollouts: exposure, stages, judgement and deadline."""

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.clock import MAX_SLEW_RATIO, make_slewed_now
from comfreyhitch.documents.models import RolloutOrder, RolloutState
from comfreyhitch.replication.facts import (
    FactStore,
    make_fact_message,
    merge_facts,
    parse_fact_messages,
)
from comfreyhitch.rollouts.analysis import EvidenceAnalysis, analyze_evidence
from comfreyhitch.rollouts.evidence import EvidenceLog, get_window_evidence, record_outcome
from comfreyhitch.rollouts.exposure import (
    EXPOSURE_LIMITS_BY_STAGE,
    RAMP_SHARE,
    ExposureCounter,
    may_send_to_new_version,
)
from comfreyhitch.rollouts.order_recorder import (
    MAX_RECORDERS,
    TAKEOVER_DELAY,
    RolloutOrderRecorder,
    may_write_state,
)
from comfreyhitch.rollouts.orders import get_deadline
from comfreyhitch.rollouts.stages import (
    OUTCOME_DUE_PROGRESS,
    REQUIREMENTS_BY_STAGE,
    Stage,
    get_next_stage,
    get_regression_thresholds,
)
from features.fakes import FakeClock, make_member

# From the rules of the orders: a version is bad from this share of failures on.
BAD_SHARE = 0.35
SLOW_FACTOR = 8.0
DURATION = timedelta(seconds=14)
# The requests of the service a second, with the rollouts that are emulated of each kind.
ROLLOUTS_BY_RATE = {20: 300, 80: 60}
# An answer is known this much later than its request was sent.
ANSWER_SECONDS = 0.4
JUDGEMENTS_PER_SECOND = 4
ROUTES = ("r1", "r2")
WORK_SECONDS = 0.16
ORDER = RolloutOrder("s1:v2:5", "s1", "v2", DURATION, RolloutState.RUNNING)
MAX_FALSE_ALARMS = 0.03
MAX_MISSED = 0.02
# A bad version may get this share of the requests until the deadline, and this many more.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50


@dataclass(frozen=True)
class Kind:
    """Hold how a version behaves: failing share and slowness at a time, route and stage."""

    failing: Callable[[float, str, Stage], float]
    slowness: Callable[[float, str, Stage], float] = lambda at, route, stage: 1.0


GOOD = Kind(lambda at, route, stage: 0.005)
BAD_KINDS = {
    "errors": Kind(lambda at, route, stage: BAD_SHARE),
    "slow": Kind(lambda at, route, stage: 0.005, lambda at, route, stage: SLOW_FACTOR),
    "one route": Kind(lambda at, route, stage: BAD_SHARE if route == "r1" else 0.005),
    "late": Kind(lambda at, route, stage: BAD_SHARE if at > 3.0 else 0.005),
    "under load": Kind(lambda at, route, stage: BAD_SHARE if stage >= Stage.RAMP else 0.005),
}


@then("all daemons together keep to the bound before a stage, whoever gets the requests")
def check_exposure(context):
    requests = st.lists(st.integers(0, 200), min_size=1, max_size=20)

    @seed(context.seed)
    @given(st.sampled_from([Stage.CANARY, Stage.WIDER]), requests, st.integers(0, 2**32))
    def check(stage, requests_by_daemon, number):
        random = Random(number)
        exposed = 0
        for count in requests_by_daemon:
            tally = ExposureCounter.from_random(random)
            for _ in range(count):
                is_exposed = may_send_to_new_version(tally, stage, len(requests_by_daemon), random)
                tally.requests += 1
                tally.new_version_requests += is_exposed
            exposed += tally.new_version_requests
        rule = EXPOSURE_LIMITS_BY_STAGE[stage]
        # A daemon may be one request ahead of its part, less what its jitter holds back.
        ahead = len(requests_by_daemon)
        assert exposed <= rule.request_share * sum(requests_by_daemon) + rule.fleet_requests + ahead

    check()
    assert all(rule.request_share < EXPOSURE_SHARE for rule in EXPOSURE_LIMITS_BY_STAGE.values())
    assert all(rule.fleet_requests < EXPOSURE_SLACK for rule in EXPOSURE_LIMITS_BY_STAGE.values())


@then("a stage never skips another, and goes up only with time and clean evidence")
def check_stages(context):
    @seed(context.seed)
    @given(
        st.sampled_from(list(Stage)),
        st.floats(0.0, 2.0),
        st.integers(0, 50),
        st.booleans(),
        st.sampled_from([None, "bad"]),
    )
    def check(stage, progress, requests, is_suspicious, regression):
        judgement = EvidenceAnalysis(requests, regression, is_suspicious)
        following = get_next_stage(stage, DURATION * progress, DURATION, judgement)
        assert stage <= following <= stage + 1
        if following > stage:
            assert regression is None and not is_suspicious
            assert requests >= REQUIREMENTS_BY_STAGE[following].min_requests
            assert progress >= REQUIREMENTS_BY_STAGE[following].min_progress - 1e-6

    check()


@then("of 300 good rollouts few are taken back, and of 300 bad ones of each kind few pass")
def check_emulated(context):
    random = Random(context.seed)
    for rate, rollouts in ROLLOUTS_BY_RATE.items():
        alarms = sum(not emulate(GOOD, rate, random)[0] for _ in range(rollouts))
        print(f"good at {rate}/s: {alarms} of {rollouts} taken back")
        assert alarms <= MAX_FALSE_ALARMS * rollouts, (rate, alarms)
        for name, kind in BAD_KINDS.items():
            results = [emulate(kind, rate, random) for _ in range(rollouts)]
            missed = sum(passed for passed, _, _ in results)
            over = sum(
                exposed > EXPOSURE_SHARE * requests + EXPOSURE_SLACK
                for _, requests, exposed in results
            )
            print(f"{name} at {rate}/s: {missed} of {rollouts} passed, {over} over the bound")
            assert missed <= MAX_MISSED * rollouts, (name, missed)
            assert over == 0, (name, rate, over)


def emulate(kind, rate, random):
    """Return whether a version passes, all requests to its service, and those to it."""
    clock = FakeClock()
    logs = {version: EvidenceLog.from_clock(clock.make()) for version in ("v1", "v2")}
    count = ExposureCounter.from_random(random)
    stage = Stage.CANARY
    is_vetoed = False
    answers = deque()
    for number in range(int(DURATION.total_seconds() * rate)):
        clock.seconds = number / rate
        is_new = not is_vetoed and may_send_to_new_version(count, stage, 1, random)
        count.requests += 1
        count.new_version_requests += is_new
        log = logs["v2" if is_new else "v1"]
        behaviour = kind if is_new else GOOD
        answers.append((clock.seconds + ANSWER_SECONDS, log, behaviour, stage))
        while answers[0][0] <= clock.seconds:
            _, log, behaviour, sent_stage = answers.popleft()
            record(log, behaviour, sent_stage, clock, random)
        if is_vetoed or number % (rate // JUDGEMENTS_PER_SECOND):
            continue
        judgement = analyze_evidence(collect(logs, clock), "v2", get_regression_thresholds(stage))
        is_vetoed = judgement.regression is not None
        elapsed = timedelta(seconds=clock.seconds)
        if elapsed < DURATION * OUTCOME_DUE_PROGRESS:
            stage = get_next_stage(stage, elapsed, DURATION, judgement)
    return stage is Stage.PROVEN and not is_vetoed, count.requests, count.new_version_requests


def record(log, kind, stage, clock, random):
    """Count one answer of a version."""
    route = random.choice(ROUTES)
    is_failure = random.random() < kind.failing(clock.seconds, route, stage)
    seconds = WORK_SECONDS * random.lognormvariate(0.0, 0.3)
    seconds *= kind.slowness(clock.seconds, route, stage)
    record_outcome(log, route, seconds, is_failure=is_failure)


def collect(logs, clock):
    """Return the evidence of both versions up to now."""
    return [
        get_window_evidence(log, window, ORDER.rollout_id, version, version)
        for version, log in logs.items()
        for window in log.counts_by_window
    ]


@then("daemons whose clocks differ or jump agree on the time that is left")
def check_deadline(context):
    first, second = FakeClock(), FakeClock()
    second.seconds = 5000.0
    stores = [FactStore.from_clock(clock.make()) for clock in (first, second)]
    deadline = get_deadline(stores[0], ORDER)
    first.seconds += 3.0
    second.seconds += 3.0
    messages = [
        make_fact_message(fact, stores[0].clock.now()) for fact in stores[0].facts_by_id.values()
    ]
    merge_facts(stores[1], parse_fact_messages(stores[1], messages))
    left = [(get_deadline(store, ORDER) - store.clock.now()).total_seconds() for store in stores]
    assert deadline == get_deadline(stores[0], ORDER)
    assert abs(left[0] - left[1]) < 0.001 and abs(left[0] - 11.0) < 0.001, left

    times = {"monotonic": 0.0, "wall": 1000.0}
    now = make_slewed_now(lambda: times["monotonic"], lambda: times["wall"])
    started = now()
    times.update(monotonic=10.0, wall=1012.5)
    passed = (now() - started).total_seconds()
    assert 10.0 <= passed <= 10.0 * (1 + MAX_SLEW_RATIO) + 1e-6, passed
    assert RAMP_SHARE < 1.0


@then("each state is told by one daemon, and by the next in line when that one has died")
def check_turns(context):
    daemons = 5
    for state in (RolloutState.RUNNING, RolloutState.SUCCEEDED, RolloutState.ROLLED_BACK):
        clock = FakeClock()
        recorders = make_recorders(daemons, clock)
        first_turns = {}
        for _ in range(30):
            for name, recorder in recorders.items():
                if may_write_state(recorder, ORDER, state):
                    first_turns.setdefault(name, clock.seconds)
            clock.seconds += 0.1
        turns = sorted(first_turns.values())
        assert len(turns) == MAX_RECORDERS, (state, first_turns)
        gaps = [later - earlier for earlier, later in itertools.pairwise(turns)]
        # Time for the first one's word to come back through the store.
        assert min(gaps) >= TAKEOVER_DELAY.total_seconds() - 0.11, (state, turns)


def make_recorders(count, clock):
    """Return the recorder of each daemon of a fleet in which all know all."""
    members = {f"10.0.0.{number}:1": make_member(f"10.0.0.{number}:1") for number in range(count)}
    recorders = {}
    for address, own in members.items():
        blackboard = Blackboard(clock=clock.make(), own_member=own)
        blackboard.members_by_address.update(members)
        recorders[address] = RolloutOrderRecorder(blackboard, None, None, None)
    return recorders
