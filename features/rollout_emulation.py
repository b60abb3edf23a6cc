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
from comfreyhitch.rollouts.exposure import (
    ExposureCounter,
    TrialCounter,
    admit_trial_request,
    count_request,
    get_load_share,
    may_send_to_new_version,
)
from comfreyhitch.rollouts.stages import (
    Stage,
    get_evidence_stage,
    get_next_stage,
    get_regression_thresholds,
    has_lost_proof,
    is_outcome_due,
    is_successful,
)
from features.fakes import FakeClock

# The rules for rollout orders call a version bad if at least this share of its requests fails.
BAD_FAILURE_SHARE = 0.35
BAD_SLOW_FACTOR = 8.0
# A bad version may get this share of the requests until the deadline, plus a fixed number.
MAX_EXPOSURE_SHARE = 0.1
MAX_EXTRA_EXPOSURE_REQUESTS = 50
ROLLOUT_DURATION = timedelta(seconds=14)
# Delay between sending a request and recording its outcome.
OUTCOME_DELAY_SECONDS = 0.4
ANALYSES_PER_SECOND = 10
ROUTES = ("r1", "r2")
NEW_TARGETS = 6
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


@dataclass(frozen=True)
class RolloutResult:
    """Hold whether a version passed, and the requests to the service and to the version.

    All are counted until the deadline; `version_requests_before_success` until the version
    passed.
    """

    is_passed: bool
    requests: int
    version_requests: int
    version_requests_before_success: int

    @property
    def is_overexposed(self):
        """Return whether the version got more requests than a bad one may get."""
        allowed = MAX_EXPOSURE_SHARE * self.requests + MAX_EXTRA_EXPOSURE_REQUESTS
        return self.version_requests > allowed


class EmulatedRollout:
    """Hold the state of one rollout, whose requests arrive at some daemons at random."""

    def __init__(self, behaviour, random, daemon_count):
        self.behaviour = behaviour
        self.random = random
        self.clock = FakeClock()
        clock = self.clock.make_clock()
        self.logs = {version: EvidenceLog.from_clock(clock) for version in ("v1", "v2")}
        self.counters = [ExposureCounter.from_random(random) for _ in range(daemon_count)]
        self.trial_counter = TrialCounter()
        self.stage = Stage.CANARY
        self.first_windows_by_stage = {Stage.CANARY: get_window(clock)}
        self.full_since = None
        self.is_vetoed = False
        self.is_passed = False
        self.requests_after_success = 0
        self.pending_outcomes = deque()

    def send_request(self):
        """Send a request to one of the versions, and note its outcome for later."""
        counter = self.random.choice(self.counters)
        is_new = self.is_passed or (not self.is_vetoed and self.admits_new(counter))
        if self.is_passed:
            counter.requests += 1
            self.requests_after_success += 1
        else:
            count_request(counter, self.stage, is_new_version=is_new)
        log = self.logs["v2" if is_new else "v1"]
        behaviour = self.behaviour if is_new else GOOD_BEHAVIOUR
        at = self.clock.seconds + OUTCOME_DELAY_SECONDS
        self.pending_outcomes.append((at, log, behaviour, self.stage))

    def admits_new(self, counter):
        """Return whether a request goes to the new version, and whether its target takes it."""
        daemon_count = len(self.counters)
        load_share = get_load_share(NEW_TARGETS)
        if not may_send_to_new_version(counter, self.stage, daemon_count, self.random, load_share):
            return False
        if self.stage is not Stage.RAMP:
            # The daemon beside the target counts these too, but there are too few to matter.
            return True
        is_admitted = admit_trial_request(self.trial_counter, ORDER.rollout_id, self.stage)
        counter.is_trial_over = not is_admitted
        return is_admitted

    def record_outcomes(self):
        """Record the outcomes that have arrived."""
        while self.pending_outcomes and self.pending_outcomes[0][0] <= self.clock.seconds:
            _, log, behaviour, stage = self.pending_outcomes.popleft()
            record_emulated_outcome(log, behaviour, stage, self.clock, self.random)

    def analyze(self):
        """Veto the version, move it to the next stage, or let it pass, as a daemon would."""
        if self.is_vetoed or self.is_passed:
            return
        evidence = collect_evidence(self.logs, self.clock)
        analysis = analyze_evidence(evidence, "v2", get_regression_thresholds(self.stage))
        if analysis.regression is not None:
            self.is_vetoed = True
            return
        elapsed = timedelta(seconds=self.clock.seconds)
        first_window = self.first_windows_by_stage[get_evidence_stage(self.stage)]
        stage_evidence = analyze_stage(evidence, "v2", first_window)
        if has_lost_proof(self.stage, stage_evidence):
            self.is_vetoed = True
            return
        if is_outcome_due(self.stage, elapsed, ROLLOUT_DURATION):
            self.end(elapsed)
            return
        stage = get_next_stage(self.stage, elapsed, ROLLOUT_DURATION, analysis, stage_evidence)
        if stage is not self.stage:
            self.stage = stage
            self.first_windows_by_stage[stage] = get_window(self.clock.make_clock())
        if stage >= Stage.FULL and self.full_since is None:
            self.full_since = elapsed

    def end(self, elapsed):
        """Write the outcome that is due, unless the version still has to have all traffic."""
        full_traffic = timedelta(0) if self.full_since is None else elapsed - self.full_since
        if is_successful(self.stage, full_traffic, ROLLOUT_DURATION):
            self.is_passed = True
        elif self.stage is not Stage.PROVEN:
            self.is_vetoed = True

    def make_result(self):
        """Return what has happened."""
        before_success = sum(counter.new_version_requests for counter in self.counters)
        return RolloutResult(
            self.is_passed,
            sum(counter.requests for counter in self.counters),
            before_success + self.requests_after_success,
            before_success,
        )


def emulate(behaviour, rate, random, daemon_count=1, get_rate_factor=lambda seconds: 1.0):
    """Return the result of one rollout at a rate of requests a second, times a factor."""
    rollout = EmulatedRollout(behaviour, random, daemon_count)
    analyzed_at = 0.0
    while rollout.clock.seconds < ROLLOUT_DURATION.total_seconds():
        rollout.send_request()
        rollout.clock.seconds += 1 / (rate * get_rate_factor(rollout.clock.seconds))
        rollout.record_outcomes()
        if rollout.clock.seconds - analyzed_at >= 1 / ANALYSES_PER_SECOND:
            analyzed_at = rollout.clock.seconds
            rollout.analyze()
    return rollout.make_result()


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
