"""HTTP server for callers: limits on request heads, idle timeouts and shutdown."""

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
    """Signal that a request's head (request line and headers) was rejected."""

    status = "400 Bad Request"


class HeadTooLargeError(RequestHeadError):
    """Signal that a request's head exceeds its size limit."""

    status = "431 Request Header Fields Too Large"


class HeadTooSlowError(RequestHeadError):
    """Signal that a request's head did not arrive within its timeout."""

    status = "408 Request Timeout"


class CallerServer(WSGIServer):
    """Serve callers, and track which of their connections are idle."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        self.idle_sockets: set[gevent.socket.socket] = set()
        self.closed_sockets: set[gevent.socket.socket] = set()
        self.get_limits: Callable[[], CallerLimits | None] = lambda: None
        # Called with the reason when a request could not be read.
        self.record_unread: Callable[[str], None] = lambda reason: None

    def stop_reading(self) -> None:
        """Stop accepting connections and reading requests; those already read are answered."""
        self.close()
        for sock in list(self.idle_sockets):
            # A connection with unread data stays open, so that its request is still served.
            if not is_open_and_empty(sock):
                continue
            self.closed_sockets.add(sock)
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class BoundedHeadReader:
    """Read lines of a request's head up to a limit on their total bytes."""

    def __init__(self, file: object, limit_bytes: int) -> None:
        self._file = file
        self._remaining_bytes = limit_bytes

    def readline(self, size: int) -> bytes:
        """Return the next line; raise `HeadTooLargeError` beyond the limit."""
        line = self._file.readline(max(1, min(size, self._remaining_bytes + 1)))
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadTooLargeError("request head exceeds the limit on its bytes")
        return line


class CallerHandler(WSGIHandler):
    """Handle one caller's connection, and pass on the headers of its requests unchanged."""

    # Monotonic seconds at which reading the current request's head times out.
    head_deadline = 0.0

    def __init__(self, sock: object, address: object, server: object) -> None:
        configure_socket(sock)
        super().__init__(sock, address, server)

    def read_requestline(self) -> str:
        """Return the next request line, or an empty one if none arrives in time."""
        limits = self.server.get_limits()
        idle_sockets = self.server.idle_sockets
        idle_sockets.add(self.socket)
        try:
            line = self._read_first_line(limits)
            # A request that arrives while the connection is being closed is dropped unread.
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
        self.server.record_unread("request line did not arrive within the header timeout")
        return ""

    def MessageClass(self, file: object, *arguments: object) -> object:  # noqa: N802
        """Read and return the headers of a request; the WSGI library defines this name."""
        limits = self.server.get_limits()
        if limits is None:
            return super().MessageClass(file, *arguments)
        # The request line was stored without its line ending, which counts towards the limit too.
        used_bytes = len(self.requestline) + len("\r\n")
        reader = BoundedHeadReader(file, limits.header_bytes - used_bytes)
        error = HeadTooSlowError("request head did not arrive within the header timeout")
        with gevent.Timeout(max(0.001, self.head_deadline - time.monotonic()), error):
            return super().MessageClass(reader, *arguments)

    def get_environ(self) -> dict[str, object]:
        """Return the WSGI environ, with the request's raw headers, socket and path added."""
        environ = super().get_environ()
        environ[HEADERS_ENVIRON_KEY] = self.headers.items()
        environ[SOCKET_ENVIRON_KEY] = self.socket
        environ[PATH_ENVIRON_KEY] = self.path
        return environ

    def finalize_headers(self) -> None:
        """Keep the library from adding a length or transfer coding to responses to HEAD."""
        if self.command == "HEAD" and self.provided_content_length is None:
            self.provided_content_length = "0"
        super().finalize_headers()

    def log_request(self) -> None:
        """Log nothing here, since the application logs requests."""

    def log_error(self, message: str, *arguments: object) -> None:
        """Pass on why a request was not read to `record_unread`, which limits the log rate."""
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
