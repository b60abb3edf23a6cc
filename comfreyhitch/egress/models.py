"""Candidates for requests, and the egress's view of their load."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold a target that may get requests to a service; `address` is that of its daemon."""

    address: str
    zone: str
    version: str
    slots: int
    is_suspect: bool = False


@dataclass(slots=True)
class TargetView:
    """Hold a target's reported load and this daemon's own requests to it.

    Times are monotonic seconds. `slowness` is how long work takes now, divided by how long it
    usually takes.
    """

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
    # Expected wait of a request of the least urgent rank, as reported; 0 if the report names none.
    wait_seconds: float = 0.0
    # Mean of the reported latencies, and their number.
    mean_latency_seconds: float = 0.0
    latency_reports: int = 0
    # Number of times that the target failed after it had answered, which decays over time.
    flap_score: float = 0.0
    flapped_at: float = 0.0
    has_answered_since_flap: bool = False
    # Until when the target takes no request, as the refusals of a cold or limited target say.
    paused_until: float = 0.0
    pause_seconds: float = 0.0
    # Never reset, so that requests can be counted over any period.
    sent_total: int = 0
