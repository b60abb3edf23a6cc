"""Hold the state of one daemon's ingress."""

import logging
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from comfreyhitch.admission.limiter import reset_baseline, set_fixed_limit, set_learned_limit
from comfreyhitch.admission.pacing import PaceReading
from comfreyhitch.admission.queue import AdmissionQueue
from comfreyhitch.admission.rate_limit import (
    NamedRateLimit,
    parse_rate_limit,
    set_rate_limit,
)
from comfreyhitch.admission.schedule import Schedule, reset_measurements
from comfreyhitch.admission.throughput import (
    ThroughputLimit,
    change_slots,
    get_applied_limit,
    reset_throughput,
)
from comfreyhitch.admission.warm_up import WarmUpLimiter, set_warm_up_rate
from comfreyhitch.conf.models import Settings
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.headers import find_any_header, find_header
from comfreyhitch.core.target_headers import DEFAULT_TARGET_HEADERS, TargetHeaderNames
from comfreyhitch.core.verdicts import Response
from comfreyhitch.idempotency.claims import ClaimClient
from comfreyhitch.ingress.confirmation import HeldHeartbeat
from comfreyhitch.ingress.lifecycle import (
    Heartbeat,
    TargetLifecycle,
    mark_leaving,
    mark_suspected,
)
from comfreyhitch.ingress.records import RecordStore
from comfreyhitch.ingress.response_sizes import ResponseSizes
from comfreyhitch.ingress.target import TargetConnectionPool, close_connections
from comfreyhitch.rollouts.evidence import EvidenceLog
from comfreyhitch.rollouts.exposure import TrialCounter
from comfreyhitch.telemetry.decisions import DecisionLog
from comfreyhitch.telemetry.metrics import Metrics
from comfreyhitch.usage.recorder import NO_USAGE_RECORDER, UsageRecorder
from comfreyhitch.utils.recent_set import RecentSet
from comfreyhitch.utils.token_bucket import TokenBucket
from comfreyhitch.wire.pacing import LinkPacer

logger = logging.getLogger(__name__)

REQUEST_RECORD_RETENTION_SECONDS = 180.0
MAX_REQUEST_RECORDS = 50_000
MAX_RECORD_BYTES = 8 * 1024 * 1024
MAX_COMPLETED_FINGERPRINTS = 2048
LATENCY_EWMA_WEIGHT = 0.1
# Capacity of the target probe budget in seconds of its rate, which allows bursts of probes.
PROBE_BURST_SECONDS = 0.5
LEAVING_VALUE = "1"


@dataclass(slots=True)
class Ingress:
    """Hold the state with which the ingress protects its target."""

    settings: Settings
    blackboard: Blackboard
    queue: AdmissionQueue
    records: RecordStore
    claims: ClaimClient
    evidence: EvidenceLog
    metrics: Metrics
    report_crash: Callable[[str], None]
    target_probe_budget: TokenBucket
    decisions: DecisionLog
    completed_fingerprints: RecentSet = field(
        default_factory=lambda: RecentSet.from_capacity(MAX_COMPLETED_FINGERPRINTS)
    )
    header_names: TargetHeaderNames = DEFAULT_TARGET_HEADERS
    lifecycle: TargetLifecycle = field(default_factory=TargetLifecycle)
    warm_up_limiter: WarmUpLimiter | None = None
    trial_counter: TrialCounter = field(default_factory=TrialCounter)
    rate_limit: NamedRateLimit = field(default_factory=NamedRateLimit)
    # Called when the target says in a response, for the first time, that it is leaving.
    on_leaving: Callable[[], None] = lambda: None
    usage: UsageRecorder = NO_USAGE_RECORDER
    connections: TargetConnectionPool | None = None
    last_probed_at: float = 0.0
    # Whether the last health response named its instance.
    names_instance: bool = True
    # The first heartbeat of an incarnation, until the health path confirms that it has not left.
    held_heartbeat: HeldHeartbeat | None = None
    # Called with a held heartbeat that was confirmed.
    on_confirmed: Callable[[Heartbeat], None] = lambda heartbeat: None
    # Whether the target's health path was probed since the target was attached.
    is_probed: bool = False
    # Requests sent to the target since its health path was last asked, and the reading that they
    # caused.
    requests_since_reading: int = 0
    cold_check: gevent.Greenlet | None = None
    pace: PaceReading | None = None
    pace_probe: gevent.Greenlet | None = None
    latency_seconds: float = 0.0
    calls_in_progress: int = 0
    # None unless the concurrency limit is learned by throughput.
    throughput: ThroughputLimit | None = None
    # Paces large responses to other daemons; None if they are sent at once.
    link: LinkPacer | None = None
    response_sizes: ResponseSizes = field(default_factory=ResponseSizes)

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        blackboard: Blackboard,
        claims: ClaimClient,
        evidence: EvidenceLog,
        metrics: Metrics,
        report_crash: Callable[[str], None],
        header_names: TargetHeaderNames = DEFAULT_TARGET_HEADERS,
    ) -> "Ingress":
        """Return an ingress for a target that has just started."""
        return cls(
            settings=settings,
            blackboard=blackboard,
            queue=_make_queue(settings),
            records=RecordStore.from_retention(
                REQUEST_RECORD_RETENTION_SECONDS, MAX_REQUEST_RECORDS, MAX_RECORD_BYTES
            ),
            claims=claims,
            evidence=evidence,
            metrics=metrics,
            report_crash=report_crash,
            header_names=header_names,
            decisions=DecisionLog.from_clock("comfreyhitch.ingress", blackboard.clock),
            target_probe_budget=TokenBucket.from_rate(
                settings.target_probe_rate,
                max(1.0, PROBE_BURST_SECONDS * settings.target_probe_rate),
                blackboard.clock.monotonic(),
            ),
            throughput=(
                ThroughputLimit.from_slots(settings.slots)
                if settings.limit_rule == "throughput"
                else None
            ),
            link=_make_link_pacer(settings, blackboard.clock.monotonic()),
        )


