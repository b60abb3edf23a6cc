"""Validated settings of a daemon, with their defaults."""

from datetime import timedelta
from ipaddress import IPv4Address
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

Name = Annotated[str, StringConstraints(pattern=r"^[a-z0-9]([a-z0-9._-]{0,62})$")]
Address = Annotated[str, StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Port = Annotated[int, Field(ge=1, le=65535)]
PositiveDuration = Annotated[timedelta, Field(gt=timedelta(0))]


class Settings(BaseModel):
    """Hold every setting; durations are seconds in flags and variables."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    host: IPv4Address = Field(
        IPv4Address("127.0.0.1"), description="IP number that the daemon listens on"
    )
    http_port: Port = Field(8080, description="port for callers")
    peer_port: Port = Field(8081, description="TCP and UDP port for other daemons")
    admin_port: Port = Field(8082, description="port for metrics, health and operators")
    advertised_address: Address | None = Field(
        None, description="address that other daemons use, if not host and peer-port"
    )
    zone: Name = Field("zone-a", description="availability zone of this instance")
    region: Name = Field("region-a", description="region of this instance")
    service: Name | None = Field(None, description="service of the target, if it never announces")
    service_version: Name | None = Field(None, description="version of the target")
    target_port: Port | None = Field(None, description="port of the target on this instance")
    target_host: IPv4Address | None = Field(
        None, description="IP number of the target, if it is not that of the daemon"
    )
    limit_rule: Literal["adaptive", "slots"] = Field(
        "adaptive", description="whether the concurrency limit is learned or is the slots"
    )
    slots: Annotated[int, Field(ge=1, le=10_000)] = Field(
        10, description="requests that the target can run at a time"
    )
    peers: tuple[Address, ...] = Field((), description="addresses of first peers, comma separated")
    platform_url: str | None = Field(None, description="base URL of the platform's object API")
    body_limit_bytes: Annotated[int, Field(ge=0, le=8 * 1024 * 1024)] = Field(
        4 * 1024 * 1024, description="largest request or response body"
    )
    default_timeout: PositiveDuration = Field(
        timedelta(seconds=10), description="deadline of a request that names none"
    )
    fence_after: PositiveDuration = Field(
        timedelta(seconds=2), description="silence after which a request's fate is asked for"
    )
    retry_budget: Annotated[float, Field(ge=0, le=1)] = Field(
        0.1, description="retries as a share of first tries"
    )
    hedge_budget: Annotated[float, Field(ge=0, le=1)] = Field(
        0.05, description="hedged requests as a share of first tries"
    )
    retry_extra: Annotated[float, Field(ge=0)] = Field(
        20.0, description="retries of a service that may be saved up"
    )
    retry_window: PositiveDuration = Field(
        timedelta(seconds=10), description="time in which the shared retries are earned again"
    )
    is_repeat_budget_shared: bool = Field(
        False, description="whether all daemons share the retries saved up, and hedges draw on them"
    )
    choice_rule: Literal["load-aware", "least-in-flight", "round-robin", "random"] = Field(
        "load-aware", description="how a target is chosen; the others serve as baselines"
    )
    probe_rate: Annotated[float, Field(ge=0, le=1000)] = Field(
        2.0, description="load probes to other daemons a second"
    )
    target_probe_rate: Annotated[float, Field(ge=0, le=100)] = Field(
        0.5, description="most reads of the target's own health endpoint a second"
    )
    target_probe_interval: PositiveDuration = Field(
        timedelta(seconds=2), description="time between reads of it while nothing is in doubt"
    )
    gossip_interval: PositiveDuration = Field(
        timedelta(seconds=1), description="time between failure detector probes"
    )
    sync_interval: PositiveDuration = Field(
        timedelta(seconds=10), description="time between anti-entropy exchanges"
    )
    drain_timeout: PositiveDuration = Field(
        timedelta(seconds=30), description="longest wait for requests in flight at a stop"
    )
    stop_linger: PositiveDuration = Field(
        timedelta(milliseconds=500), description="time at a stop for callers to go elsewhere"
    )
    registration: Literal["readers", "all"] = Field(
        "readers", description="which daemons register in the platform for others to find"
    )
    key_retention: PositiveDuration = Field(
        timedelta(minutes=10), description="time for which outcomes by Idempotency-Key are kept"
    )
    log_level: Annotated[str, StringConstraints(pattern=r"^(DEBUG|INFO|WARNING|ERROR)$")] = Field(
        "INFO", description="least severe level that is logged"
    )

    @property
    def peer_address(self) -> str:
        """Return the address that other daemons use."""
        return f"{self.host}:{self.peer_port}"

    @property
    def advertised_peer_address(self) -> str:
        """Return the address that is told to other daemons."""
        return self.advertised_address or self.peer_address

    @property
    def target_address_host(self) -> str:
        """Return the IP number of the target."""
        return str(self.target_host or self.host)

    @property
    def http_address(self) -> str:
        """Return the address that callers use."""
        return f"{self.host}:{self.http_port}"

    @property
    def admin_address(self) -> str:
        """Return the address of the admin port."""
        return f"{self.host}:{self.admin_port}"
