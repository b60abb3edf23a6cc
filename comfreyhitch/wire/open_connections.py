"""Limit the connections of a server: those that have been quiet for longest make room for new ones.

Handles crowds of clients that open connections and send nothing, or half a request.
"""

import logging
import socket
from collections import OrderedDict
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import gevent.socket

from comfreyhitch.wire.sockets import is_open_and_empty

logger = logging.getLogger(__name__)


@dataclass(slots=True)
class OpenConnections:
    """Hold the connections of one server; a limit of None allows any number.

    Those that wait for a request, or for the rest of its head, are quiet. They are in the order in
    which they became so.
    """

    server: str
    limit: int | None = None
    quiet: OrderedDict[gevent.socket.socket, None] = field(default_factory=OrderedDict)
    busy: set[gevent.socket.socket] = field(default_factory=set)
    # Called with each connection that is closed for others.
    on_close: Callable[[gevent.socket.socket], None] = lambda sock: None
    # Called when a connection is refused, since all others are busy.
    on_refuse: Callable[[], None] = lambda: None


def add_connection(connections: OpenConnections, sock: gevent.socket.socket) -> bool:
    """Add a connection that was accepted, and return whether there is room for it."""
    is_full = connections.limit is not None and (
        len(connections.quiet) + len(connections.busy) >= connections.limit
    )
    if is_full and not _close_quietest(connections):
        connections.on_refuse()
        return False
    connections.quiet[sock] = None
    return True


def remove_connection(connections: OpenConnections, sock: gevent.socket.socket) -> None:
    """Remove a connection that has ended."""
    connections.quiet.pop(sock, None)
    connections.busy.discard(sock)


def mark_busy(connections: OpenConnections, sock: gevent.socket.socket) -> None:
    """Record that a request has arrived on a connection, which is not closed for others now."""
    if sock in connections.quiet:
        del connections.quiet[sock]
        connections.busy.add(sock)


def mark_quiet(connections: OpenConnections, sock: gevent.socket.socket) -> None:
    """Record that a request on a connection was answered, and that it waits for the next one."""
    if sock in connections.busy:
        connections.busy.remove(sock)
        connections.quiet[sock] = None
    elif sock in connections.quiet:
        connections.quiet.move_to_end(sock)


def _close_quietest(connections: OpenConnections) -> bool:
    """Close the connection that has been quiet for longest, and return whether there is one."""
    for sock in connections.quiet:
        # A request that has arrived is still served.
        if is_open_and_empty(sock):
            break
    else:
        return False
    del connections.quiet[sock]
    connections.on_close(sock)
    # Ends the reads of its handler, which closes it.
    with suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    return True
