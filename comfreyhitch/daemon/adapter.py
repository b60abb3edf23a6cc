"""What differs between the product's own interface and that of a platform."""

from collections.abc import Callable
from dataclasses import dataclass

from gevent.pywsgi import WSGIServer

from comfreyhitch.core.target_headers import DEFAULT_TARGET_HEADERS, TargetHeaderNames
from comfreyhitch.documents.models import DocumentSource
from comfreyhitch.egress.interface import CallerInterface, make_default_interface
from comfreyhitch.egress.state import Egress


@dataclass(frozen=True, slots=True)
class PlatformAdapter:
    """Hold the names, formats and servers of one way to talk to the outside.

    `make_servers` returns further servers for a daemon, which is passed to it.
    """

    header_names: TargetHeaderNames
    make_caller_interface: Callable[[Egress], CallerInterface]
    documents: tuple[DocumentSource, ...] = ()
    make_servers: Callable[[object], list[WSGIServer]] = lambda daemon: []


DEFAULT_ADAPTER = PlatformAdapter(
    header_names=DEFAULT_TARGET_HEADERS, make_caller_interface=make_default_interface
)
