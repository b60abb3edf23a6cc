"""Settings of a daemon, with their types, limits and defaults."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated, Literal

from msgspec import Meta

NAME_PATTERN = r"^[a-z0-9]([a-z0-9._-]{0,62})$"
_OCTET = r"(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])"
_IP_ADDRESS = rf"{_OCTET}(\.{_OCTET}){{3}}"

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
IpAddress = Annotated[str, Meta(pattern=rf"^{_IP_ADDRESS}$")]
Address = Annotated[str, Meta(pattern=rf"^{_IP_ADDRESS}:[0-9]{{1,5}}$")]
Port = Annotated[int, Meta(ge=1, le=65535)]
Share = Annotated[float, Meta(ge=0, le=1)]
SlotCount = Annotated[int, Meta(ge=1, le=10_000)]
DescriptorCount = Annotated[int, Meta(ge=1)]
CallRate = Annotated[float, Meta(ge=0.1, le=10_000)]
Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
ProbeRate = Annotated[float, Meta(ge=0, le=1000)]
TargetProbeRate = Annotated[float, Meta(ge=0, le=100)]
BodyBytes = Annotated[int, Meta(ge=0, le=64 * 1024 * 1024)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Hold all settings; durations are positive, and given in seconds in flags and variables."""

    host: Annotated[IpAddress, Meta(description="IP address that the daemon listens on")] = (
        "127.0.0.1"
    )
    http_port: Annotated[Port, Meta(description="port for callers")] = 8080
    peer_port: Annotated[Port, Meta(description="TCP and UDP port for other daemons")] = 8081
    admin_port: Annotated[Port, Meta(description="port for metrics, health and operators")] = 8082
    advertised_address: Annotated[
        Address | None,
        Meta(description="address that other daemons use, if not host and peer-port"),
    ] = None
    zone: Annotated[Name, Meta(description="availability zone of this instance")] = "zone-a"
    region: Annotated[Name, Meta(description="region of this instance")] = "region-a"
    service: Annotated[
        Name | None, Meta(description="service of the target, if it sends no announcements")
    ] = None
    service_version: Annotated[Name | None, Meta(description="version of the target")] = None
    target_port: Annotated[Port | None, Meta(description="port of the target on this instance")] = (
        None
    )
    target_host: Annotated[
        IpAddress | None,
        Meta(description="IP address of the target, if it differs from that of the daemon"),
    ] = None
    limit_rule: Annotated[
        Literal["adaptive", "slots", "throughput"],
        Meta(
            description="whether the concurrency limit is learned by latency (adaptive), equals "
            "the slots, or is learned by throughput, beginning at the slots"
        ),
    ] = "adaptive"
    overload_control: Annotated[
        Literal["class", "cost"],
        Meta(
            description="whether requests wait and are refused by traffic class alone, or by what "
            "the delay or refusal of each costs its caller"
        ),
    ] = "class"
    link_bandwidth: Annotated[
        Positive | None,
        Meta(
            description="bandwidth of this instance's link in Mbit/s, by which large responses are "
            "paced with overload-control=cost"
        ),
    ] = None
    memory_limit: Annotated[
        Positive | None,
        Meta(
            description="memory of this daemon in MB, of which requests and responses may hold a "
            "fifth"
        ),
    ] = None
    descriptor_limit: Annotated[
        DescriptorCount | None,
        Meta(
            description="descriptors that this daemon may have open, which bound its connections; "
            "the limit of the process if that is lower"
        ),
    ] = None
    slots: Annotated[
        SlotCount, Meta(description="requests that the target can run concurrently")
    ] = 10
    peers: Annotated[
        tuple[Address, ...], Meta(description="addresses of initial peers, separated by commas")
    ] = ()
    platform_url: Annotated[
        str | None, Meta(description="base URL of the platform's object API")
    ] = None
    body_limit_bytes: Annotated[
        BodyBytes,
        Meta(description="largest request or response body"),
    ] = 64 * 1024 * 1024
    default_timeout: Annotated[
        timedelta, Meta(description="timeout of a request that sets none")
    ] = timedelta(seconds=10)
    fence_after: Annotated[
        timedelta, Meta(description="silence after which a peer is asked whether a request ran")
    ] = timedelta(seconds=2)
    retry_budget: Annotated[Share, Meta(description="retries as a share of first attempts")] = 0.1
    hedge_budget: Annotated[
        Share, Meta(description="hedged requests as a share of first attempts")
    ] = 0.05
    retry_extra: Annotated[
        NonNegative, Meta(description="most retries that the budget of a service accumulates")
    ] = 20.0
    retry_window: Annotated[
        timedelta, Meta(description="time in which an empty shared retry budget refills")
    ] = timedelta(seconds=10)
    is_repeat_budget_shared: Annotated[
        bool,
        Meta(description="whether all daemons share the retry budgets, and hedges use them too"),
    ] = False
    choice_rule: Annotated[
        Literal["load-aware", "least-in-flight", "round-robin", "random"],
        Meta(description="how a target is chosen; rules other than load-aware are baselines"),
    ] = "load-aware"
    probe_rate: Annotated[
        ProbeRate,
        Meta(description="load probes to other daemons per second"),
    ] = 2.0
    target_probe_rate: Annotated[
        TargetProbeRate,
        Meta(description="most reads of the target's health endpoint per second"),
    ] = 0.5
    target_probe_interval: Annotated[
        timedelta,
        Meta(description="time between health reads while the target's state is certain"),
    ] = timedelta(seconds=2)
    gossip_interval: Annotated[
        timedelta, Meta(description="time between failure detector probes")
    ] = timedelta(seconds=1)
    sync_interval: Annotated[timedelta, Meta(description="time between anti-entropy exchanges")] = (
        timedelta(seconds=10)
    )
    drain_timeout: Annotated[
        timedelta, Meta(description="longest wait for requests in flight during a shutdown")
    ] = timedelta(seconds=30)
    stop_linger: Annotated[
        timedelta,
        Meta(description="time during a shutdown for callers to switch to another daemon"),
    ] = timedelta(milliseconds=500)
    send_timeout: Annotated[
        timedelta,
        Meta(
            description="longest wait during a shutdown, after drain_timeout, for answers that "
            "are being received or sent"
        ),
    ] = timedelta(seconds=1)
    registration: Annotated[
        Literal["readers", "all"],
        Meta(description="which daemons register in the platform so that others find them"),
    ] = "readers"
    key_retention: Annotated[
        timedelta, Meta(description="time for which outcomes by Idempotency-Key are kept")
    ] = timedelta(minutes=10)
    usage_address: Annotated[
        Address | None, Meta(description="address that usage reports are sent to, if any")
    ] = None
    node_name: Annotated[
        str, Meta(description="name of this instance in usage reports", max_length=256)
    ] = ""
    usage_window: Annotated[timedelta, Meta(description="time that one usage report is about")] = (
        timedelta(seconds=5)
    )
    usage_lease: Annotated[
        timedelta, Meta(description="time for which a daemon may report usage after each write")
    ] = timedelta(seconds=3)
    usage_report_limit: Annotated[
        timedelta, Meta(description="time after a usage window by which its report is sent")
    ] = timedelta(seconds=10)
    usage_call_rate: Annotated[
        CallRate, Meta(description="usage reports a second that the platform accepts")
    ] = 50.0
    log_level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"],
        Meta(description="least severe level that is logged"),
    ] = "INFO"

    @property
    def peer_address(self) -> str:
        """Return the address on which the daemon listens for other daemons."""
        return f"{self.host}:{self.peer_port}"

    @property
    def advertised_peer_address(self) -> str:
        """Return the address that is advertised to other daemons."""
        return self.advertised_address or self.peer_address

    @property
    def target_address_host(self) -> str:
        """Return the IP address of the target."""
        return self.target_host or self.host

    @property
    def http_address(self) -> str:
        """Return the address that callers use."""
        return f"{self.host}:{self.http_port}"

    @property
    def admin_address(self) -> str:
        """Return the address of the admin port."""
        return f"{self.host}:{self.admin_port}"
