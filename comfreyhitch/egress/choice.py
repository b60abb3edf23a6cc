"""Select the target of a request.

The load-aware rule follows the published Prequal load balancer: it samples a few candidates and
avoids hot ones, as judged by the load that every answer reports. This project adds the requests
sent since that report to the reported load.
"""

from collections.abc import Callable, Collection, Sequence
from random import Random

from comfreyhitch.egress.completion import make_completion_selector
from comfreyhitch.egress.models import Candidate, TargetView
from comfreyhitch.egress.views import (
    estimate_in_flight,
    get_or_create_view,
    is_mostly_overdue,
    is_slow,
)

# Candidates sampled from the daemon's zone; the rest of the sample is drawn from any zone, in case
# the targets in the daemon's zone are hot.
OWN_ZONE_SAMPLE_SIZE = 4
SAMPLE_SIZE = 6
HOT_ERROR_RATE = 0.3
# Utilization (load divided by the limit) from which a target is hot; a cooler target in another
# zone is then preferred.
HOT_UTILIZATION = 0.75

# Value of `make_selector` for the rule that applies with `overload_control = cost`.
RULE_EXPECTED_COMPLETION = "expected-completion"

# Takes candidates, excluded addresses and the time. The time left until the objective of the
# request ends may follow.
TargetSelector = Callable[..., Candidate | None]


def make_load_aware_selector(
    views_by_address: dict[str, TargetView], own_zone: str, random: Random
) -> TargetSelector:
    """Return a selector of the least loaded target of a sample, preferring `own_zone`."""

    def rank(candidate: Candidate, now: float) -> tuple[bool, bool, bool, bool, float]:
        view = get_or_create_view(views_by_address, candidate.address)
        limit = view.reported_limit if view.reported_at else candidate.slots
        utilization = estimate_in_flight(view, now) / limit
        is_avoided = now < view.avoid_until or candidate.is_suspect
        is_hot = utilization >= HOT_UTILIZATION or view.error_rate > HOT_ERROR_RATE
        is_hot = is_hot or is_mostly_overdue(view)
        # The zone ranks before slowness, since it costs less to wait a moment at the ingress
        # until a slow instance is back at its usual pace than to go to another zone.
        is_other_zone = candidate.zone != own_zone
        return is_avoided, is_hot, is_other_zone, is_slow(view, now), utilization

    def select_target(
        candidates: Sequence[Candidate],
        excluded: Collection[str],
        now: float,
        objective_seconds: float | None = None,
    ) -> Candidate | None:
        sample = draw_sample(candidates, excluded, own_zone, random)
        return min(sample, key=lambda candidate: rank(candidate, now), default=None)

    return select_target


def make_random_selector(random: Random) -> TargetSelector:
    """Return a selector of a uniformly random target, a baseline for benchmarks."""

    def select_target(
        candidates: Sequence[Candidate],
        excluded: Collection[str],
        now: float,
        objective_seconds: float | None = None,
    ) -> Candidate | None:
        allowed = [item for item in candidates if item.address not in excluded]
        return random.choice(allowed) if allowed else None

    return select_target


def make_round_robin_selector() -> TargetSelector:
    """Return a round-robin selector, a baseline for benchmarks."""
    position = 0

    def select_target(
        candidates: Sequence[Candidate],
        excluded: Collection[str],
        now: float,
        objective_seconds: float | None = None,
    ) -> Candidate | None:
        nonlocal position
        allowed = [item for item in candidates if item.address not in excluded]
        position += 1
        return allowed[position % len(allowed)] if allowed else None

    return select_target


def make_least_in_flight_selector(
    views_by_address: dict[str, TargetView], random: Random
) -> TargetSelector:
    """Return a selector by fewest requests in flight from this daemon, for benchmarks."""

    def select_target(
        candidates: Sequence[Candidate],
        excluded: Collection[str],
        now: float,
        objective_seconds: float | None = None,
    ) -> Candidate | None:
        allowed = [item for item in candidates if item.address not in excluded]
        random.shuffle(allowed)
        return min(
            allowed,
            key=lambda item: get_or_create_view(views_by_address, item.address).own_in_flight,
            default=None,
        )

    return select_target


def make_selector(
    rule: str, views_by_address: dict[str, TargetView], own_zone: str, random: Random
) -> TargetSelector:
    """Return the selector for a value of the setting `choice_rule`, or for expected completion."""
    if rule == RULE_EXPECTED_COMPLETION:
        return make_completion_selector(views_by_address, own_zone, random)
    if rule == "random":
        return make_random_selector(random)
    if rule == "round-robin":
        return make_round_robin_selector()
    if rule == "least-in-flight":
        return make_least_in_flight_selector(views_by_address, random)
    return make_load_aware_selector(views_by_address, own_zone, random)


def draw_sample(
    candidates: Sequence[Candidate], excluded: Collection[str], own_zone: str, random: Random
) -> list[Candidate]:
    """Return a random sample of the candidates not excluded, mostly from `own_zone`."""
    allowed = [item for item in candidates if item.address not in excluded]
    if len(allowed) <= SAMPLE_SIZE:
        random.shuffle(allowed)
        return allowed
    own_zone_candidates = [item for item in allowed if item.zone == own_zone]
    sample = random.sample(own_zone_candidates, min(OWN_ZONE_SAMPLE_SIZE, len(own_zone_candidates)))
    taken = {item.address for item in sample}
    others = [item for item in allowed if item.address not in taken]
    return sample + random.sample(others, SAMPLE_SIZE - len(sample))
