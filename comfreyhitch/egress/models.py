"""What an egress knows of the targets that it may choose."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """Name a target that may be chosen for a service."""

    address: str
    zone: str
    version: str
    slots: int
    is_suspect: bool = False


@dataclass(slots=True)
class TargetView:
    """Hold what is known of a target's load; times are monotonic seconds."""

    address: str
    reported_in_flight: int = 0
    reported_queued: int = 0
    reported_limit: int = 1
    reported_at: float = 0.0
    slowness: float = 1.0
    latency_seconds: float = 0.0
    own_in_flight: int = 0
    sent_since_report: int = 0
    overdue_attempts: int = 0
    error_rate: float = 0.0
    consecutive_failures: int = 0
    avoid_until: float = 0.0
    is_accepting: bool = True
    boot_id: str = ""
