"""Metrics of a daemon in a registry of aioprometheus."""

from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from comfreyhitch.core.verdicts import Verdict
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.telemetry.stops import StopMetrics

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
MAX_TENANT_LABELS = 200
OTHER_TENANT = "other"


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


@dataclass(slots=True)
class ControlMetrics:
    """Hold the metrics of membership, configuration and rollouts."""

    stalls: Counter
    stall_seconds: Counter
    members: Gauge
    section_generation: Gauge
    platform_calls: Counter
    datagrams: Counter
    datagram_bytes: Counter
    rollout_share: Gauge
    vetoes: Gauge
    probe_budget: Gauge
    routes_of_unknown_kind: Gauge
    accounts_in_force: Gauge
    accounts: Gauge
    account_keys: Gauge


@dataclass(slots=True)
class UsageMetrics:
    """Hold the metrics of usage reports."""

    events: Counter
    is_holder: Gauge
    token: Gauge
    last_window_age_seconds: Gauge


@dataclass(slots=True)
class Metrics:
    """Hold all metrics of a daemon and the registry that renders them."""

    registry: Registry
    egress: EgressMetrics
    ingress: IngressMetrics
    control: ControlMetrics
    usage: UsageMetrics
    stops: StopMetrics
    label_sets_by_key: dict[tuple[str, ...], dict[str, str]]
    tenant_labels_by_name: dict[str, str]

    @classmethod
    def create(cls) -> "Metrics":
        """Return new metrics in their own registry."""
        registry = Registry()
        return cls(
            registry=registry,
            egress=_make_egress_metrics(registry),
            ingress=_make_ingress_metrics(registry),
            control=_make_control_metrics(registry),
            usage=_make_usage_metrics(registry),
            stops=StopMetrics.from_registry(registry),
            label_sets_by_key={},
            tenant_labels_by_name={},
        )


def observe_request(
    metrics: Metrics, service: str, tenant: str, verdict: Verdict, seconds: float
) -> None:
    """Record a request that a caller sent."""
    tenant = _limit_tenant_label(metrics, tenant)
    labels = _get_labels(metrics, service, tenant, verdict.header_value)
    metrics.egress.request_seconds.observe(labels, seconds)


def observe_call(
    metrics: Metrics, tenant: str, traffic_class: TrafficClass, seconds: float
) -> None:
    """Record a call that may have reached this daemon's target."""
    key = ("call", _limit_tenant_label(metrics, tenant), traffic_class.name)
    labels = metrics.label_sets_by_key.get(key)
    if labels is None:
        labels = {"tenant": key[1], "class": traffic_class.name.lower()}
        metrics.label_sets_by_key[key] = labels
    metrics.ingress.call_seconds.observe(labels, seconds)


def render_metrics(metrics: Metrics) -> tuple[bytes, str]:
    """Return all metrics in the text format, and its content type."""
    content, headers = render(metrics.registry, ["text/plain"])
    return content, headers["Content-Type"]


def _get_labels(metrics: Metrics, service: str, tenant: str, verdict: str) -> dict[str, str]:
    key = (service, tenant, verdict)
    labels = metrics.label_sets_by_key.get(key)
    if labels is None:
        labels = {"service": service, "tenant": tenant, "verdict": verdict}
        metrics.label_sets_by_key[key] = labels
    return labels


def _limit_tenant_label(metrics: Metrics, tenant: str) -> str:
    label = metrics.tenant_labels_by_name.get(tenant)
    if label is not None:
        return label
    # Callers choose the names of tenants, so the number of label values has to be limited.
    if len(metrics.tenant_labels_by_name) >= MAX_TENANT_LABELS:
        return OTHER_TENANT
    # The library writes label values unescaped, and a quote would make all metrics unreadable.
    label = tenant.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
    metrics.tenant_labels_by_name[tenant] = label
    return label


