"""Properties of ordered rollouts: exposure, stages, analysis, deadline and recorders."""

import itertools
from datetime import timedelta
from random import Random

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.clock import MAX_SLEW_RATIO, make_slewed_now
from comfreyhitch.documents.models import RolloutState
from comfreyhitch.egress.models import Candidate
from comfreyhitch.replication.facts import (
    FactStore,
    make_fact_message,
    merge_facts,
    parse_fact_messages,
)
from comfreyhitch.rollouts.analysis import (
    EvidenceAnalysis,
    StageEvidence,
    analyze_stage,
)
from comfreyhitch.rollouts.exposure import (
    FULL_TRAFFIC_LIMIT,
    MAX_LOADED_TARGET_REQUESTS,
    MIN_TRIAL_TARGETS,
    TRIAL_LIMITS_BY_STAGE,
    TRIAL_TARGET_SHARE,
    ExposureCounter,
    TrialCounter,
    admit_trial_request,
    count_request,
    get_load_share,
    may_send_to_new_version,
    select_trial_targets,
)
from comfreyhitch.rollouts.models import Evidence, RouteCounts
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
    is_outcome_due,
)
from features.fakes import FakeClock, make_member
from features.rollout_emulation import (
    BAD_BEHAVIOURS_BY_NAME,
    GOOD_BEHAVIOUR,
    MAX_EXPOSURE_SHARE,
    MAX_EXTRA_EXPOSURE_REQUESTS,
    ORDER,
    ROLLOUT_DURATION,
    emulate,
)

# Number of emulated rollouts of each kind of version, by requests a second to the service.
ROLLOUT_COUNT_BY_REQUEST_RATE = {20: 300, 80: 60}
# A service with this little traffic shows too little of a bad version within the limits; a good
# one still has to get through.
LOW_REQUEST_RATE = 8
LOW_RATE_ROLLOUT_COUNT = 1000
MAX_FALSE_ALARM_SHARE = 0.03
MAX_MISSED_SHARE = 0.02
# Load of a trial target, as a share of its load once all traffic has moved.
MIN_TRIAL_LOAD_SHARE = 1.0
# Two calls to a store that is not disturbed; and two looks at an order.
MIN_WRITE_SECONDS = 0.3
ANALYSIS_SECONDS = 0.2


@then(
    "all daemons together exceed the exposure limit of a stage by at most one request each, "
    "however requests are distributed"
)
def check_exposure(context):
    requests = st.lists(st.integers(0, 200), min_size=1, max_size=20)

    @seed(context.seed)
    @given(st.sampled_from(list(Stage)), requests, st.integers(0, 2**32))
    def check(stage, requests_by_daemon, number):
        random = Random(number)
        target_counter = TrialCounter()
        exposed = 0
        for count in requests_by_daemon:
            counter = ExposureCounter.from_random(random)
            for _ in range(count):
                is_new = may_send_to_new_version(
                    counter, stage, len(requests_by_daemon), random, load_share=1.0
                )
                if is_new and stage is Stage.RAMP:
                    is_new = admit_trial_request(target_counter, ORDER.rollout_id, stage)
                    counter.is_trial_over = not is_new
                count_request(counter, stage, is_new_version=is_new)
            exposed += counter.new_version_requests
        if stage is Stage.RAMP:
            assert exposed <= MAX_LOADED_TARGET_REQUESTS
            return
        limit = TRIAL_LIMITS_BY_STAGE.get(stage, FULL_TRAFFIC_LIMIT)
        # Each daemon may exceed its part of the limit by up to one request, less its jitter.
        excess = len(requests_by_daemon)
        assert (
            exposed <= limit.request_share * sum(requests_by_daemon) + limit.fleet_requests + excess
        )

    check()
    last_trial_limit = TRIAL_LIMITS_BY_STAGE[Stage.WIDER]
    # What is left of the requests after all may go to the new version, but for what it gets before
    # it succeeds.
    share_after_success = 1.0 - OUTCOME_DUE_PROGRESS
    assert (
        last_trial_limit.request_share * REQUIREMENTS_BY_STAGE[Stage.RAMP].min_progress
        + FULL_TRAFFIC_LIMIT.request_share
        + share_after_success
        <= MAX_EXPOSURE_SHARE + 1e-9
    )
    assert (
        last_trial_limit.fleet_requests
        + MAX_LOADED_TARGET_REQUESTS
        + FULL_TRAFFIC_LIMIT.fleet_requests
        < MAX_EXTRA_EXPOSURE_REQUESTS
    )


