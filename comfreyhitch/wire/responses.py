"""Read HTTP responses as strictly as a gateway must."""

import math
from collections.abc import Callable
from datetime import timedelta

import gevent.socket
from geventhttpclient.response import HTTPParseError, HTTPResponse

from comfreyhitch.core.clock import Clock
from comfreyhitch.core.headers import HOP_BY_HOP_HEADERS
from comfreyhitch.core.verdicts import Response
from comfreyhitch.wire.following_bodies import is_following
from comfreyhitch.wire.read_loops import ReadLoop, ReadSource, record_bytes
from comfreyhitch.wire.sockets import describe_peer

READ_BLOCK_BYTES = 65_536
# Until the head is complete, blocks are smaller, since a block may hold hundreds of headers.
HEAD_BLOCK_BYTES = 16_384
FIRST_FINAL_STATUS = 200
VALID_STATUSES = range(100, 600)
# No request asks for another protocol.
SWITCHING_PROTOCOLS_STATUS = 101
# Bounds on what belongs to no body. Responses have heads of less than 2 KiB.
MAX_HEAD_BYTES = 65_536
MAX_HEADERS = 256
MAX_INTERIM_RESPONSES = 16
# A chunk of one byte comes with five bytes around it, so more than this are chunk extensions or
# trailers.
MAX_FRAMING_PER_BODY_BYTE = 8


class ResponseTooLargeError(Exception):
    """Signal that a response body exceeds the size limit."""


class UnboundedResponseError(HTTPParseError):
    """Signal that a response holds too much beside its body; `part` names what."""

    def __init__(self, part: str) -> None:
        super().__init__(f"response has too many {part}")
        self.part = part


class ResponseReader(HTTPResponse):
    """Parse one response, and flag bytes after its end instead of parsing them."""

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self.has_extra_bytes = False
        self.is_final = False
        self.received_bytes = 0
        self.interim_responses = 0

    def _on_message_begin(self) -> None:
        if self.is_final:
            self.has_extra_bytes = True
            raise HTTPParseError("bytes after the end of the response")
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        status = self.get_code()
        if status not in VALID_STATUSES or status == SWITCHING_PROTOCOLS_STATUS:
            raise HTTPParseError(f"response has the status {status:03}")
        return super()._on_headers_complete()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self.is_final = self.get_code() >= FIRST_FINAL_STATUS
        self.interim_responses += not self.is_final

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

    def find_excess(self) -> str:
        """Return what a response that has not ended holds too much of, or an empty string."""
        if self.interim_responses > MAX_INTERIM_RESPONSES:
            return "interim responses"
        if len(self._headers_index) > MAX_HEADERS:
            return "headers"
        body_bytes = len(self._body_buffer)
        if self.received_bytes - body_bytes <= MAX_HEAD_BYTES + body_bytes * (
            MAX_FRAMING_PER_BODY_BYTE
        ):
            return ""
        return "bytes around its chunks" if self.headers_complete else "bytes in its head"

    @property
    def declared_bytes(self) -> int:
        """Return the length that the head of the response declares for its body, or 0."""
        if not self.headers_complete or self.get_code() < FIRST_FINAL_STATUS:
            return 0
        length = self.get("content-length", "")
        return (
            int(length) if isinstance(length, str) and length.isascii() and length.isdigit() else 0
        )

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
            # A large body is not copied.
            body=self._body_buffer if is_following(self._body_buffer) else self.body,
        )


def read_response(
    sock: gevent.socket.socket,
    reader: ResponseReader,
    deadline: float,
    limit_bytes: int,
    clock: Clock,
    source: ReadSource = ReadSource.TARGET,
    silence_seconds: float = math.inf,
    hold_body: Callable[[int], bool] = lambda size: True,
) -> None:
    """Read a complete response; `deadline` is in monotonic seconds.

    Raise `TimeoutError` at the deadline or if nothing arrives for `silence_seconds`,
    `HTTPParseError` for an invalid or incomplete response, `OSError` for a connection reset,
    `ResponseTooLargeError` beyond the limit or if `hold_body` finds no memory for a size in bytes,
    and `UnboundedResponseError` for too much beside the body.
    """
    loop = ReadLoop(source, describe_peer(sock))
    while not reader.is_final:
        now = clock.monotonic()
        if now >= deadline:
            raise TimeoutError
        sock.settimeout(min(deadline - now, silence_seconds))
        block_bytes = READ_BLOCK_BYTES if reader.headers_complete else HEAD_BLOCK_BYTES
        data = sock.recv(block_bytes)
        received_at = clock.monotonic()
        reader.received_bytes += len(data)
        reader.feed(data)
        _check_size(reader, limit_bytes)
        if not hold_body(max(len(reader._body_buffer), reader.declared_bytes)):
            raise ResponseTooLargeError("no memory for the body of the response")
        if reader.is_final:
            return
        if not data:
            raise HTTPParseError("response ended early")
        record_bytes(loop, len(data), clock.monotonic() - received_at)


def _check_size(reader: ResponseReader, limit_bytes: int) -> None:
    """Raise an error if a response is larger than allowed, or says that it will be."""
    excess = "" if reader.is_final else reader.find_excess()
    if excess:
        raise UnboundedResponseError(excess)
    body_bytes = len(reader._body_buffer)
    if not reader.is_final:
        body_bytes = max(body_bytes, reader.declared_bytes)
    if body_bytes > limit_bytes:
        raise ResponseTooLargeError(f"response body exceeds {limit_bytes} bytes")


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
