"""Handler of a caller's connection: request heads within their limits, and responses."""

import errno
import time
from contextlib import suppress

import gevent
from gevent import pywsgi

from comfreyhitch.core.headers import HEADER_VERDICT
from comfreyhitch.core.held_bytes import (
    MAX_SMALL_BYTES,
    GiveWayError,
    HoldingStage,
    record_progress,
    release,
)
from comfreyhitch.core.verdicts import Verdict
from comfreyhitch.egress.caller_connections import ConnectionPhase, EndReason, enter_phase
from comfreyhitch.egress.request_framing import (
    BoundedHeadReader,
    HeadTooSlowError,
    RequestHeadError,
    check_framing,
    read_headers,
)
from comfreyhitch.routing.models import CallerLimits
from comfreyhitch.wire.memory_waits import giving_way
from comfreyhitch.wire.open_connections import mark_busy
from comfreyhitch.wire.request_bodies import BoundedBodyHandler
from comfreyhitch.wire.sockets import (
    configure_socket,
    end_stream,
    reset_on_close,
    send_while_read,
)

# The library refuses longer request lines with 414. Its default is 8 KiB, and the configuration may
# allow heads of more bytes.
pywsgi.MAX_REQUEST_LINE = 65_536

# How long a caller may take to close its side of a connection after the last response.
END_OF_STREAM_SECONDS = 0.5
# A caller that takes no byte of its response for this long is disconnected.
WRITE_STALL_SECONDS = 5.0
REASONS_OF_SLOW_CALLERS = frozenset({EndReason.CALLER_STALLED, EndReason.GAVE_WAY})
REASONS_AFTER_RESPONSE = frozenset({EndReason.RESPONSE_SENT, EndReason.REQUEST_INVALID})

HEADERS_ENVIRON_KEY = "comfreyhitch.headers"
CONNECTION_ENVIRON_KEY = "comfreyhitch.connection"
PATH_ENVIRON_KEY = "comfreyhitch.path"


class CallerHandler(BoundedBodyHandler):
    """Handle one caller's connection, and pass on the headers of its requests unchanged."""

    # Monotonic seconds at which reading the current request's head times out.
    head_deadline = 0.0

    def __init__(self, sock: object, address: object, server: object) -> None:
        configure_socket(sock)
        super().__init__(sock, address, server)
        self.connection = server.connections.by_socket[sock]
        self.connection.has_further_request = self._has_further_bytes

    def handle_one_request(self) -> object:
        """Serve one request; return True if the connection serves another one."""
        result = super().handle_one_request()
        if result is True:
            self._enter(ConnectionPhase.WAITING)
            return True
        if result is not None:
            self.connection.end_reason = EndReason.REQUEST_INVALID
            _, response = result
            with suppress(OSError):
                self.connection.sock.sendall(response)
        self.server.record_end(self.connection, self._has_further_bytes())
        if self.connection.end_reason in REASONS_AFTER_RESPONSE:
            self._enter(ConnectionPhase.CLOSING)
            end_stream(self.connection.sock, END_OF_STREAM_SECONDS)
        return None

    def read_requestline(self) -> str:
        """Return the next request line, or an empty one if none arrives in time."""
        limits = self.server.get_limits()
        if not self._await_first_byte(limits):
            return ""
        # A request that arrives while the connection is being closed is dropped unread.
        if self.connection.end_reason is EndReason.STOPPING:
            return ""
        self._enter(ConnectionPhase.READING)
        if limits is None:
            return super().read_requestline()
        head_seconds = limits.header_timeout.total_seconds()
        self.head_deadline = time.monotonic() + head_seconds
        with gevent.Timeout(head_seconds, False):
            return super().read_requestline()
        self.connection.end_reason = EndReason.HEAD_TIMEOUT
        self.server.record_unread("request line did not arrive within the header timeout")
        return ""

    def _await_first_byte(self, limits: CallerLimits | None) -> bool:
        """Wait for a request, and return whether its first byte arrives in time."""
        idle_seconds = None if limits is None else limits.idle_timeout.total_seconds()
        with gevent.Timeout(idle_seconds, False):
            return bool(self.rfile.peek(1))
        self.connection.end_reason = EndReason.IDLE_TIMEOUT
        return False

    def _has_further_bytes(self) -> bool:
        """Return whether bytes have arrived that belong to no request read so far."""
        sock = self.connection.sock
        # Without a timeout the reader would wait for bytes if it holds none.
        sock.settimeout(0.0)
        try:
            return bool(self.rfile.peek(1))
        except (OSError, ValueError):
            return False
        finally:
            sock.settimeout(None)

    def _enter(self, phase: ConnectionPhase) -> None:
        enter_phase(self.server.connections, self.connection, phase)
        if phase is ConnectionPhase.HANDLING:
            mark_busy(self.server.open_connections, self.connection.sock)

    def handle_one_response(self) -> None:
        """Send one response, and record why the connection ends if it ends after it."""
        self._enter(ConnectionPhase.HANDLING)
        try:
            super().handle_one_response()
        finally:
            release(self.server.held_bytes, self.connection)
            # The library keeps the response until the next request.
            self.result = None
        if self.close_connection and self.connection.end_reason not in REASONS_OF_SLOW_CALLERS:
            self.connection.end_reason = EndReason.RESPONSE_SENT

    def _sendall(self, data: bytes) -> None:
        """Send a part of a response; raise `ConnectionResetError` if that fails."""
        try:
            if len(data) > MAX_SMALL_BYTES:
                self._send_large(data)
            else:
                send_while_read(self.socket, data, WRITE_STALL_SECONDS)
        except (OSError, GiveWayError) as error:
            if isinstance(error, TimeoutError):
                self.connection.end_reason = EndReason.CALLER_STALLED
            elif isinstance(error, GiveWayError):
                self.connection.end_reason = EndReason.GAVE_WAY
            reset_on_close(self.socket)
            # For other errors, the library would send an error page after a part of the response,
            # which callers could take for the rest of it.
            raise ConnectionResetError(errno.ECONNRESET, str(error)) from error
        self.response_length += len(data)

    def _send_large(self, data: bytes) -> None:
        """Send bytes that a slow caller may have to give up; raise `GiveWayError` if it does."""
        held = self.server.held_bytes
        connection = self.connection
        with giving_way(held, connection, HoldingStage.RESPONSE):
            send_while_read(
                self.socket,
                data,
                WRITE_STALL_SECONDS,
                lambda size: record_progress(held, connection, size),
            )

    def MessageClass(self, file: object, *arguments: object) -> object:  # noqa: N802
        """Read and return the headers of a request; the WSGI library defines this name."""
        headers = self._read_headers(file, *arguments)
        check_framing(headers)
        return headers

    def _read_headers(self, file: object, *arguments: object) -> object:
        limits = self.server.get_limits()
        if limits is None:
            return super().MessageClass(file, *arguments)
        # The request line was stored without its line ending, which counts towards the limit too.
        used_bytes = len(self.requestline) + len("\r\n")
        reader = BoundedHeadReader(file, limits.header_bytes - used_bytes)
        error = HeadTooSlowError("request head did not arrive within the header timeout")
        with gevent.Timeout(max(0.001, self.head_deadline - time.monotonic()), error):
            return read_headers(reader)

    def get_environ(self) -> dict[str, object]:
        """Return the WSGI environ, with the request's raw headers, connection and path added."""
        environ = super().get_environ()
        environ[HEADERS_ENVIRON_KEY] = self.headers.items()
        environ[CONNECTION_ENVIRON_KEY] = self.connection
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
