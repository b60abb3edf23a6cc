"""Define steps for rollouts of versions."""

from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace

import gevent
from behave import then, when

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.egress.candidates import choose_candidate
from comfreyhitch.egress.choice import make_load_aware_selector
from comfreyhitch.egress.models import Candidate
from comfreyhitch.egress.views import get_or_create_view
from comfreyhitch.rollouts.analysis import analyze_evidence
from comfreyhitch.rollouts.evidence import (
    EvidenceLog,
    get_window,
    get_window_evidence,
    record_outcome,
)
from comfreyhitch.sections.acceptance import parse_section_status
from comfreyhitch.sections.models import RolloutPlan, ServicePolicy
from comfreyhitch.sections.storage import get_section
from comfreyhitch.testing.fleet import (
    get_target_state,
    set_faults,
    set_platform_faults,
)
from comfreyhitch.testing.processes import (
    wait_until,
)
from comfreyhitch.testing.traffic import select_results
from features.fakes import START_TIME, FakeClock, make_member
from features.steps.configuration_steps import apply_section, get_client
from features.steps.fleet_steps import list_instances

HEALTHY_TRIALS = 300
BAD_TRIALS = 40
TRIAL_SECONDS = 60
REQUESTS_PER_SECOND = 20
SETTLE_SECONDS = 1.0


def list_version_instances(context, version):
    """Return the workshop instances of a version."""
    return [item for item in list_instances(context, "workshop") if item.version == version]


def count_version_requests(context, version):
    """Return how many requests reached a version."""
    return sum(
        get_target_state(item)["requests"] for item in list_version_instances(context, version)
    )


def start_rollout(context, seconds, freezes=()):
    """Write a section that rolls workshop out from v1 to v2."""
    context.rollout_start = datetime.now(UTC)
    context.rollout_end = context.rollout_start + timedelta(seconds=seconds)
    rollout = {
        "to": "v2",
        "start": context.rollout_start.isoformat(),
        "finish_by": context.rollout_end.isoformat(),
    }
    context.section = {
        "services": {"workshop": {"version": "v1", "rollout": rollout}},
        "freezes": list(freezes),
    }
    apply_section(context, "workshop", {"services": {"workshop": {"version": "v1"}}, "freezes": []})
    gevent.sleep(SETTLE_SECONDS)
    context.requests_before = count_version_requests(context, "v2")
    apply_section(context, "workshop", context.section)


def get_outcomes(context):
    """Return the outcomes of rollouts in the status of the section."""
    item = get_section(get_client(context), "workshop").unwrap()
    return list(parse_section_status(item).rollouts.values())


def wait_for_outcome(context, seconds):
    """Return the outcome of the rollout, once it has ended."""
    found = []

    def has_ended():
        found[:] = [item for item in get_outcomes(context) if item["phase"] != "in-progress"]
        return bool(found)

    wait_until(has_ended, seconds, "outcome of the rollout")
    return found[0]


@when("a rollout of workshop from v1 to v2 is ordered to finish within {seconds:g} seconds")
def roll_out_version(context, seconds):
    start_rollout(context, seconds)


@then(
    "the rollout ends as done at most 5 seconds after its deadline, v1 gets no more requests, and "
    "every request ran"
)
def check_completed(context):
    remaining = (context.rollout_end - datetime.now(UTC)).total_seconds()
    outcome = wait_for_outcome(context, remaining + 5)
    assert outcome["phase"] == "done", outcome
    gevent.sleep(3.0)
    before = count_version_requests(context, "v1")
    gevent.sleep(2.0)
    assert count_version_requests(context, "v1") == before
    failed = select_results(context.traffic, lambda item: item.verdict != "ran")
    assert not failed, failed[:5]


@then(
    "the rollout ends as rolled-back before its deadline, v2 got fewer than {share:g} in 100 "
    "requests, and gets none from 2 seconds after the end"
)
def check_rolled_back(context, share):
    outcome = wait_for_outcome(context, 40)
    assert outcome["phase"] == "rolled-back", outcome
    assert datetime.fromisoformat(outcome["at"]) < context.rollout_end, outcome
    gevent.sleep(2.0)
    count = count_version_requests(context, "v2")
    total = len(context.traffic.results)
    assert count - context.requests_before < total * share / 100, (count, total)
    gevent.sleep(2.0)
    assert count_version_requests(context, "v2") == count


@when("the platform goes down after 5 seconds, and v2 fails after 10 seconds")
def fail_later(context):
    gevent.sleep(5.0)
    set_platform_faults(context.fleet, is_down=True)
    gevent.sleep(5.0)
    for instance in list_version_instances(context, "v2"):
        set_faults(instance, failure_share=0.8)


@then("after {seconds:g} seconds v2 gets no request")
def check_share_zero(context, seconds):
    gevent.sleep(seconds)
    before = count_version_requests(context, "v2")
    gevent.sleep(2.0)
    assert count_version_requests(context, "v2") == before


@when("the platform comes back and loses the next 2 responses")
def restore_platform(context):
    set_platform_faults(context.fleet, is_down=False, lost_answers=2)


@then("the rollout ends as rolled-back, and exactly one outcome is stored")
def check_one_outcome(context):
    outcome = wait_for_outcome(context, 40)
    assert outcome["phase"] == "rolled-back", outcome
    gevent.sleep(6.0)
    outcomes = get_outcomes(context)
    assert len(outcomes) == 1, outcomes
    assert outcomes[0] == outcome


