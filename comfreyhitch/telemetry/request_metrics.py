"""Metrics of requests: at the egress, and at the ingress."""

from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Histogram, Registry

from comfreyhitch.telemetry.metric_kinds import make_counter, make_gauge

LATENCY_BUCKETS_SECONDS = [
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
]


@dataclass(slots=True)
class EgressMetrics:
    """Hold the metrics of requests that callers sent to this daemon."""

    request_seconds: Histogram
    retries: Counter
    hedges: Counter
    fences: Counter
    probes: Counter
    attempts: Counter
    targets_avoided: Gauge
    connections_ended: Counter
    bodies_cut_off: Counter
    gave_way: Counter
    connections_refused: Counter
    nested_calls: Counter
    key_faults: Counter


@dataclass(slots=True)
class IngressMetrics:
    """Hold the metrics of calls to this daemon's target."""

    call_seconds: Histogram
    refusals: Counter
    response_refusals: Counter
    bytes_held: Gauge
    link_backlog_bytes: Gauge
    link_backlog_seconds: Gauge
    limit: Gauge
    relative_time: Gauge
    in_flight: Gauge
    queued: Gauge
    target_probes: Counter
    target_probe_seconds: Counter
    scheduling_refusals: Counter
    wait_seconds: Histogram
    unbounded_responses: Counter


def make_egress_metrics(registry: Registry) -> EgressMetrics:
    """Return new metrics of callers' requests in a registry."""
    return EgressMetrics(
        request_seconds=Histogram(
            "comfreyhitch_request_seconds",
            "Time from request to response, by service, tenant and verdict.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        ),
        retries=make_counter(registry, "retries_total", "Retries, by cause."),
        hedges=make_counter(registry, "hedges_total", "Hedged requests, by result."),
        fences=make_counter(registry, "fences_total", "Fences, by result."),
        probes=make_counter(registry, "probes_total", "Load probes to other daemons."),
        attempts=make_counter(
            registry, "attempts_total", "Requests sent to targets, by whether in the own zone."
        ),
        targets_avoided=make_gauge(
            registry, "targets_avoided", "Targets to which others are preferred, by cause."
        ),
        connections_ended=make_counter(
            registry,
            "caller_connections_ended_total",
            "Connections of callers that ended, by reason and whether bytes were unread.",
        ),
        bodies_cut_off=make_counter(
            registry,
            "caller_bodies_cut_off_total",
            "Requests of callers whose bodies had too much around their chunks, or did not end.",
        ),
        connections_refused=make_counter(
            registry,
            "caller_connections_refused_total",
            "Connections of callers refused, since as many others as allowed were busy.",
        ),
        gave_way=make_counter(
            registry,
            "gave_way_total",
            "Requests and responses ended for others that needed their memory, by what they "
            "waited for.",
        ),
        nested_calls=make_counter(
            registry,
            "nested_calls_total",
            "Requests that the target made while it ran another one, by service and route.",
        ),
        key_faults=make_counter(
            registry, "key_faults_total", "Requests refused for their account key, by cause."
        ),
    )


def make_ingress_metrics(registry: Registry) -> IngressMetrics:
    """Return new metrics of calls to the target in a registry."""
    return IngressMetrics(
        call_seconds=Histogram(
            "comfreyhitch_call_seconds",
            "Time of calls at the target, by tenant and class.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        ),
        refusals=make_counter(registry, "refusals_total", "Calls refused as not run, by cause."),
        response_refusals=make_counter(
            registry,
            "response_refusals_total",
            "Requests refused as not run for the bytes of request or response, by cause.",
        ),
        bytes_held=make_gauge(
            registry,
            "bytes_held",
            "Bytes of requests and responses held, and expected from calls that run.",
        ),
        link_backlog_bytes=make_gauge(
            registry, "link_backlog_bytes", "Bytes of large responses that wait for the link."
        ),
        link_backlog_seconds=make_gauge(
            registry,
            "link_backlog_seconds",
            "Time to send them, and the expected responses of running calls.",
        ),
        limit=make_gauge(registry, "concurrency_limit", "Concurrency limit of the target."),
        relative_time=make_gauge(
            registry,
            "relative_time",
            "Response time by concurrency at the start, relative to the lowest one measured.",
        ),
        in_flight=make_gauge(registry, "in_flight", "Calls that run at the target."),
        queued=make_gauge(registry, "queued", "Calls that wait for the target."),
        target_probes=make_counter(
            registry, "target_probes_total", "Reads of the target's health endpoint."
        ),
        target_probe_seconds=make_counter(
            registry, "target_probe_seconds_total", "Time spent on reading the health endpoint."
        ),
        scheduling_refusals=make_counter(
            registry,
            "scheduling_refusals_total",
            "Calls that the scheduler refused, by cause, rank and whether they were nested.",
        ),
        wait_seconds=Histogram(
            "comfreyhitch_wait_seconds",
            "Time that started calls waited in the queue of the scheduler, by rank.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        ),
        unbounded_responses=make_counter(
            registry,
            "unbounded_responses_total",
            "Responses of the target given up for their headers, interim responses or chunks.",
        ),
    )
