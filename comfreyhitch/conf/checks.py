"""System checks of settings that depend on one another."""

import socket

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.checks import CheckError, register


@register
def check_ports_differ(settings: Settings) -> list[CheckError]:
    """Check that each port is used once."""
    ports = [settings.http_port, settings.peer_port, settings.admin_port]
    if settings.target_port is not None:
        ports.append(settings.target_port)
    if len(set(ports)) == len(ports):
        return []
    return [
        CheckError(
            "COMFREYHITCH_HTTP_PORT, _PEER_PORT, _ADMIN_PORT, _TARGET_PORT",
            f"two of {ports} are the same",
            "use a different port for each",
        )
    ]


@register
def check_target_is_complete(settings: Settings) -> list[CheckError]:
    """Check that settings which describe a target include its service, version and port."""
    parts = {
        "COMFREYHITCH_SERVICE": settings.service,
        "COMFREYHITCH_SERVICE_VERSION": settings.service_version,
        "COMFREYHITCH_TARGET_PORT": settings.target_port,
    }
    missing = [name for name, value in parts.items() if value is None]
    # A target that sends heartbeats reports its version in them.
    is_version_reported = missing == ["COMFREYHITCH_SERVICE_VERSION"]
    if len(missing) in (0, len(parts)) or is_version_reported:
        return []
    return [
        CheckError(
            ", ".join(missing),
            "missing although other settings of the target are given",
            "set all of service, service-version and target-port, or none of them",
        )
    ]


@register
def check_peers_exclude_self(settings: Settings) -> list[CheckError]:
    """Check that a daemon is not one of its own initial peers."""
    if settings.peer_address not in settings.peers:
        return []
    return [
        CheckError(
            "COMFREYHITCH_PEERS",
            f"contains this daemon's own address {settings.peer_address}",
            "remove it",
        )
    ]


@register
def check_fence_before_deadline(settings: Settings) -> list[CheckError]:
    """Check that a request without an answer is fenced before its deadline."""
    if settings.fence_after < settings.default_timeout:
        return []
    return [
        CheckError(
            "COMFREYHITCH_FENCE_AFTER",
            "not shorter than COMFREYHITCH_DEFAULT_TIMEOUT",
            "shorten it, so that a silent connection is detected before the deadline",
        )
    ]


@register
def check_platform_url(settings: Settings) -> list[CheckError]:
    """Check the form of the platform's URL."""
    url = settings.platform_url
    if url is None or url.startswith("http://"):
        return []
    return [CheckError("COMFREYHITCH_PLATFORM_URL", f"{url!r} is not an http:// URL", "correct it")]


@register
def check_usage_reports(settings: Settings) -> list[CheckError]:
    """Check that usage reports name their sender and have a store to agree on it."""
    if settings.usage_address is None:
        return []
    missing = {
        "COMFREYHITCH_NODE_NAME": not settings.node_name.isascii() or not settings.node_name,
        "COMFREYHITCH_PLATFORM_URL": settings.platform_url is None,
    }
    return [
        CheckError(name, "missing although COMFREYHITCH_USAGE_ADDRESS is given", "set it")
        for name, is_missing in missing.items()
        if is_missing
    ]


@register
def check_ports_free(settings: Settings) -> list[CheckError]:
    """Check that the daemon's ports are free."""
    errors = []
    for name in ("http_port", "peer_port", "admin_port"):
        port = getattr(settings, name)
        if not _is_port_free(str(settings.host), port):
            errors.append(
                CheckError(
                    f"COMFREYHITCH_{name.upper()}",
                    f"can't listen on {settings.host}:{port}",
                    "choose a free port, and an address of this instance as the host",
                )
            )
    return errors


def _is_port_free(host: str, port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True
