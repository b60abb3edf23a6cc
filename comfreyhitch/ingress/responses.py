"""Read HTTP responses of a target as strictly as a gateway must."""

from datetime import timedelta

import gevent.socket
from geventhttpclient.response import HTTPParseError, HTTPResponse

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.headers import HOP_BY_HOP_HEADERS
from comfreyhitch.core.verdicts import Response

READ_BLOCK_BYTES = 65_536
FIRST_FINAL_STATUS = 200


class ResponseTooLargeError(Exception):
    """Signal that a response body exceeds the size limit."""


class ResponseReader(HTTPResponse):
    """Parse one response, and flag bytes after its end instead of parsing them."""

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self.has_extra_bytes = False
        self.is_final = False
        self.framing = ""

    def _on_message_begin(self) -> None:
        if self.is_final:
            self.has_extra_bytes = True
            raise HTTPParseError("bytes after the end of the response")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self.is_final = self.get_code() >= FIRST_FINAL_STATUS

    def feed(self, data: bytes) -> None:
        """Parse more bytes; raise `HTTPParseError` if they are not a valid response."""
        try:
            super().feed(data)
        except HTTPParseError:
            if not self.is_final:
                raise
            self.has_extra_bytes = True

    @property
    def body(self) -> bytes:
        """Return the body read so far."""
        return bytes(self._body_buffer)

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        return self.is_final and not self.has_extra_bytes and not self.should_close()

    def make_response(self) -> Response:
        """Return the response without its hop-by-hop headers."""
        return Response(
            status=self.status_code,
            reason=self.status_message or "",
            headers=[item for item in self.headers if item[0].lower() not in HOP_BY_HOP_HEADERS],
            body=self.body,
        )


def read_response(
    sock: gevent.socket.socket,
    reader: ResponseReader,
    deadline: float,
    limit_bytes: int,
    clock: Clock,
) -> None:
    """Read a complete response.

    Raise `TimeoutError` at the deadline, `HTTPParseError` for an invalid or incomplete
    response, `OSError` for a connection reset, and `ResponseTooLargeError` beyond the limit.
    """
    while not reader.is_final:
        remaining_seconds = deadline - clock.monotonic()
        if remaining_seconds <= 0:
            raise TimeoutError
        sock.settimeout(remaining_seconds)
        data = sock.recv(READ_BLOCK_BYTES)
        reader.feed(data)
        if len(reader._body_buffer) > limit_bytes:
            raise ResponseTooLargeError(f"response body exceeds {limit_bytes} bytes")
        if not data and not reader.is_final:
            raise HTTPParseError("response ended early")


def get_idle_timeout_seconds(reader: ResponseReader, default: timedelta) -> float:
    """Return how many seconds the target keeps an idle connection open.

    This is the timeout of its Keep-Alive header, but at most `default`.
    """
    header_value = reader.get("keep-alive", "")
    text = header_value if isinstance(header_value, str) else header_value[-1]
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return min(default.total_seconds(), float(value))
    return default.total_seconds()
