"""Server for the thrift calls of peers, with one greenlet per connection."""

import logging
from collections.abc import Callable

import gevent.socket
from gevent.server import StreamServer
from thrift.Thrift import TException
from thrift.transport.TTransport import TTransportException

from comfreyhitch.core.clock import Clock
from comfreyhitch.wire.frames import make_frame_protocol
from comfreyhitch.wire.generated import Peer
from comfreyhitch.wire.pacing import PacedTransport, SendFrame
from comfreyhitch.wire.sockets import configure_socket
from comfreyhitch.wire.transports import PeerTransport

logger = logging.getLogger(__name__)

HandlerFactory = Callable[[gevent.socket.socket], Peer.Iface]


def make_peer_server(
    host: str,
    port: int,
    make_handler: HandlerFactory,
    clock: Clock,
    send: SendFrame | None = None,
) -> StreamServer:
    """Return a server that creates a handler for each connection.

    Answers with responses of targets are written with `send`, or at once if there is none.
    """

    def serve(sock: gevent.socket.socket, peer_address: tuple[str, int]) -> None:
        configure_socket(sock)
        if send is None:
            transport = PeerTransport(sock, clock)
        else:
            transport = PacedTransport(sock, clock, send)
        protocol = make_frame_protocol(transport)
        processor = Peer.Processor(make_handler(sock))
        if isinstance(transport, PacedTransport):
            processor.on_message_begin(transport.begin_message)
        try:
            while True:
                processor.process(protocol, protocol)
        except (TTransportException, EOFError, OSError):
            pass
        except (TException, ValueError, TypeError, MemoryError) as error:
            logger.warning(
                "peer sent a frame that can't be decoded",
                extra={"peer": f"{peer_address[0]}:{peer_address[1]}", "error": repr(error)},
            )
        finally:
            sock.close()

    return StreamServer((host, port), serve, backlog=512)
