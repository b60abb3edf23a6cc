"""Start the servers and controllers of a daemon."""

import logging

import gevent

from comfreyhitch.daemon.admin import Announcement, make_admin_server
from comfreyhitch.daemon.announcements import (
    handle_announcement,
    handle_confirmed_heartbeat,
    handle_leaving,
)
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.controllers import start_controllers
from comfreyhitch.daemon.peer_handler import PeerServices, make_handler_factory
from comfreyhitch.daemon.usage import make_usage_service, make_usage_status, start_usage
from comfreyhitch.egress.frontend import make_caller_server
from comfreyhitch.ingress.lifecycle import Heartbeat
from comfreyhitch.ingress.state import apply_service_profile, attach_target
from comfreyhitch.membership.detector import publish_own_record, receive_datagrams
from comfreyhitch.wire.pacing import (
    SendFrame,
    make_counted_send,
    make_paced_send,
    send_at_once,
)
from comfreyhitch.wire.request_bodies import BoundedServer
from comfreyhitch.wire.server import make_peer_server

logger = logging.getLogger(__name__)


def start(daemon: Daemon) -> None:
    """Start the servers, publish the daemon's member record, and start its controllers."""
    settings = daemon.settings
    daemon.usage = make_usage_service(daemon)
    services = PeerServices(
        daemon.blackboard, daemon.ingress, daemon.claims, daemon.store, daemon.usage
    )
    daemon.servers = [
        make_peer_server(
            str(settings.host),
            settings.peer_port,
            make_handler_factory(services),
            daemon.clock,
            _make_send(daemon),
            daemon.blackboard.held_bytes,
            daemon.connection_limits.peers,
        ),
        make_caller_server(
            daemon.egress,
            daemon.adapter.make_caller_interface(daemon.egress),
            daemon.connection_limits.callers,
        ),
        make_admin_server(
            settings,
            daemon.blackboard,
            daemon.ingress,
            daemon.store,
            daemon.metrics,
            lambda announcement: _handle_own_announcement(daemon, announcement),
            lambda: None if daemon.usage is None else make_usage_status(daemon.usage),
        ),
        *daemon.adapter.make_servers(daemon),
    ]
    _limit_control_connections(daemon)
    for server in daemon.servers:
        server.start()
    publish_own_record(daemon.detector)
    daemon.ingress.on_leaving = lambda: handle_leaving(daemon)
    daemon.ingress.on_confirmed = lambda heartbeat: handle_confirmed_heartbeat(daemon, heartbeat)
    _attach_configured_target(daemon)
    daemon.greenlets.append(gevent.spawn(receive_datagrams, daemon.detector))
    daemon.metrics.control.probe_budget.set({}, daemon.egress.probe_budget.rate)
    start_controllers(daemon)
    if daemon.usage is not None:
        start_usage(daemon, daemon.usage)
    logger.info("daemon started", extra={"address": daemon.blackboard.own_member.address})


def _limit_control_connections(daemon: Daemon) -> None:
    for server in daemon.servers:
        if isinstance(server, BoundedServer) and server.open_connections.limit is None:
            server.open_connections.limit = daemon.connection_limits.control


def _make_send(daemon: Daemon) -> SendFrame | None:
    """Return the function that writes frames to other daemons, None to write them at once."""
    link = daemon.ingress.link
    held = daemon.blackboard.held_bytes
    send = None if link is None else make_paced_send(link, daemon.clock)
    return send if held.limit is None else make_counted_send(held, send or send_at_once)


def _attach_configured_target(daemon: Daemon) -> None:
    settings = daemon.settings
    if settings.service is None:
        return
    if settings.service_version is not None:
        announcement = Announcement(
            service=settings.service,
            version=settings.service_version,
            port=settings.target_port,
            slots=settings.slots,
        )
        _handle_own_announcement(daemon, announcement)
        return
    # The target is known, but only its heartbeat or health path shows whether it can serve
    # requests.
    attach_target(
        daemon.ingress, settings.target_address_host, settings.target_port, settings.slots
    )
    publish_own_record(daemon.detector, service=settings.service)
    # The configuration may have arrived from a peer before the service was known.
    apply_service_profile(daemon.ingress)


def _handle_own_announcement(daemon: Daemon, announcement: Announcement) -> None:
    heartbeat = Heartbeat(
        instance_id=f"{announcement.incarnation}/{announcement.version}/{announcement.port}",
        service=announcement.service,
        version=announcement.version,
        slots=announcement.slots,
        is_draining=announcement.draining,
        # Announcements carry no sequence number, but arrive in order on one instance.
        sequence=daemon.ingress.lifecycle.sequence + 1,
    )
    handle_announcement(daemon, heartbeat, daemon.settings.target_address_host, announcement.port)
