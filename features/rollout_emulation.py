"""Emulate the rollout of one version of a service, with an emulated clock."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from comfreyhitch.documents.models import RolloutOrder, RolloutState
from comfreyhitch.rollouts.analysis import (
    analyze_evidence,
    analyze_stage,
)
from comfreyhitch.rollouts.evidence import (
    EvidenceLog,
    get_window,
    get_window_evidence,
    record_outcome,
)
from comfreyhitch.rollouts.exposure import ExposureCounter, may_send_to_new_version
from comfreyhitch.rollouts.stages import (
    OUTCOME_DUE_PROGRESS,
    Stage,
    get_next_stage,
    get_regression_thresholds,
)
from features.fakes import FakeClock

# The rules for rollout orders call a version bad if at least this share of its requests fails.
BAD_FAILURE_SHARE = 0.35
BAD_SLOW_FACTOR = 8.0
ROLLOUT_DURATION = timedelta(seconds=14)
# Delay between sending a request and recording its outcome.
OUTCOME_DELAY_SECONDS = 0.4
ANALYSES_PER_SECOND = 4
ROUTES = ("r1", "r2")
MEDIAN_SERVICE_SECONDS = 0.16
ORDER = RolloutOrder("s1:v2:5", "s1", "v2", ROLLOUT_DURATION, RolloutState.RUNNING)


@dataclass(frozen=True)
class VersionBehaviour:
    """Hold how a version behaves at a time in seconds, on a route and at a stage.

    `get_failure_share` returns the share of requests that fail, `get_slow_factor` the factor by
    which responses are slower.
    """

    get_failure_share: Callable[[float, str, Stage], float]
    get_slow_factor: Callable[[float, str, Stage], float] = lambda at, route, stage: 1.0


GOOD_BEHAVIOUR = VersionBehaviour(lambda at, route, stage: 0.005)
BAD_BEHAVIOURS_BY_NAME = {
    "errors": VersionBehaviour(lambda at, route, stage: BAD_FAILURE_SHARE),
    "slow": VersionBehaviour(
        lambda at, route, stage: 0.005, lambda at, route, stage: BAD_SLOW_FACTOR
    ),
    "one route": VersionBehaviour(
        lambda at, route, stage: BAD_FAILURE_SHARE if route == "r1" else 0.005
    ),
    "late": VersionBehaviour(lambda at, route, stage: BAD_FAILURE_SHARE if at > 3.0 else 0.005),
    "under load": VersionBehaviour(
        lambda at, route, stage: BAD_FAILURE_SHARE if stage >= Stage.RAMP else 0.005
    ),
}


def emulate(behaviour, rate, random):
    """Emulate one rollout at a rate of requests a second.

    Return whether the version passes, the number of requests to the service, and the number of
    those to the version.
    """
    clock = FakeClock()
    logs = {version: EvidenceLog.from_clock(clock.make_clock()) for version in ("v1", "v2")}
    counter = ExposureCounter.from_random(random)
    stage = Stage.CANARY
    stage_window = get_window(clock.make_clock())
    is_vetoed = False
    pending_outcomes = deque()
    for number in range(int(ROLLOUT_DURATION.total_seconds() * rate)):
        clock.seconds = number / rate
        is_new = not is_vetoed and may_send_to_new_version(counter, stage, 1, random)
        counter.requests += 1
        counter.new_version_requests += is_new
        log = logs["v2" if is_new else "v1"]
        sent_behaviour = behaviour if is_new else GOOD_BEHAVIOUR
        pending_outcomes.append((clock.seconds + OUTCOME_DELAY_SECONDS, log, sent_behaviour, stage))
        while pending_outcomes[0][0] <= clock.seconds:
            _, log, sent_behaviour, sent_stage = pending_outcomes.popleft()
            record_emulated_outcome(log, sent_behaviour, sent_stage, clock, random)
        if is_vetoed or number % (rate // ANALYSES_PER_SECOND):
            continue
        evidence = collect_evidence(logs, clock)
        analysis = analyze_evidence(evidence, "v2", get_regression_thresholds(stage))
        is_vetoed = analysis.regression is not None
        elapsed = timedelta(seconds=clock.seconds)
        if elapsed < ROLLOUT_DURATION * OUTCOME_DUE_PROGRESS:
            stage_evidence = analyze_stage(evidence, "v2", stage_window)
            next_stage = get_next_stage(stage, elapsed, ROLLOUT_DURATION, analysis, stage_evidence)
            if next_stage is not stage:
                stage, stage_window = next_stage, get_window(clock.make_clock())
    return stage is Stage.PROVEN and not is_vetoed, counter.requests, counter.new_version_requests


def record_emulated_outcome(log, behaviour, stage, clock, random):
    """Record one random outcome of a version."""
    route = random.choice(ROUTES)
    is_failure = random.random() < behaviour.get_failure_share(clock.seconds, route, stage)
    seconds = MEDIAN_SERVICE_SECONDS * random.lognormvariate(0.0, 0.3)
    seconds *= behaviour.get_slow_factor(clock.seconds, route, stage)
    record_outcome(log, route, seconds, is_failure=is_failure)


def collect_evidence(logs, clock):
    """Return the evidence about both versions up to now."""
    return [
        get_window_evidence(log, window, ORDER.rollout_id, version, version)
        for version, log in logs.items()
        for window in log.counts_by_window
    ]
