"""Server for the thrift calls of peers, with one greenlet per connection."""

import logging
import socket
from collections.abc import Callable

import gevent.socket
from gevent.server import StreamServer
from thrift.Thrift import TException
from thrift.transport.TTransport import TTransportException

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.held_bytes import GiveWayError, HeldBytes
from comfreyhitch.wire.frames import make_frame_protocol
from comfreyhitch.wire.generated import Peer
from comfreyhitch.wire.open_connections import (
    OpenConnections,
    add_connection,
    mark_busy,
    mark_quiet,
    remove_connection,
)
from comfreyhitch.wire.pacing import PacedTransport, SendFrame
from comfreyhitch.wire.read_loops import ReadSource
from comfreyhitch.wire.sockets import configure_socket, end_stream
from comfreyhitch.wire.transports import PeerTransport

logger = logging.getLogger(__name__)

HandlerFactory = Callable[[PeerTransport], Peer.Iface]
# How long a peer may take to read an answer that came before its whole request was read.
END_OF_STREAM_SECONDS = 1.0
# Bytes that the kernel receives for a connection before they are read. It allots twice as many.
RECEIVE_BUFFER_BYTES = 128 * 1024


class PeerServer(StreamServer):
    """Accept connections of peers, and bound what the kernel receives for each of them."""

    def init_socket(self) -> None:
        """Listen with a bounded receive buffer."""
        super().init_socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)


def make_peer_server(
    host: str,
    port: int,
    make_handler: HandlerFactory,
    clock: Clock,
    send: SendFrame | None = None,
    held: HeldBytes | None = None,
    max_connections: int | None = None,
) -> StreamServer:
    """Return a server that creates a handler for each connection.

    Answers with responses of targets are written with `send`, or at once if there is none. The
    bytes of large messages are counted in `held`.
    """
    connections = OpenConnections(ReadSource.PEER.value, max_connections)

    def serve(sock: gevent.socket.socket, peer_address: tuple[str, int]) -> None:
        if not add_connection(connections, sock):
            sock.close()
            return
        try:
            serve_messages(sock, peer_address)
        finally:
            remove_connection(connections, sock)
            sock.close()

    def serve_messages(sock: gevent.socket.socket, peer_address: tuple[str, int]) -> None:
        configure_socket(sock)
        if send is None:
            transport = PeerTransport(sock, clock, held)
        else:
            transport = PacedTransport(sock, clock, send, held)
        protocol = make_frame_protocol(transport)
        processor = Peer.Processor(make_handler(transport))

        def begin_message(*message: object) -> None:
            mark_busy(connections, sock)
            if isinstance(transport, PacedTransport):
                transport.begin_message(*message)

        processor.on_message_begin(begin_message)
        try:
            while not transport.is_ending:
                processor.process(protocol, protocol)
                mark_quiet(connections, sock)
            end_stream(sock, END_OF_STREAM_SECONDS)
        except (TTransportException, EOFError, OSError, GiveWayError):
            pass
        except (TException, ValueError, TypeError, MemoryError) as error:
            logger.warning(
                "peer sent a frame that can't be decoded",
                extra={"peer": f"{peer_address[0]}:{peer_address[1]}", "error": repr(error)},
            )

    return PeerServer((host, port), serve, backlog=512)
