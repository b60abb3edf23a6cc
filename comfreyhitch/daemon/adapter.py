"""Adapters between a daemon and the platform that it runs on."""

from collections.abc import Callable
from dataclasses import dataclass

from gevent.pywsgi import WSGIServer

from comfreyhitch.core.target_headers import DEFAULT_TARGET_HEADERS, TargetHeaderNames
from comfreyhitch.documents.models import DocumentSource
from comfreyhitch.egress.interface import CallerInterface, make_default_interface
from comfreyhitch.egress.state import Egress


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Hold the header names, document formats and servers that a platform requires.

    `make_servers` is called with the daemon, and returns the servers that it runs in addition.
    """

    header_names: TargetHeaderNames
    make_caller_interface: Callable[[Egress], CallerInterface]
    documents: tuple[DocumentSource, ...] = ()
    make_servers: Callable[[object], list[WSGIServer]] = lambda daemon: []


# Used where no platform prescribes the interface to callers and targets.
DEFAULT_ADAPTER = PlatformAdapter(
    header_names=DEFAULT_TARGET_HEADERS, make_caller_interface=make_default_interface
)
