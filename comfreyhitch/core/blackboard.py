"""State that the controllers of a daemon share."""

from collections import defaultdict
from dataclasses import dataclass, field
from datetime import datetime

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.held_bytes import HeldBytes
from comfreyhitch.core.target_activity import TargetActivity
from comfreyhitch.documents.models import DocumentKind, RolloutOrder, ServiceVersion
from comfreyhitch.egress.models import Candidate, TargetView
from comfreyhitch.membership.models import Member
from comfreyhitch.rollouts.models import Evidence, RolloutStatus
from comfreyhitch.routing.models import RouteTable
from comfreyhitch.sections.models import DEFAULT_FREEZES, Freeze, Section, ServicePolicy


@dataclass(frozen=True, slots=True)
class Veto:
    """Record why a rollout was stopped, such as a regression or its deadline.

    A veto is permanent.
    """

    rollout_id: str
    reason: str
    vetoed_at: datetime


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Record that a target crashed while it ran a request."""

    fingerprint: str
    target: str
    reported_at: datetime


@dataclass(frozen=True, slots=True)
class ActiveRollout:
    """Hold the progress of an ordered rollout; a vetoed version gets no more requests."""

    rollout_id: str
    to_version: str
    stage: int
    veto_reason: str | None = None
    is_done: bool = False


@dataclass(slots=True)
class Blackboard:
    """Hold the daemon's view of itself, its peers and the configuration.

    Observers and controllers write here what they learn, and the code that handles requests
    reads it (the blackboard pattern).
    """

    clock: Clock
    own_member: Member
    held_bytes: HeldBytes = field(default_factory=HeldBytes)
    members_by_address: dict[str, Member] = field(default_factory=dict)
    members_revision: int = 0
    sections_by_name: dict[str, Section] = field(default_factory=dict)
    services_by_name: dict[str, ServicePolicy] = field(default_factory=dict)
    service_names_by_host: dict[str, str] = field(default_factory=dict)
    route_table: RouteTable | None = None
    document_version_by_kind: dict[DocumentKind, int] = field(default_factory=dict)
    rollout_orders_by_service: dict[str, RolloutOrder] = field(default_factory=dict)
    active_rollouts_by_service: dict[str, ActiveRollout] = field(default_factory=dict)
    zones_out: frozenset[str] = frozenset()
    tenant_shares_by_name: dict[str, float] = field(default_factory=dict)
    probe_rate: float | None = None
    freezes: tuple[Freeze, ...] = DEFAULT_FREEZES
    vetoes_by_rollout: dict[str, Veto] = field(default_factory=dict)
    completed_at_by_rollout: dict[str, datetime] = field(default_factory=dict)
    # Versions of ordered rollouts that were rolled back, whatever has been ordered since.
    veto_reasons_by_version: dict[ServiceVersion, str] = field(default_factory=dict)
    rollout_statuses_by_id: dict[str, RolloutStatus] = field(default_factory=dict)
    stages_by_rollout: dict[str, int] = field(default_factory=dict)
    evidence_by_rollout: dict[str, dict[tuple[str, int], Evidence]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    crash_reports_by_fingerprint: dict[str, dict[str, CrashReport]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    views_by_address: dict[str, TargetView] = field(default_factory=dict)
    # The targets that this daemon tracks, and how many there are.
    candidates_by_service: dict[str, list[Candidate]] = field(default_factory=dict)
    target_counts_by_version: dict[ServiceVersion, int] = field(default_factory=dict)
    version_shares_by_service: dict[str, dict[str, float]] = field(default_factory=dict)
    # Set after a pause of the process, while the daemon syncs its state with peers.
    is_stale: bool = False
    is_draining: bool = False
    is_target_healthy: bool = True
    # Recorded only where requests are scheduled by cost.
    target_activity: TargetActivity = field(default_factory=TargetActivity)


QUARANTINE_MIN_CRASHED_TARGETS = 2
# Crashes after which a request is quarantined although it crashed the same target each time, which
# may be the only one of its service. The platform allows 3.
QUARANTINE_MIN_CRASHES = 3
_CRASH_NUMBER_SEPARATOR = "#"


def make_crash_target(address: str, number: int) -> str:
    """Return the name of a target in the report of its first or of a later crash."""
    return address if number == 1 else f"{address}{_CRASH_NUMBER_SEPARATOR}{number}"


def is_quarantined(blackboard: Blackboard, request_fingerprint: str) -> bool:
    """Return whether a request crashed enough targets to be refused by every daemon."""
    reports = blackboard.crash_reports_by_fingerprint.get(request_fingerprint)
    if reports is None:
        return False
    addresses = {name.partition(_CRASH_NUMBER_SEPARATOR)[0] for name in reports}
    return (
        len(addresses) >= QUARANTINE_MIN_CRASHED_TARGETS or len(reports) >= QUARANTINE_MIN_CRASHES
    )


def get_version_refusal_reason(blackboard: Blackboard, service: str, version: str) -> str | None:
    """Return why a version of a service gets no requests, or None if it may get them."""
    active = blackboard.active_rollouts_by_service.get(service)
    if active is not None and active.to_version == version:
        return active.veto_reason
    lasting_reason = blackboard.veto_reasons_by_version.get(ServiceVersion(service, version))
    if lasting_reason is not None:
        return lasting_reason
    policy = blackboard.services_by_name.get(service)
    if policy is None or policy.rollout is None or policy.rollout.to_version != version:
        return None
    rollout_id = policy.rollout.rollout_id
    if rollout_id in blackboard.completed_at_by_rollout:
        return None
    veto = blackboard.vetoes_by_rollout.get(rollout_id)
    return None if veto is None else veto.reason
