"""Models of rollout evidence and rollout status."""

from dataclasses import dataclass, field
from datetime import datetime
from enum import StrEnum

from comfreyhitch.wire.generated.ttypes import EvidenceRecord, RouteEvidence


class RolloutPhase(StrEnum):
    """Name the phases of a rollout, as the status shows them."""

    PENDING = "pending"
    IN_PROGRESS = "in-progress"
    FROZEN = "frozen"
    DONE = "done"
    ROLLED_BACK = "rolled-back"


TERMINAL_PHASES = frozenset({RolloutPhase.DONE.value, RolloutPhase.ROLLED_BACK.value})


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Hold the status of a rollout that operators see."""

    rollout_id: str
    service: str
    to_version: str
    phase: RolloutPhase
    share: float
    reason: str
    updated_at: datetime


@dataclass(slots=True)
class RouteCounts:
    """Count the responses of one version on one route, also by latency bucket."""

    requests: int = 0
    failures: int = 0
    latency_counts: list[int] = field(default_factory=list)


@dataclass(slots=True)
class Evidence:
    """Hold the response counts of one daemon's target in one window of a rollout.

    The analyzers of a rollout use the evidence of all daemons to compare the versions.
    """

    rollout_id: str
    version: str
    address: str
    window: int
    counts_by_route: dict[str, RouteCounts] = field(default_factory=dict)


def make_evidence_record(evidence: Evidence) -> EvidenceRecord:
    """Convert evidence to its wire record."""
    return EvidenceRecord(
        rollout_id=evidence.rollout_id,
        version=evidence.version,
        address=evidence.address,
        window=evidence.window,
        routes=[
            RouteEvidence(route, counts.requests, counts.failures, counts.latency_counts)
            for route, counts in evidence.counts_by_route.items()
        ],
    )


def read_evidence_record(record: EvidenceRecord) -> Evidence:
    """Convert a wire record to evidence."""
    return Evidence(
        rollout_id=record.rollout_id,
        version=record.version,
        address=record.address,
        window=record.window,
        counts_by_route={
            item.route: RouteCounts(item.requests, item.failures, list(item.latency_counts))
            for item in record.routes
        },
    )
