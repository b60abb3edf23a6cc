"""Relay TCP connections and datagrams to other addresses, and inject network faults."""

import argparse
import json
import socket
import struct
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import random

import gevent
import gevent.socket
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from comfreyhitch.testing.target import QuietHandler
from comfreyhitch.wire.sockets import configure_socket, connect, split_address

BLOCK_BYTES = 65_536
CONNECT_TIMEOUT_SECONDS = 2.0
ALL_SOURCES = "*"
BLACKHOLE_SECONDS = 30.0
BLOCK_POLL_SECONDS = 0.1

StartResponse = Callable[[str, list[tuple[str, str]]], object]


@dataclass(slots=True, eq=False)
class RelayedConnection:
    """Hold one relayed connection."""

    source: str
    # The caller's socket and the one to the target.
    sockets: tuple[gevent.socket.socket, ...] = ()
    # Whether all data in both directions is dropped from now on.
    is_silent: bool = False


@dataclass(slots=True)
class RelayState:
    """Hold the connections to one address, and the faults injected into them."""

    target: str
    blocked_sources: set[str] = field(default_factory=set)
    # Drops only what the target sends; data sent to the target still arrives.
    is_return_cut: bool = False
    delay_seconds: float = 0.0
    # Share of the datagrams that are dropped, 0 to 1.
    datagram_loss: float = 0.0
    connections: set[RelayedConnection] = field(default_factory=set)
    dropped_bytes: int = 0


def serve_connection(
    state: RelayState, sock: gevent.socket.socket, address: tuple[str, int]
) -> None:
    """Relay one connection until either end closes it."""
    connection = RelayedConnection(address[0])
    gevent.sleep(state.delay_seconds)
    if _is_blocked(state, connection):
        # A network partition drops packets, so neither end learns that the connection is dead.
        gevent.sleep(BLACKHOLE_SECONDS)
        sock.close()
        return
    host, port = split_address(state.target)
    try:
        outgoing_sock = connect(host, port, CONNECT_TIMEOUT_SECONDS)
    except OSError:
        sock.close()
        return
    configure_socket(sock)
    connection.sockets = (sock, outgoing_sock)
    state.connections.add(connection)
    forward = gevent.spawn(_copy, state, connection, sock, outgoing_sock)
    backward = gevent.spawn(_copy, state, connection, outgoing_sock, sock, is_return=True)
    gevent.joinall([forward, backward], count=1)
    while _is_blocked(state, connection):
        gevent.sleep(BLOCK_POLL_SECONDS)
    gevent.killall([forward, backward])
    state.connections.discard(connection)
    sock.close()
    outgoing_sock.close()


def _copy(
    state: RelayState,
    connection: RelayedConnection,
    source: gevent.socket.socket,
    sink: gevent.socket.socket,
    *,
    is_return: bool = False,
) -> None:
    while True:
        try:
            data = source.recv(BLOCK_BYTES)
            if not data:
                return
            if _is_blocked(state, connection) or (is_return and state.is_return_cut):
                state.dropped_bytes += len(data)
                connection.is_silent = True
                continue
            gevent.sleep(state.delay_seconds)
            sink.sendall(data)
        except OSError:
            return


def _is_blocked(state: RelayState, connection: RelayedConnection) -> bool:
    if connection.is_silent or ALL_SOURCES in state.blocked_sources:
        return True
    return connection.source in state.blocked_sources


def relay_datagrams(state: RelayState, sock: gevent.socket.socket) -> None:
    """Relay datagrams to the target; its replies go directly to the sender, not to the relay."""
    target = split_address(state.target)
    while True:
        data, address = sock.recvfrom(BLOCK_BYTES)
        is_lost = random() < state.datagram_loss
        if not is_lost and not _is_blocked(state, RelayedConnection(address[0])):
            sock.sendto(data, target)


def make_application(
    states: list[RelayState],
) -> Callable[[dict[str, object], StartResponse], Iterable[bytes]]:
    """Return the WSGI application that changes the faults of one relayed port or of all."""

    def application(environ: dict[str, object], start_response: StartResponse) -> Iterable[bytes]:
        if environ["REQUEST_METHOD"] == "POST":
            changes = json.loads(environ["wsgi.input"].read())
            for state in states:
                if changes.get("port") in (None, split_address(state.target)[1]):
                    _apply_changes(state, changes)
        start_response("200 OK", [("Content-Type", "application/json")])
        described = {
            "links": sum(len(state.connections) for state in states),
            "dropped_bytes": sum(state.dropped_bytes for state in states),
        }
        return [json.dumps(described).encode()]

    return application


def _apply_changes(state: RelayState, changes: dict[str, object]) -> None:
    if "blocked_sources" in changes:
        state.blocked_sources = set(changes["blocked_sources"])
    state.is_return_cut = changes.get("is_return_cut", state.is_return_cut)
    state.delay_seconds = changes.get("delay_seconds", state.delay_seconds)
    state.datagram_loss = changes.get("datagram_loss", state.datagram_loss)
    if changes.get("silence"):
        for connection in state.connections:
            connection.is_silent = True
    if changes.get("reset"):
        for connection in list(state.connections):
            _reset_connection(connection)


def _reset_connection(connection: RelayedConnection) -> None:
    for sock in connection.sockets:
        # With a linger time of 0, close() sends a reset.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()


def _start_relay(host: str, state: RelayState) -> None:
    port = split_address(state.target)[1]
    datagrams = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM)
    datagrams.bind((host, port))
    gevent.spawn(relay_datagrams, state, datagrams)
    StreamServer((host, port), lambda sock, address: serve_connection(state, sock, address)).start()


def main() -> int:
    """Run the relay until the process is terminated."""
    parser = argparse.ArgumentParser(
        description="Relay traffic to other processes and inject network faults"
    )
    parser.add_argument("--host", required=True)
    parser.add_argument(
        "--target",
        required=True,
        action="append",
        help="address to relay to; the relay listens on the same port; repeatable",
    )
    parser.add_argument("--admin-port", type=int, required=True)
    arguments = parser.parse_args()
    states = [RelayState(target) for target in arguments.target]
    for state in states:
        _start_relay(arguments.host, state)
    WSGIServer(
        (arguments.host, arguments.admin_port),
        make_application(states),
        handler_class=QuietHandler,
        log=None,
    ).serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