def _make_egress_metrics(registry: Registry) -> EgressMetrics:
    return EgressMetrics(
        request_seconds=Histogram(
            "comfreyhitch_request_seconds",
            "Time from request to response, by service, tenant and verdict.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        ),
        retries=_make_counter(registry, "retries_total", "Retries, by cause."),
        hedges=_make_counter(registry, "hedges_total", "Hedged requests, by result."),
        fences=_make_counter(registry, "fences_total", "Fences, by result."),
        probes=_make_counter(registry, "probes_total", "Load probes to other daemons."),
        attempts=_make_counter(
            registry, "attempts_total", "Requests sent to targets, by whether in the own zone."
        ),
        targets_avoided=_make_gauge(
            registry, "targets_avoided", "Targets to which others are preferred, by cause."
        ),
        connections_ended=_make_counter(
            registry,
            "caller_connections_ended_total",
            "Connections of callers that ended, by reason and whether bytes were unread.",
        ),
        bodies_cut_off=_make_counter(
            registry,
            "caller_bodies_cut_off_total",
            "Requests of callers whose bodies had too much around their chunks, or did not end.",
        ),
        connections_refused=_make_counter(
            registry,
            "caller_connections_refused_total",
            "Connections of callers refused, since as many others as allowed were busy.",
        ),
        gave_way=_make_counter(
            registry,
            "gave_way_total",
            "Requests and responses ended for others that needed their memory, by what they "
            "waited for.",
        ),
        nested_calls=_make_counter(
            registry,
            "nested_calls_total",
            "Requests that the target made while it ran another one, by service and route.",
        ),
        key_faults=_make_counter(
            registry, "key_faults_total", "Requests refused for their account key, by cause."
        ),
    )


def _make_ingress_metrics(registry: Registry) -> IngressMetrics:
    return IngressMetrics(
        call_seconds=Histogram(
            "comfreyhitch_call_seconds",
            "Time of calls at the target, by tenant and class.",
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=registry,
        ),
        refusals=_make_counter(registry, "refusals_total", "Calls refused as not run, by cause."),
        response_refusals=_make_counter(
            registry,
            "response_refusals_total",
            "Requests refused as not run for the bytes of request or response, by cause.",
        ),
        bytes_held=_make_gauge(
            registry,
            "bytes_held",
            "Bytes of requests and responses held, and expected from calls that run.",
        ),
        link_backlog_bytes=_make_gauge(
            registry, "link_backlog_bytes", "Bytes of large responses that wait for the link."
        ),
        link_backlog_seconds=_make_gauge(
            registry,
            "link_backlog_seconds",
            "Time to send them, and the expected responses of running calls.",
        ),
        limit=_make_gauge(registry, "concurrency_limit", "Concurrency limit of the target."),
        relative_time=_make_gauge(
            registry,
            "relative_time",
            "Response time by concurrency at the start, relative to the lowest one measured.",
        ),
        in_flight=_make_gauge(registry, "in_flight", "Calls that run at the target."),
        queued=_make_gauge(registry, "queued", "Calls that wait for the target."),
        target_probes=_make_counter(
            registry, "target_probes_total", "Reads of the target's health endpoint."
        ),
        target_probe_seconds=_make_counter(
            registry, "target_probe_seconds_total", "Time spent on reading the health endpoint."
        ),
        scheduling_refusals=_make_counter(
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
        unbounded_responses=_make_counter(
            registry,
            "unbounded_responses_total",
            "Responses of the target given up for their headers, interim responses or chunks.",
        ),
    )


def _make_control_metrics(registry: Registry) -> ControlMetrics:
    return ControlMetrics(
        stalls=_make_counter(
            registry, "stalls_total", "Times during which the daemon did not run its greenlets."
        ),
        stall_seconds=_make_counter(registry, "stall_seconds_total", "Sum of these times."),
        members=_make_gauge(registry, "members", "Known daemons, by status."),
        section_generation=_make_gauge(
            registry, "section_generation", "Generation in force, by section."
        ),
        platform_calls=_make_counter(
            registry, "platform_calls_total", "Calls to the platform's object API, by kind."
        ),
        datagrams=_make_counter(registry, "datagrams_total", "Gossip datagrams sent."),
        datagram_bytes=_make_counter(
            registry, "datagram_bytes_total", "Bytes of gossip datagrams sent."
        ),
        rollout_share=_make_gauge(
            registry, "rollout_share", "Share of a new version, by service and version."
        ),
        vetoes=_make_gauge(registry, "vetoes", "Rollouts that were judged bad."),
        probe_budget=_make_gauge(
            registry, "probe_budget_per_second", "Load probes a second that are allowed."
        ),
        routes_of_unknown_kind=_make_gauge(
            registry,
            "routes_of_unknown_kind",
            "Routes whose kind is unknown, so that their requests run at most once.",
        ),
        accounts_in_force=_make_gauge(
            registry, "accounts_in_force", "Whether requests need the key of a client account."
        ),
        accounts=_make_gauge(registry, "accounts", "Client accounts in force."),
        account_keys=_make_gauge(registry, "account_keys", "Keys of client accounts in force."),
    )


def _make_usage_metrics(registry: Registry) -> UsageMetrics:
    return UsageMetrics(
        events=_make_counter(
            registry, "usage_duty_events_total", "Writes, reports and changes of the usage duty."
        ),
        is_holder=_make_gauge(
            registry, "usage_duty_is_held", "Whether this daemon holds the usage duty."
        ),
        token=_make_gauge(registry, "usage_duty_token", "Latest known token of the usage duty."),
        last_window_age_seconds=_make_gauge(
            registry, "usage_last_window_age_seconds", "Time since the last window that is decided."
        ),
    )


def _make_counter(registry: Registry, name: str, doc: str) -> Counter:
    return Counter(f"comfreyhitch_{name}", doc, registry=registry)


def _make_gauge(registry: Registry, name: str, doc: str) -> Gauge:
    return Gauge(f"comfreyhitch_{name}", doc, registry=registry)
