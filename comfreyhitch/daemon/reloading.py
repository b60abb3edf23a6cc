"""Follow settings that change while the daemon runs."""

import logging
from dataclasses import fields, replace

from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.conf.models import Settings
from comfreyhitch.daemon.assembly import Daemon

logger = logging.getLogger(__name__)

# What a socket is bound to, or other daemons know this one by, waits for a start.
RESTART_ONLY_SETTINGS = frozenset(
    {
        "host",
        "http_port",
        "peer_port",
        "admin_port",
        "advertised_address",
        "zone",
        "region",
        "service",
        "target_host",
        "target_port",
        "platform_url",
        "registration",
        "log_level",
    }
)


def reload_settings(daemon: Daemon) -> None:
    """Read the settings again, and bring into force what can change; keep the old if wrong."""
    if daemon.read_settings is None:
        logger.info("reload was asked for, but settings in the environment do not change")
        return
    try:
        wanted = daemon.read_settings()
    except SettingsError as error:
        logger.error("settings refused; the old ones stay in force", extra={"error": str(error)})
        return
    changed = find_changed_settings(daemon.settings, wanted)
    waiting = sorted(changed & RESTART_ONLY_SETTINGS)
    applied = sorted(changed - RESTART_ONLY_SETTINGS)
    logger.info("settings reloaded", extra={"applied": applied, "at_next_start": waiting})
    values = {name: getattr(wanted, name) for name in applied}
    current = replace(daemon.settings, **values)
    for holder in (daemon, daemon.egress, daemon.ingress):
        holder.settings = current
    daemon.ingress.target_probe_budget.rate = current.target_probe_rate


def find_changed_settings(current: Settings, wanted: Settings) -> set[str]:
    """Return the names of the settings that differ."""
    names = [item.name for item in fields(Settings)]
    return {name for name in names if getattr(current, name) != getattr(wanted, name)}