@when("a change freeze begins during a rollout of workshop from v1 to v2")
def roll_out_into_freeze(context):
    start_rollout(context, 3600)
    gevent.sleep(3.0)
    # The freeze begins with the current hour, so the start of the rollout is set before it.
    now = datetime.now(UTC)
    weekday = now.strftime("%A").lower()
    rollout = context.section["services"]["workshop"]["rollout"]
    hour_start = now.replace(minute=0, second=0, microsecond=0)
    rollout["start"] = (hour_start - timedelta(minutes=5)).isoformat()
    rollout["finish_by"] = (now + timedelta(hours=3)).isoformat()
    freeze = {"weekday": weekday, "from_hour": now.hour, "until_hour": 24}
    context.section["freezes"] = [freeze]
    apply_section(context, "workshop", context.section)


def simulate_rollout(random, new_failure_share, new_slowness, route_failure_share=0.0, noise=None):
    """Analyze one simulated rollout each second, and return whether an analysis found a regression.

    `noise` changes the latency and the failure share of a request.
    """
    clock = FakeClock()
    logs = {
        name: EvidenceLog.from_clock(clock.make_clock())
        for name in ("old1", "old2", "old3", "new1")
    }
    evidence = {}
    next_analysis_at = 1.0
    while clock.seconds < TRIAL_SECONDS:
        clock.seconds += random.expovariate(REQUESTS_PER_SECOND)
        new_version_share = 0.05 if clock.seconds < 15 else 0.3
        name = "new1" if random.random() < new_version_share else f"old{random.randrange(1, 4)}"
        route = random.choice(["/", "/", "/", "/quotes"])
        latency_seconds = 0.01 * random.expovariate(1.0)
        failure_share = 0.005
        if noise is not None:
            latency_seconds, failure_share = noise(
                random, clock.seconds, name, latency_seconds, failure_share
            )
        if name == "new1":
            latency_seconds *= new_slowness
            failure_share = max(
                failure_share, new_failure_share, route_failure_share if route == "/quotes" else 0.0
            )
        is_failure = random.random() < failure_share
        record_outcome(logs[name], route, latency_seconds, is_failure=is_failure)
        window = get_window(clock.make_clock())
        version = "v2" if name == "new1" else "v1"
        evidence[(name, window)] = get_window_evidence(logs[name], window, "id", version, name)
        if clock.seconds < next_analysis_at:
            continue
        next_analysis_at += 1.0
        if analyze_evidence(evidence.values(), "v2").regression is not None:
            return True
    return False


def add_slow_periods(random, now, name, latency_seconds, failure_share):
    """Make one instance at a time ten times as slow, for 200 ms of each second."""
    is_slow = int(now) % 4 == ("old1", "old2", "old3", "new1").index(name) and now % 1 < 0.2
    return (latency_seconds * 10 if is_slow else latency_seconds), failure_share


def add_shared_failures(random, now, name, latency_seconds, failure_share):
    """Let all versions fail for a while, as during a failure of a shared dependency."""
    return latency_seconds, (0.2 if 20 < now < 30 else failure_share)


@then(
    "evidence analysis finds a regression in at most 1 in 100 good versions, without noise "
    "and with each of two kinds"
)
def check_false_alarms(context):
    for noise in (None, add_slow_periods, add_shared_failures):
        random = Random(context.seed)
        count = HEALTHY_TRIALS // 3
        alarms = sum(simulate_rollout(random, 0.0, 1.0, noise=noise) for _ in range(count))
        assert alarms <= count / 100, (noise, alarms)


@then(
    "evidence analysis finds at least 95 in 100 versions that fail, are slow, or fail on a single "
    "route"
)
def check_detection(context):
    for failure_share, slowness, route_failure_share in (
        (0.5, 1.0, 0.0),
        (0.0, 4.0, 0.0),
        (0.0, 1.0, 0.6),
    ):
        random = Random(context.seed)
        found = sum(
            simulate_rollout(random, failure_share, slowness, route_failure_share)
            for _ in range(BAD_TRIALS)
        )
        assert found >= BAD_TRIALS * 0.95, (failure_share, slowness, route_failure_share, found)


@then("the old version takes the overflow, but nothing once the rollout has reached the full share")
def check_overflow(context):
    # While the targets of the new version are full, their requests go to the old version. Once
    # the rollout has reached the full share, the old version gets none.
    plan = RolloutPlan("r", "workshop", "v1", "v2", START_TIME, START_TIME + timedelta(hours=1))
    clock = FakeClock()
    clock.seconds = 100.0
    blackboard = Blackboard(clock=clock.make_clock(), own_member=make_member())
    blackboard.services_by_name["workshop"] = ServicePolicy("workshop", rollout=plan)
    blackboard.candidates_by_service["workshop"] = [
        Candidate("10.0.0.1:1", "za", "v1", 10),
        Candidate("10.0.0.2:1", "za", "v2", 10),
    ]
    v2_view = get_or_create_view(blackboard.views_by_address, "10.0.0.2:1")
    v2_view.reported_at, v2_view.reported_limit, v2_view.reported_in_flight = clock.seconds, 4, 4
    v1_view = get_or_create_view(blackboard.views_by_address, "10.0.0.1:1")
    v1_view.reported_at, v1_view.reported_limit = clock.seconds, 4
    random = Random(context.seed)
    select_target = make_load_aware_selector(blackboard.views_by_address, "za", random)
    egress = SimpleNamespace(blackboard=blackboard, select_target=select_target, random=random)
    versions_by_share = {}
    for share in (0.9, 1.0):
        blackboard.version_shares_by_service["workshop"] = {"v1": 1.0 - share, "v2": share}
        chosen = [choose_candidate(egress, "workshop", ()).version for _ in range(200)]
        versions_by_share[share] = set(chosen)
    assert versions_by_share == {0.9: {"v1"}, 1.0: {"v2"}}, versions_by_share
