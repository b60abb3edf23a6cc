"""HTTP connections of callers: what may be sent on them, and when they end."""

import socket
import time
from collections.abc import Callable
from contextlib import suppress

import gevent
import gevent.socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from comfreyhitch.core.headers import HEADER_VERDICT
from comfreyhitch.core.verdicts import Verdict
from comfreyhitch.routing.models import CallerLimits
from comfreyhitch.wire.sockets import configure_socket, is_open_and_empty

HEADERS_ENVIRON_KEY = "comfreyhitch.headers"
SOCKET_ENVIRON_KEY = "comfreyhitch.socket"
PATH_ENVIRON_KEY = "comfreyhitch.path"


class RequestHeadError(ValueError):
    """Report that the head of a request is not read to its end."""

    status = "400 Bad Request"


class HeadTooLargeError(RequestHeadError):
    """Report a head that exceeds the limit on its bytes."""

    status = "431 Request Header Fields Too Large"


class HeadTooSlowError(RequestHeadError):
    """Report a head that did not arrive in the time for it."""

    status = "408 Request Timeout"


class CallerServer(WSGIServer):
    """Serve callers, and know which of their connections wait for a request."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        self.idle_sockets: set[gevent.socket.socket] = set()
        self.closed_sockets: set[gevent.socket.socket] = set()
        self.get_limits: Callable[[], CallerLimits | None] = lambda: None
        # Takes the reason for which a request was not read.
        self.record_unread: Callable[[str], None] = lambda reason: None

    def stop_reading(self) -> None:
        """Accept no connection and read no request any more; answer those that were read."""
        self.close()
        for sock in list(self.idle_sockets):
            # A request that has arrived but was not read yet is still served.
            if not is_open_and_empty(sock):
                continue
            self.closed_sockets.add(sock)
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class BoundedHeadReader:
    """Read lines until a number of bytes is used up."""

    def __init__(self, file: object, limit_bytes: int) -> None:
        self._file = file
        self._remaining_bytes = limit_bytes

    def readline(self, size: int) -> bytes:
        """Return the next line; raise `HeadTooLargeError` beyond the limit."""
        line = self._file.readline(max(1, min(size, self._remaining_bytes + 1)))
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadTooLargeError("the head of the request exceeds the limit on its bytes")
        return line


class CallerHandler(WSGIHandler):
    """Handle one caller's connection, with its headers as they came."""

    # Monotonic seconds until which the head of the current request is awaited.
    head_deadline = 0.0

    def __init__(self, sock: object, address: object, server: object) -> None:
        configure_socket(sock)
        super().__init__(sock, address, server)

    def read_requestline(self) -> str:
        """Return the next request's first line, empty if none comes in the time for it."""
        limits = self.server.get_limits()
        idle_sockets = self.server.idle_sockets
        idle_sockets.add(self.socket)
        try:
            line = self._read_first_line(limits)
            # What arrives as the connection is being closed counts as never read.
            return "" if self.socket in self.server.closed_sockets else line
        finally:
            idle_sockets.discard(self.socket)

    def _read_first_line(self, limits: CallerLimits | None) -> str:
        if limits is None:
            return super().read_requestline()
        first_byte = b""
        with gevent.Timeout(limits.idle_timeout.total_seconds(), False):
            first_byte = self.rfile.peek(1)
        if not first_byte:
            return ""
        head_seconds = limits.header_timeout.total_seconds()
        self.head_deadline = time.monotonic() + head_seconds
        with gevent.Timeout(head_seconds, False):
            return super().read_requestline()
        self.server.record_unread("the first line of a request took too long")
        return ""

    def MessageClass(self, file: object, *arguments: object) -> object:  # noqa: N802
        """Return the headers of a request; the library gives the method its name."""
        limits = self.server.get_limits()
        if limits is None:
            return super().MessageClass(file, *arguments)
        # The end of a line is no longer part of the first one.
        used_bytes = len(self.requestline) + len("\r\n")
        reader = BoundedHeadReader(file, limits.header_bytes - used_bytes)
        error = HeadTooSlowError("the head of the request took too long")
        with gevent.Timeout(max(0.001, self.head_deadline - time.monotonic()), error):
            return super().MessageClass(reader, *arguments)

    def get_environ(self) -> dict[str, object]:
        """Return the WSGI environment with headers, socket and path of the request."""
        environ = super().get_environ()
        environ[HEADERS_ENVIRON_KEY] = self.headers.items()
        environ[SOCKET_ENVIRON_KEY] = self.socket
        environ[PATH_ENVIRON_KEY] = self.path
        return environ

    def finalize_headers(self) -> None:
        """Add no length or coding to the response to HEAD, which has no body."""
        if self.command == "HEAD" and self.provided_content_length is None:
            self.provided_content_length = "0"
        super().finalize_headers()

    def log_request(self) -> None:
        """Leave the log of requests to the application."""

    def log_error(self, message: str, *arguments: object) -> None:
        """Tell why a request was not read, within the bound on lines about requests."""
        self.server.record_unread(message % arguments if arguments else message)

    def _handle_client_error(self, error: Exception) -> tuple[str, bytes]:
        if isinstance(error, RequestHeadError):
            self.log_error("%s", error)
            lines = [f"HTTP/1.1 {error.status}", "Connection: close", "Content-Length: 0"]
            response = "\r\n".join([*lines, "", ""]).encode()
            status = error.status.partition(" ")[0]
        else:
            status, response = super()._handle_client_error(error)
        verdict = f"\r\n{HEADER_VERDICT}: {Verdict.NOT_RUN.header_value}\r\n".encode()
        return status, response.replace(b"\r\n", verdict, 1)
