"""Readiness of a daemon for the requests of callers."""

from comfreyhitch.daemon.assembly import Daemon


def is_ready(daemon: Daemon) -> bool:
    """Return whether requests that arrive now can be routed."""
    blackboard = daemon.blackboard
    if blackboard.is_draining or blackboard.is_stale:
        return False
    if daemon.adapter.documents:
        return blackboard.route_table is not None
    return not daemon.claims.is_recovering
