"""Start the servers and controllers of a daemon."""

import logging

import gevent

from comfreyhitch.daemon.admin import Announcement, make_admin_server
from comfreyhitch.daemon.announcements import take_announcement
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.controllers import start_controllers
from comfreyhitch.daemon.peer_handler import PeerServices, make_handler_factory
from comfreyhitch.egress.frontend import make_frontend
from comfreyhitch.membership.detector import publish_own, receive_datagrams
from comfreyhitch.wire.server import make_peer_server

logger = logging.getLogger(__name__)


def start(daemon: Daemon) -> None:
    """Listen, announce the daemon, and start its controllers."""
    settings = daemon.settings
    services = PeerServices(daemon.blackboard, daemon.ingress, daemon.claims, daemon.store)
    daemon.servers = [
        make_peer_server(str(settings.host), settings.peer_port, make_handler_factory(services)),
        make_frontend(daemon.egress),
        make_admin_server(
            settings,
            daemon.blackboard,
            daemon.ingress,
            daemon.store,
            daemon.metrics,
            lambda announcement: take_announcement(daemon, announcement),
        ),
    ]
    for server in daemon.servers:
        server.start()
    publish_own(daemon.detector)
    if settings.service is not None:
        take_announcement(
            daemon,
            Announcement(
                service=settings.service,
                version=settings.service_version,
                port=settings.target_port,
                slots=settings.slots,
            ),
        )
    daemon.greenlets.append(gevent.spawn(receive_datagrams, daemon.detector))
    daemon.metrics.control.probe_budget.set({}, daemon.egress.probe_budget.rate)
    start_controllers(daemon)
    logger.info("daemon started", extra={"address": daemon.blackboard.own.address})
