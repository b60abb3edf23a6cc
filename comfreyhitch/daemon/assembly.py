"""Build one daemon from its settings."""

import logging
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import gevent
import gevent.socket
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.core.clock import Clock
from comfreyhitch.core.connection_limits import ConnectionLimits
from comfreyhitch.core.held_bytes import HeldBytes
from comfreyhitch.daemon.adapter import DEFAULT_ADAPTER, PlatformAdapter
from comfreyhitch.daemon.observers import make_blackboard_observer, make_validators
from comfreyhitch.documents.models import DocumentKind
from comfreyhitch.egress.caller_server import CALLER_CONNECTION_BYTES
from comfreyhitch.egress.state import Egress
from comfreyhitch.idempotency.claims import ClaimClient
from comfreyhitch.ingress.crashes import make_crash_reporter
from comfreyhitch.ingress.state import Ingress, apply_service_profile
from comfreyhitch.membership.detector import (
    FailureDetector,
    send_facts_datagram,
)
from comfreyhitch.membership.models import Member, MemberStatus
from comfreyhitch.membership.queries import group_reachable_peers, is_platform_reader
from comfreyhitch.membership.registration import Registration
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.replication.broadcast import Broadcaster, propagate_facts
from comfreyhitch.replication.facts import FactStore
from comfreyhitch.replication.sync import fetch_facts
from comfreyhitch.rollouts.evidence import EvidenceLog
from comfreyhitch.telemetry.metrics import Metrics
from comfreyhitch.usage.exchange import UsageService
from comfreyhitch.watching.follower import Follower
from comfreyhitch.wire.connections import PeerPool

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class Daemon:
    """Hold the parts of one daemon."""

    settings: Settings
    clock: Clock
    blackboard: Blackboard
    store: FactStore
    pool: PeerPool
    claims: ClaimClient
    ingress: Ingress
    egress: Egress
    evidence: EvidenceLog
    metrics: Metrics
    detector: FailureDetector
    broadcaster: Broadcaster
    adapter: PlatformAdapter
    connection_limits: ConnectionLimits
    # Reads the settings again; raises `SettingsError` if they are invalid.
    read_settings: Callable[[], Settings] | None = None
    platform: PlatformClient | None = None
    registration: Registration | None = None
    usage: UsageService | None = None
    followers_by_document_kind: dict[DocumentKind, Follower] = field(default_factory=dict)
    stop_requested: Event = field(default_factory=Event)
    servers: list[StreamServer | WSGIServer] = field(default_factory=list)
    greenlets: list[gevent.Greenlet] = field(default_factory=list)

    @classmethod
    def from_settings(
        cls, settings: Settings, clock: Clock, adapter: PlatformAdapter = DEFAULT_ADAPTER
    ) -> "Daemon":
        """Build a daemon from its settings; its servers and controllers are not started yet."""
        blackboard = Blackboard(clock=clock, own_member=make_own_member(settings, clock))
        blackboard.held_bytes = HeldBytes.from_memory(settings.memory_limit, clock)
        random = Random(blackboard.own_member.boot_id)
        metrics = Metrics.create()
        store = FactStore.from_clock(clock)
        decoders = {source.kind: source.decode for source in adapter.documents}
        store.validators_by_kind = make_validators(decoders)
        pool = PeerPool.from_address(
            blackboard.own_member.address, str(settings.host), clock, blackboard.held_bytes
        )
        claims = ClaimClient.from_retention(blackboard, pool, settings.key_retention)
        evidence = EvidenceLog.from_clock(clock)
        detector = FailureDetector(
            blackboard=blackboard,
            store=store,
            sock=_open_gossip_socket(settings),
            interval=settings.gossip_interval,
            random=random,
            metrics=metrics.control,
            fetch=lambda address, heads: fetch_facts(store, pool, address, heads),
        )
        broadcaster = Broadcaster.from_store(
            store,
            random,
            lambda address, facts, heads: send_facts_datagram(detector, address, facts, heads),
            lambda: group_reachable_peers(blackboard),
            lambda: is_platform_reader(blackboard),
        )
        detector.broadcaster = broadcaster
        report_crash = make_crash_reporter(blackboard, store)
        ingress = Ingress.from_settings(
            settings, blackboard, claims, evidence, metrics, report_crash, adapter.header_names
        )
        store.observers.append(
            make_blackboard_observer(
                blackboard, store, detector, decoders, lambda: apply_service_profile(ingress)
            )
        )
        store.propagate = lambda facts, is_from_peer: propagate_facts(
            broadcaster, facts, is_from_peer=is_from_peer
        )
        return cls(
            settings=settings,
            clock=clock,
            blackboard=blackboard,
            store=store,
            pool=pool,
            claims=claims,
            ingress=ingress,
            egress=Egress.from_settings(settings, blackboard, pool, metrics),
            evidence=evidence,
            metrics=metrics,
            detector=detector,
            broadcaster=broadcaster,
            adapter=adapter,
            connection_limits=ConnectionLimits.from_machine(
                settings.descriptor_limit, settings.memory_limit, CALLER_CONNECTION_BYTES
            ),
            platform=_make_platform_client(settings, metrics),
        )


def make_own_member(settings: Settings, clock: Clock) -> Member:
    """Return the record of a daemon that has just started."""
    started_at = clock.now().timestamp()
    return Member(
        address=settings.advertised_peer_address,
        http_address=settings.http_address,
        boot_id=secrets.token_hex(8),
        incarnation=int(started_at * 1000),
        status=MemberStatus.ALIVE,
        zone=settings.zone,
        region=settings.region,
        service="",
        version="",
        slots=settings.slots,
        draining=False,
        started_at=started_at,
    )


def _make_platform_client(settings: Settings, metrics: Metrics) -> PlatformClient | None:
    if settings.platform_url is None:
        return None

    def count_call(verb: str) -> None:
        metrics.control.platform_calls.inc({"verb": verb})

    return PlatformClient.from_url(settings.platform_url, count_call)


def _open_gossip_socket(settings: Settings) -> gevent.socket.socket:
    sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM)
    sock.bind((str(settings.host), settings.peer_port))
    return sock
