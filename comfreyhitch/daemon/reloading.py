"""Reload settings while the daemon runs."""

import logging
from dataclasses import fields, replace

from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.conf.models import Settings
from comfreyhitch.daemon.assembly import Daemon

logger = logging.getLogger(__name__)

# These settings can't change while the daemon runs, since for example sockets are bound with
# them, or other daemons identify this one by them.
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
        "usage_address",
        "node_name",
        "usage_window",
        "usage_lease",
        "usage_report_limit",
        "usage_call_rate",
        "log_level",
        "link_bandwidth",
        "limit_rule",
        "overload_control",
        "memory_limit",
        "descriptor_limit",
    }
)


def reload_settings(daemon: Daemon) -> None:
    """Read the settings again, and apply those that can change; keep the old ones on an error."""
    if daemon.read_settings is None:
        logger.info("ignoring the reload signal: settings in the environment can't change")
        return
    try:
        wanted = daemon.read_settings()
    except SettingsError as error:
        logger.error("new settings are invalid; keeping the old ones", extra={"error": str(error)})
        return
    changed = find_changed_settings(daemon.settings, wanted)
    deferred = sorted(changed & RESTART_ONLY_SETTINGS)
    applied = sorted(changed - RESTART_ONLY_SETTINGS)
    logger.info("settings reloaded", extra={"applied": applied, "at_next_start": deferred})
    values = {name: getattr(wanted, name) for name in applied}
    current = replace(daemon.settings, **values)
    for holder in (daemon, daemon.egress, daemon.ingress):
        holder.settings = current
    daemon.ingress.target_probe_budget.rate = current.target_probe_rate


def find_changed_settings(current: Settings, wanted: Settings) -> set[str]:
    """Return the names of the settings that differ."""
    names = [item.name for item in fields(Settings)]
    return {name for name in names if getattr(current, name) != getattr(wanted, name)}