@then(
    "the targets that get requests before all traffic is moved bear as much as with all traffic, "
    "and all daemons choose the same"
)
def check_trial_targets(context):
    @seed(context.seed)
    @given(st.sampled_from(list(Stage)), st.integers(1, 90), st.integers(0, 2**32))
    def check(stage, count, number):
        targets = [make_candidate(f"10.0.0.{index}:7000") for index in range(count)]
        shuffled = Random(number).sample(targets, count)
        chosen = {item.address for item in select_trial_targets(targets, stage, ORDER.rollout_id)}
        again = {item.address for item in select_trial_targets(shuffled, stage, ORDER.rollout_id)}
        assert chosen == again and chosen
        if stage >= Stage.FULL:
            assert len(chosen) == count
            return
        assert len(chosen) <= max(MIN_TRIAL_TARGETS, TRIAL_TARGET_SHARE * count + 1)
        if stage is Stage.RAMP:
            load_share = get_load_share(count) * count / len(chosen)
            assert load_share >= MIN_TRIAL_LOAD_SHARE, (count, chosen)

    check()


def make_candidate(address):
    """Return a target of the new version."""
    return Candidate(address, "zone-a", "v2", slots=3)


@then(
    "no stage is skipped, and the next one needs elapsed time, enough requests and evidence "
    "without a regression"
)
def check_stages(context):
    @seed(context.seed)
    @given(
        st.sampled_from(list(Stage)),
        st.floats(0.0, 2.0),
        st.integers(0, 50),
        st.builds(StageEvidence, st.integers(0, 50), st.booleans()),
        st.booleans(),
        st.sampled_from([None, "bad"]),
    )
    def check(stage, progress, requests, stage_evidence, is_suspicious, regression):
        analysis = EvidenceAnalysis(requests, regression, is_suspicious)
        elapsed = ROLLOUT_DURATION * progress
        next_stage = get_next_stage(stage, elapsed, ROLLOUT_DURATION, analysis, stage_evidence)
        assert stage <= next_stage <= stage + 1
        if next_stage > stage:
            assert regression is None and not is_suspicious
            assert requests >= REQUIREMENTS_BY_STAGE[next_stage].min_requests
            assert next_stage is not Stage.PROVEN or not stage_evidence.is_doubtful
            assert stage_evidence.requests >= REQUIREMENTS_BY_STAGE[next_stage].min_stage_requests
            assert progress >= REQUIREMENTS_BY_STAGE[next_stage].min_progress - 1e-6

    check()


@then(
    "a rollback is due early enough for each recorder to write it before the deadline, and a "
    "success for the first two"
)
def check_due_times(context):
    for stage in Stage:
        due_at = next(
            seconds
            for seconds in (number / 100 for number in range(10_000))
            if is_outcome_due(stage, timedelta(seconds=seconds), ROLLOUT_DURATION)
        )
        recorder_count = MAX_RECORDERS if stage < Stage.FULL else 2
        last_write_at = due_at + (recorder_count - 1) * TAKEOVER_DELAY.total_seconds()
        remaining = ROLLOUT_DURATION.total_seconds() - last_write_at
        assert remaining >= MIN_WRITE_SECONDS, (stage, remaining)
        # A version that may succeed is not rolled back before it can have all traffic.
        full_at = REQUIREMENTS_BY_STAGE[Stage.FULL].min_progress * ROLLOUT_DURATION
        assert due_at > full_at.total_seconds() + ANALYSIS_SECONDS, (stage, due_at)


@then("a version that fails once it has all traffic is in doubt whatever it did before")
def check_doubt(context):
    early = RouteCounts(requests=300, failures=0)
    failing = RouteCounts(requests=43, failures=6)
    clean = RouteCounts(requests=43, failures=0)
    old = Evidence(ORDER.rollout_id, "v1", "a", 1, {"r1": RouteCounts(requests=300, failures=9)})
    for counts, is_doubtful in ((failing, True), (clean, False)):
        evidence = [
            old,
            Evidence(ORDER.rollout_id, "v2", "b", 1, {"r1": early}),
            Evidence(ORDER.rollout_id, "v2", "b", 2, {"r1": counts}),
        ]
        found = analyze_stage(evidence, "v2", first_window=2)
        assert found == StageEvidence(counts.requests, is_doubtful), found
        assert not analyze_stage(evidence, "v2", first_window=1).is_doubtful
        analysis = EvidenceAnalysis(requests=343, regression=None, is_suspicious=False)
        elapsed = ROLLOUT_DURATION * REQUIREMENTS_BY_STAGE[Stage.PROVEN].min_progress
        next_stage = get_next_stage(Stage.FULL, elapsed, ROLLOUT_DURATION, analysis, found)
        assert next_stage is (Stage.FULL if is_doubtful else Stage.PROVEN)


