"""Take in what a target says of itself."""

import logging

from comfreyhitch.daemon.admin import Announcement
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.ingress.state import attach_target
from comfreyhitch.membership.detector import publish_own

logger = logging.getLogger(__name__)


def take_announcement(daemon: Daemon, announcement: Announcement) -> None:
    """Take in what the target says of itself, and tell the other daemons."""
    own = daemon.blackboard.own
    ingress = daemon.ingress
    connections = ingress.connections
    is_same = connections is not None and (
        connections.port == announcement.port
        and own.service == announcement.service
        and own.version == announcement.version
        and ingress.target_incarnation == announcement.incarnation
    )
    if not is_same:
        attach_target(ingress, str(daemon.settings.host), announcement.port, announcement.slots)
    ingress.target_incarnation = announcement.incarnation
    ingress.queue.limit.slots = announcement.slots
    is_changed = not is_same or own.slots != announcement.slots
    if is_changed or own.draining != announcement.draining:
        logger.info(
            "target announced itself",
            extra={
                "service": announcement.service,
                "version": announcement.version,
                "draining": announcement.draining,
            },
        )
        publish_own(
            daemon.detector,
            service=announcement.service,
            version=announcement.version,
            slots=announcement.slots,
            draining=announcement.draining,
        )
