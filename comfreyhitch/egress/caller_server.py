"""HTTP server for callers: connections, their limit and their end at a stop."""

import socket
from collections.abc import Callable
from contextlib import suppress

import gevent.socket

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.headers import HEADER_VERDICT
from comfreyhitch.core.held_bytes import HeldBytes
from comfreyhitch.core.verdicts import Verdict
from comfreyhitch.egress.caller_connections import (
    CallerConnection,
    CallerConnections,
    ConnectionPhase,
    EndReason,
    add_connection,
    has_no_further_request,
)
from comfreyhitch.routing.models import CallerLimits
from comfreyhitch.wire.read_loops import ReadSource
from comfreyhitch.wire.request_bodies import BoundedServer
from comfreyhitch.wire.sockets import is_open_and_empty

# Bytes that the kernel receives for a connection before they are read. It allots twice as many.
RECEIVE_BUFFER_BYTES = 32 * 1024
CALLER_CONNECTION_BYTES = 2 * RECEIVE_BUFFER_BYTES
NO_ROOM_RESPONSE = (
    "HTTP/1.1 503 Service Unavailable\r\n"
    f"{HEADER_VERDICT}: {Verdict.NOT_RUN.header_value}\r\n"
    "Retry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
).encode()


class CallerServer(BoundedServer):
    """Serve callers, and track what their connections do."""

    read_source = ReadSource.CALLER

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        self.connections = CallerConnections(Clock.from_system())
        self.held_bytes = HeldBytes()
        self.get_limits: Callable[[], CallerLimits | None] = lambda: None
        self.open_connections.on_close = self._record_closed
        # Called with the reason when a request could not be read.
        self.record_unread: Callable[[str], None] = lambda reason: None
        # Called before a connection is closed, and told whether it holds unread bytes.
        self.record_end: Callable[[CallerConnection, bool], None] = lambda connection, unread: None

    def init_socket(self) -> None:
        """Listen, and bound what the kernel receives for each connection."""
        super().init_socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def register(self, sock: gevent.socket.socket, address: tuple[str, int]) -> None:
        """Count a connection as soon as it is accepted, before its handler has started."""
        connection = add_connection(self.connections, sock)
        host, port = address[:2]
        connection.peer = f"{host}:{port}"

    def refuse(self, sock: gevent.socket.socket) -> None:
        """Tell a caller that its request has not run."""
        with suppress(OSError):
            sock._sock.send(NO_ROOM_RESPONSE, socket.MSG_DONTWAIT)

    def _record_closed(self, sock: gevent.socket.socket) -> None:
        connection = self.connections.by_socket.get(sock)
        if connection is not None:
            connection.end_reason = EndReason.CONNECTION_LIMIT

    def handle(self, sock: gevent.socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection until it ends."""
        try:
            super().handle(sock, address)
        finally:
            connection = self.connections.by_socket.pop(sock, None)
            if connection is not None:
                # The handler and its connection would keep each other until they are collected.
                connection.has_further_request = has_no_further_request

    def close_listener(self) -> None:
        """Accept the connections that callers have opened already, and no others."""
        with suppress(OSError):
            while (accepted := self.do_read()) is not None:
                self.do_handle(*accepted)
        self.close()

    def close_quiet_connections(self, min_quiet_seconds: float = 0.0) -> None:
        """Close the connections on which nothing has arrived for some time."""
        now = self.connections.clock.monotonic()
        for connection in self.connections.list_in_phase(ConnectionPhase.WAITING):
            # A connection with unread data stays open, so that its request is still served.
            is_quiet = now - connection.phase_since >= min_quiet_seconds
            if not is_quiet or not is_open_and_empty(connection.sock):
                continue
            connection.end_reason = EndReason.STOPPING
            with suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)