@then(
    "at most 3 in 100 good rollouts are rolled back, at most 2 in 100 bad ones of each kind pass, "
    "and no bad version gets too many requests"
)
def check_emulated_rollouts(context):
    random = Random(context.seed)
    check_good_rollouts(LOW_REQUEST_RATE, LOW_RATE_ROLLOUT_COUNT, Random(context.seed))
    for rate, rollouts in ROLLOUT_COUNT_BY_REQUEST_RATE.items():
        check_good_rollouts(rate, rollouts, random)
        for name, behaviour in BAD_BEHAVIOURS_BY_NAME.items():
            results = [emulate(behaviour, rate, random) for _ in range(rollouts)]
            missed = sum(result.is_passed for result in results)
            overexposed = sum(result.is_overexposed for result in results)
            print(
                f"{name} at {rate}/s: {missed} of {rollouts} passed, "
                f"{overexposed} exceeded the exposure limit"
            )
            assert missed <= MAX_MISSED_SHARE * rollouts, (name, missed)
            assert overexposed == 0, (name, rate, overexposed)


def check_good_rollouts(rate, rollouts, random):
    """Emulate rollouts of good versions; few may be rolled back."""
    results = [emulate(GOOD_BEHAVIOUR, rate, random) for _ in range(rollouts)]
    false_alarms = sum(not result.is_passed for result in results)
    print(f"good at {rate}/s: {false_alarms} of {rollouts} rolled back")
    assert false_alarms <= MAX_FALSE_ALARM_SHARE * rollouts, (rate, false_alarms)


@then("daemons whose clocks differ agree on the remaining time, and a clock that jumps is slewed")
def check_deadline(context):
    first, second = FakeClock(), FakeClock()
    second.seconds = 5000.0
    stores = [FactStore.from_clock(clock.make_clock()) for clock in (first, second)]
    deadline = get_deadline(stores[0], ORDER)
    first.seconds += 3.0
    second.seconds += 3.0
    messages = [
        make_fact_message(fact, stores[0].clock.now()) for fact in stores[0].facts_by_id.values()
    ]
    merge_facts(stores[1], parse_fact_messages(stores[1], messages))
    remaining = [
        (get_deadline(store, ORDER) - store.clock.now()).total_seconds() for store in stores
    ]
    assert deadline == get_deadline(stores[0], ORDER)
    assert abs(remaining[0] - remaining[1]) < 0.001 and abs(remaining[0] - 11.0) < 0.001, remaining

    # The wall clock gains 2.5 s in 10 s; the slewed clock follows at most by MAX_SLEW_RATIO.
    times = {"monotonic": 0.0, "wall": 1000.0}
    now = make_slewed_now(lambda: times["monotonic"], lambda: times["wall"])
    started = now()
    times.update(monotonic=10.0, wall=1012.5)
    elapsed = (now() - started).total_seconds()
    assert 10.0 <= elapsed <= 10.0 * (1 + MAX_SLEW_RATIO) + 1e-6, elapsed


@then(
    "a few recorders may write each state, one after the other, with the takeover delay between "
    "them"
)
def check_takeover_delay(context):
    daemon_count = 5
    for state in (RolloutState.RUNNING, RolloutState.SUCCEEDED, RolloutState.ROLLED_BACK):
        clock = FakeClock()
        recorders = make_recorders(daemon_count, clock)
        first_write_times_by_address = {}
        for _ in range(30):
            for address, recorder in recorders.items():
                if may_write_state(recorder, ORDER, state):
                    first_write_times_by_address.setdefault(address, clock.seconds)
            clock.seconds += 0.1
        write_times = sorted(first_write_times_by_address.values())
        assert len(write_times) == MAX_RECORDERS, (state, first_write_times_by_address)
        gaps = [later - earlier for earlier, later in itertools.pairwise(write_times)]
        # During the delay, the state that one recorder writes reaches the next recorder through the
        # store, so that the next recorder need not write it. Time advances here in steps of 0.1 s.
        assert min(gaps) >= TAKEOVER_DELAY.total_seconds() - 0.11, (state, write_times)


def make_recorders(count, clock):
    """Return the recorders, by address, of a fleet in which all daemons know each other."""
    members = {f"10.0.0.{number}:1": make_member(f"10.0.0.{number}:1") for number in range(count)}
    recorders = {}
    for address, own_member in members.items():
        blackboard = Blackboard(clock=clock.make_clock(), own_member=own_member)
        blackboard.members_by_address.update(members)
        recorders[address] = RolloutOrderRecorder(blackboard, None, None, None)
    return recorders
