"""State of the egress of one daemon."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.egress.choice import TargetSelector, make_selector
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.rollouts.exposure import ExposureCounter
from comfreyhitch.telemetry.decisions import DecisionLog
from comfreyhitch.telemetry.metrics import Metrics
from comfreyhitch.utils.token_bucket import TokenBucket
from comfreyhitch.wire.connections import PeerPool

# Hedges are earned by first tries; this many may be saved up.
BUDGET_CAPACITY_TOKENS = 20.0
LATENCY_EWMA_WEIGHT = 0.05
MAX_TRACKED_ROUTES = 10_000
# A refusal by admission control costs far less than a request, so more tries
# elsewhere are allowed after it than after a failure.
REFUSAL_RETRY_RATIO = 0.5


@dataclass(slots=True)
class Egress:
    """Hold what routes the requests of callers."""

    settings: Settings
    blackboard: Blackboard
    pool: PeerPool
    metrics: Metrics
    select_target: TargetSelector
    random: Random
    hedge_budget: TokenBucket
    refusal_retry_budget: TokenBucket
    probe_budget: TokenBucket
    decisions: DecisionLog
    retry_budgets_by_service: dict[str, TokenBucket] = field(default_factory=dict)
    exposures_by_rollout: dict[str, ExposureCounter] = field(default_factory=dict)
    latency_seconds_by_route: dict[tuple[str, str], float] = field(default_factory=dict)
    request_numbers: Iterator[int] = field(default_factory=itertools.count)
    requests_in_progress: int = 0

    @classmethod
    def from_settings(
        cls, settings: Settings, blackboard: Blackboard, pool: PeerPool, metrics: Metrics
    ) -> "Egress":
        """Return an egress that knows nothing of any load yet."""
        random = Random(blackboard.own_member.boot_id)
        now = blackboard.clock.monotonic()
        probe_burst = max(1.0, settings.probe_rate)
        return cls(
            settings=settings,
            blackboard=blackboard,
            pool=pool,
            metrics=metrics,
            select_target=make_selector(
                settings.choice_rule,
                blackboard.views_by_address,
                blackboard.own_member.zone,
                random,
            ),
            random=random,
            hedge_budget=TokenBucket.from_rate(
                0.0, BUDGET_CAPACITY_TOKENS if settings.hedge_budget else 0.0, now
            ),
            refusal_retry_budget=TokenBucket.from_rate(0.0, BUDGET_CAPACITY_TOKENS, now),
            probe_budget=TokenBucket.from_rate(settings.probe_rate, probe_burst, now),
            decisions=DecisionLog.from_clock("comfreyhitch.egress", blackboard.clock),
        )


def get_retry_budget(egress: Egress, service: str) -> TokenBucket:
    """Return the budget of a service's retries, with this daemon's part of what is shared."""
    settings = egress.settings
    budget = egress.retry_budgets_by_service.get(service)
    if budget is None:
        now = egress.blackboard.clock.monotonic()
        budget = TokenBucket.from_rate(0.0, settings.retry_extra, now)
        if settings.is_repeat_budget_shared:
            # What was saved up before a restart may have been spent already.
            budget.tokens = 0.0
        egress.retry_budgets_by_service[service] = budget
    if settings.is_repeat_budget_shared:
        daemons = max(1, len(egress.blackboard.members_by_address))
        budget.capacity = settings.retry_extra / daemons
        budget.rate = budget.capacity / settings.retry_window.total_seconds()
    return budget


def make_request_id(egress: Egress) -> str:
    """Return an id that no other request of any daemon has."""
    return f"{egress.blackboard.own_member.boot_id}:{next(egress.request_numbers)}"


def record_latency(egress: Egress, call: OutgoingCall, seconds: float) -> None:
    """Follow how long requests of a route take."""
    key = (call.service, call.route)
    known = egress.latency_seconds_by_route.get(key, seconds)
    if len(egress.latency_seconds_by_route) >= MAX_TRACKED_ROUTES:
        egress.latency_seconds_by_route.clear()
    egress.latency_seconds_by_route[key] = known + LATENCY_EWMA_WEIGHT * (seconds - known)
