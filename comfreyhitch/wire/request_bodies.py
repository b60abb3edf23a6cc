"""Serve HTTP, and bound what is read of a request's body while other greenlets run."""

from collections.abc import Callable
from typing import BinaryIO

import gevent
import gevent.socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from comfreyhitch.wire.open_connections import (
    OpenConnections,
    add_connection,
    mark_quiet,
    remove_connection,
)
from comfreyhitch.wire.read_loops import ReadLoop, ReadSource, record_bytes

# Bytes around the chunks of a body, and in its trailers.
MAX_FRAMING_BYTES = 65_536
# A chunk of one byte comes with five bytes around it.
MAX_FRAMING_PER_BODY_BYTE = 8
DISCARD_BYTES = 16_384
# How long the rest of a request is discarded after its response, so that the other end can read the
# response. Then the connection is closed.
MAX_DISCARD_SECONDS = 2.0


class BodyOutOfBoundsError(OSError):
    """Signal that a body has too much around its chunks, or does not end in time."""


class BodyReader:
    """Read the bytes of one request's body from the file of its connection."""

    def __init__(self, file: BinaryIO, max_bytes: int, loop: ReadLoop) -> None:
        self._file = file
        self._remaining_bytes = max_bytes
        self._loop = loop
        # Called with the number of bytes after each read.
        self.on_read: Callable[[int], None] = lambda size: None
        # Why the body was not read to its end, or an empty string.
        self.failure = ""

    def read(self, size: int) -> bytes:
        """Return up to `size` bytes; raise `BodyOutOfBoundsError` beyond the bounds."""
        self._check()
        data = self._file.read(size)
        self._count(len(data))
        return data

    def readline(self, size: int) -> bytes:
        """Return the next line; raise `BodyOutOfBoundsError` beyond the bounds."""
        self._check()
        line = self._file.readline(size)
        self._count(len(line))
        return line

    def _check(self) -> None:
        # After a failure no byte is awaited any more.
        if self.failure:
            raise BodyOutOfBoundsError(self.failure)

    def _count(self, size: int) -> None:
        self._remaining_bytes -= size
        if self._remaining_bytes < 0:
            self.failure = "request has too many bytes around its chunks"
        self._check()
        self.on_read(size)
        record_bytes(self._loop, size)


class BoundedServer(WSGIServer):
    """Serve HTTP, and close connections whose requests have bodies that are out of bounds."""

    # What its requests are, in messages about loops that read them.
    read_source = ReadSource.CONTROL

    def __init__(self, *arguments: object, **options: object) -> None:
        options.setdefault("handler_class", BoundedBodyHandler)
        super().__init__(*arguments, **options)
        # Returns the most bytes of a body that the application reads.
        self.get_body_limit: Callable[[], int] = lambda: 0
        # Called with the reason when a body was not read to its end.
        self.record_cut_off: Callable[[str], None] = lambda reason: None
        self.open_connections = OpenConnections(self.read_source.value)

    def do_handle(self, sock: gevent.socket.socket, address: tuple[str, int]) -> None:
        """Serve a connection, or close it if there is no room for it."""
        if not add_connection(self.open_connections, sock):
            self.refuse(sock)
            sock.close()
            return
        self.register(sock, address)
        super().do_handle(sock, address)

    def register(self, sock: gevent.socket.socket, address: tuple[str, int]) -> None:
        """Prepare for a connection that was accepted, before its handler has started."""

    def refuse(self, sock: gevent.socket.socket) -> None:
        """Tell a client that there is no room for its connection, if it is told anything."""

    def handle(self, sock: gevent.socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection until it ends."""
        try:
            super().handle(sock, address)
        finally:
            remove_connection(self.open_connections, sock)


class BoundedBodyHandler(WSGIHandler):
    """Handle the requests on one connection of a `BoundedServer`."""

    def get_environ(self) -> dict[str, object]:
        """Return the WSGI environ, with an input that is read within bounds."""
        environ = super().get_environ()
        body_bytes = max(self.server.get_body_limit(), self.content_length or 0)
        host, port = self.client_address[:2]
        self.body_reader = BodyReader(
            self.rfile,
            MAX_FRAMING_BYTES + MAX_FRAMING_PER_BODY_BYTE * body_bytes,
            ReadLoop(self.server.read_source, f"{host}:{port}"),
        )
        self.wsgi_input.rfile = self.body_reader
        return environ

    def run_application(self) -> None:
        """Run the application, then discard the rest of the body."""
        super().run_application()
        if not self.body_reader.failure and self._has_unread_body():
            self._discard_body()

    def handle_one_response(self) -> None:
        """Send one response, and close the connection if the body was not read to its end."""
        super().handle_one_response()
        mark_quiet(self.server.open_connections, self.socket)
        if self.body_reader.failure:
            self.close_connection = True
            self.server.record_cut_off(self.body_reader.failure)

    def _has_unread_body(self) -> bool:
        body = self.wsgi_input
        if body.chunked_input:
            return body.chunk_length != 0
        return body.position < (body.content_length or 0)

    def _discard_body(self) -> None:
        body = self.wsgi_input
        body.send_100_continue_enabled = False
        try:
            with gevent.Timeout(MAX_DISCARD_SECONDS, BodyOutOfBoundsError("body does not end")):
                while body.read(DISCARD_BYTES):
                    pass
        except OSError as error:
            self.body_reader.failure = self.body_reader.failure or str(error)
        # Has the library discard nothing more.
        body.chunked_input = False
        body.content_length = None
