"""State of the egress of one daemon."""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.egress.choice import (
    RULE_EXPECTED_COMPLETION,
    TargetSelector,
    make_selector,
)
from comfreyhitch.egress.classify import OutgoingCall
from comfreyhitch.egress.stopping import StopPlan
from comfreyhitch.ingress.response_sizes import ResponseSizes
from comfreyhitch.rollouts.exposure import ExposureCounter
from comfreyhitch.telemetry.decisions import DecisionLog
from comfreyhitch.telemetry.metrics import Metrics
from comfreyhitch.telemetry.stops import StopRecord
from comfreyhitch.utils.token_bucket import TokenBucket
from comfreyhitch.wire.connections import PeerPool

# Each request adds tokens to the hedge budget and the refusal retry budget, up to this capacity.
BUDGET_CAPACITY_TOKENS = 20.0
LATENCY_EWMA_WEIGHT = 0.05
MAX_TRACKED_ROUTES = 10_000
# Tokens that each request adds to the budget of retries after admission refusals. A refusal costs
# far less than a request, so more retries are allowed after refusals than after failures.
REFUSAL_RETRY_RATIO = 0.5


@dataclass(slots=True)
class Egress:
    """Hold the state with which one daemon routes the requests of callers."""

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
    response_sizes: ResponseSizes = field(default_factory=ResponseSizes)
    # None until the daemon is asked to stop.
    stop_plan: StopPlan | None = None
    stop_record: StopRecord = field(default_factory=StopRecord)

    @classmethod
    def from_settings(
        cls, settings: Settings, blackboard: Blackboard, pool: PeerPool, metrics: Metrics
    ) -> "Egress":
        """Return an egress without any load reports or measured latencies."""
        random = Random(blackboard.own_member.boot_id)
        now = blackboard.clock.monotonic()
        probe_burst = max(1.0, settings.probe_rate)
        return cls(
            settings=settings,
            blackboard=blackboard,
            pool=pool,
            metrics=metrics,
            select_target=make_selector(
                _get_choice_rule(settings),
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


def _get_choice_rule(settings: Settings) -> str:
    if settings.overload_control == "cost" and settings.choice_rule == "load-aware":
        return RULE_EXPECTED_COMPLETION
    return settings.choice_rule


def get_retry_budget(egress: Egress, service: str) -> TokenBucket:
    """Return the retry budget of a service, created on first use.

    If the budget is shared by all daemons, its rate and capacity are this daemon's share.
    """
    settings = egress.settings
    budget = egress.retry_budgets_by_service.get(service)
    if budget is None:
        now = egress.blackboard.clock.monotonic()
        budget = TokenBucket.from_rate(0.0, settings.retry_extra, now)
        if settings.is_repeat_budget_shared:
            # The daemon may have spent its accumulated tokens just before a restart.
            budget.tokens = 0.0
        egress.retry_budgets_by_service[service] = budget
    if settings.is_repeat_budget_shared:
        daemons = max(1, len(egress.blackboard.members_by_address))
        budget.capacity = settings.retry_extra / daemons
        budget.rate = budget.capacity / settings.retry_window.total_seconds()
    return budget


def make_request_id(egress: Egress) -> str:
    """Return an id that is unique among the requests of all daemons."""
    return f"{egress.blackboard.own_member.boot_id}:{next(egress.request_numbers)}"


def get_latency_seconds(egress: Egress, call: OutgoingCall) -> float | None:
    """Return the moving average of a route's latency in seconds, or None if it is not known."""
    return egress.latency_seconds_by_route.get((call.service, call.route))


def record_latency(egress: Egress, call: OutgoingCall, seconds: float) -> None:
    """Update the moving average of a route's latency."""
    key = (call.service, call.route)
    known = egress.latency_seconds_by_route.get(key, seconds)
    if len(egress.latency_seconds_by_route) >= MAX_TRACKED_ROUTES:
        egress.latency_seconds_by_route.clear()
    egress.latency_seconds_by_route[key] = known + LATENCY_EWMA_WEIGHT * (seconds - known)
