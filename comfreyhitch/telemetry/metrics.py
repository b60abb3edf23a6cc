"""Metrics of a daemon in a registry of aioprometheus."""

from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Registry, render

from comfreyhitch.core.verdicts import Verdict
from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.telemetry.metric_kinds import make_counter, make_gauge
from comfreyhitch.telemetry.request_metrics import (
    EgressMetrics,
    IngressMetrics,
    make_egress_metrics,
    make_ingress_metrics,
)
from comfreyhitch.telemetry.stops import StopMetrics

MAX_TENANT_LABELS = 200
OTHER_TENANT = "other"


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
            egress=make_egress_metrics(registry),
            ingress=make_ingress_metrics(registry),
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


def _make_control_metrics(registry: Registry) -> ControlMetrics:
    return ControlMetrics(
        stalls=make_counter(
            registry, "stalls_total", "Times during which the daemon did not run its greenlets."
        ),
        stall_seconds=make_counter(registry, "stall_seconds_total", "Sum of these times."),
        members=make_gauge(registry, "members", "Known daemons, by status."),
        section_generation=make_gauge(
            registry, "section_generation", "Generation in force, by section."
        ),
        platform_calls=make_counter(
            registry, "platform_calls_total", "Calls to the platform's object API, by kind."
        ),
        datagrams=make_counter(registry, "datagrams_total", "Gossip datagrams sent."),
        datagram_bytes=make_counter(
            registry, "datagram_bytes_total", "Bytes of gossip datagrams sent."
        ),
        rollout_share=make_gauge(
            registry, "rollout_share", "Share of a new version, by service and version."
        ),
        vetoes=make_gauge(registry, "vetoes", "Rollouts that were judged bad."),
        probe_budget=make_gauge(
            registry, "probe_budget_per_second", "Load probes a second that are allowed."
        ),
        routes_of_unknown_kind=make_gauge(
            registry,
            "routes_of_unknown_kind",
            "Routes whose kind is unknown, so that their requests run at most once.",
        ),
        accounts_in_force=make_gauge(
            registry, "accounts_in_force", "Whether requests need the key of a client account."
        ),
        accounts=make_gauge(registry, "accounts", "Client accounts in force."),
        account_keys=make_gauge(registry, "account_keys", "Keys of client accounts in force."),
    )


def _make_usage_metrics(registry: Registry) -> UsageMetrics:
    return UsageMetrics(
        events=make_counter(
            registry, "usage_duty_events_total", "Writes, reports and changes of the usage duty."
        ),
        is_holder=make_gauge(
            registry, "usage_duty_is_held", "Whether this daemon holds the usage duty."
        ),
        token=make_gauge(registry, "usage_duty_token", "Latest known token of the usage duty."),
        last_window_age_seconds=make_gauge(
            registry, "usage_last_window_age_seconds", "Time since the last window that is decided."
        ),
    )