def _make_queue(settings: Settings) -> AdmissionQueue:
    queue = AdmissionQueue.from_slots(settings.slots)
    if settings.overload_control == "cost":
        queue.schedule = Schedule()
    return queue


def _make_link_pacer(settings: Settings, now: float) -> LinkPacer | None:
    if settings.overload_control != "cost" or settings.link_bandwidth is None:
        return None
    return LinkPacer.from_bandwidth(settings.link_bandwidth, now)


def reports_pace(ingress: Ingress) -> bool:
    """Return whether the target has reported its pace."""
    return ingress.pace is not None


def attach_target(ingress: Ingress, host: str, port: int, slots: int) -> None:
    """Attach a newly announced target, which is cold."""
    clock = ingress.blackboard.clock
    if ingress.connections is not None:
        close_connections(ingress.connections)
    ingress.connections = TargetConnectionPool.from_address(host, port, clock, ingress.header_names)
    ingress.connections.on_unexpected_close = lambda: mark_suspected(ingress.lifecycle)
    ingress.connections.on_response = lambda response: apply_target_notices(ingress, response)
    ingress.connections.on_unbounded = lambda part: _record_unbounded(ingress, part)
    ingress.rate_limit = NamedRateLimit()
    ingress.is_probed = False
    if ingress.throughput is not None:
        reset_throughput(ingress.throughput, slots)
    set_slots(ingress, slots)
    reset_learned_limit(ingress)
    if ingress.queue.schedule is not None:
        reset_measurements(ingress.queue.schedule)


def apply_target_notices(ingress: Ingress, response: Response) -> None:
    """Apply what a response says of its target: a rate limit, and whether it is leaving."""
    names = ingress.header_names
    text = find_any_header(response.headers, names.rate_limit)
    limit = parse_rate_limit(text.strip())
    known = ingress.rate_limit.requests_per_second
    if text and limit is None:
        logger.warning("target names an invalid rate limit", extra={"value": text[:40]})
    else:
        set_rate_limit(ingress.rate_limit, limit, ingress.blackboard.clock.monotonic())
    if (known is None) != (ingress.rate_limit.requests_per_second is None):
        logger.info("target's rate limit", extra={"requests_per_second": limit})
    if find_any_header(response.headers, names.leaving).strip() == LEAVING_VALUE:
        instance_id = find_header(response.headers, names.instance)
        if mark_leaving(ingress.lifecycle, instance_id):
            ingress.on_leaving()


def _record_unbounded(ingress: Ingress, part: str) -> None:
    ingress.metrics.ingress.unbounded_responses.inc({"part": part})
    logger.warning("response of the target was given up", extra={"too_many": part})


def set_slots(ingress: Ingress, slots: int) -> None:
    """Set how many requests the target can run at a time."""
    if ingress.throughput is not None:
        change_slots(ingress.throughput, slots)
        apply_throughput_limit(ingress)
    elif ingress.settings.limit_rule == "slots":
        set_fixed_limit(ingress.queue.limit, slots)
    else:
        ingress.queue.limit.slots = slots


def apply_throughput_limit(ingress: Ingress) -> None:
    """Admit requests by the limit that is learned by throughput, if one is."""
    state = ingress.throughput
    if state is not None:
        set_learned_limit(ingress.queue.limit, state.slots, get_applied_limit(state))


def apply_service_profile(ingress: Ingress) -> None:
    """Apply the configured request rate for cold targets of this daemon's service."""
    table = ingress.blackboard.route_table
    profile = (
        None if table is None else table.services_by_name.get(ingress.blackboard.own_member.service)
    )
    if profile is None:
        return
    rate = profile.cold_requests_per_second
    if ingress.warm_up_limiter is None:
        ingress.warm_up_limiter = WarmUpLimiter.from_rate(
            rate, ingress.blackboard.clock.monotonic()
        )
    elif ingress.warm_up_limiter.bucket.rate != rate:
        set_warm_up_rate(ingress.warm_up_limiter, rate)


def reset_learned_limit(ingress: Ingress) -> None:
    """Reset the concurrency limit to that of a cold target."""
    reset_baseline(ingress.queue.limit, ingress.blackboard.clock.monotonic())


def count_calls_in_progress(ingress: Ingress) -> int:
    """Return the number of calls that run or whose large response is not sent completely."""
    sending = 0 if ingress.link is None else len(ingress.link.frames)
    return ingress.calls_in_progress + sending


def record_latency(ingress: Ingress, seconds: float) -> None:
    """Update the moving average of the target's latency."""
    if ingress.latency_seconds == 0.0:
        ingress.latency_seconds = seconds
        return
    ingress.latency_seconds += LATENCY_EWMA_WEIGHT * (seconds - ingress.latency_seconds)
