"""Bound the heads of requests, and refuse requests whose end is not clear (request smuggling)."""

from email.errors import (
    FirstHeaderLineIsContinuationDefect,
    InvalidHeaderDefect,
    MisplacedEnvelopeHeaderDefect,
    MissingHeaderBodySeparatorDefect,
)
from email.message import Message
from email.parser import Parser
from typing import Protocol

from gevent.pywsgi import OldMessage

MAX_LINE_BYTES = 65_536
LINE_ENDS = (b"\r\n", b"\n")
HEADER_DEFECTS = (
    FirstHeaderLineIsContinuationDefect,
    InvalidHeaderDefect,
    MisplacedEnvelopeHeaderDefect,
    MissingHeaderBodySeparatorDefect,
)
LENGTH_HEADER = "Content-Length"
CODING_HEADER = "Transfer-Encoding"
CHUNKED = "chunked"


class RequestHeadError(ValueError):
    """Signal that a request's head (request line and headers) was rejected."""

    status = "400 Bad Request"


class HeadTooLargeError(RequestHeadError):
    """Signal that a request's head exceeds its size limit."""

    status = "431 Request Header Fields Too Large"


class HeadTooSlowError(RequestHeadError):
    """Signal that a request's head did not arrive within its timeout."""

    status = "408 Request Timeout"


class UnknownCodingError(RequestHeadError):
    """Signal that a request has a transfer coding that is not supported."""

    status = "501 Not Implemented"


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


class LineReader(Protocol):
    """Read lines, and raise an error beyond a limit on their total bytes."""

    def readline(self, size: int) -> bytes:
        """Return the next line."""


def read_headers(reader: LineReader) -> OldMessage:
    """Read the headers of a request, as many as the reader allows.

    The library reads 100 at most. Raise `RequestHeadError` if the head ends early.
    """
    lines = []
    while (line := reader.readline(MAX_LINE_BYTES)) not in LINE_ENDS:
        if not line.endswith(b"\n"):
            raise RequestHeadError("request head ended early")
        lines.append(line)
    return Parser(_class=OldMessage).parsestr(b"".join([*lines, b"\r\n"]).decode("latin-1"))


def check_framing(headers: Message) -> None:
    """Check the headers that tell where a request ends.

    Raise `RequestHeadError` if they contradict each other or can't be read, and
    `UnknownCodingError` for a transfer coding other than `chunked`. A length that is repeated
    unchanged is kept once.
    """
    # A line that is no header hides those after it. Other defects are of the body, which the parser
    # expects after the headers and does not get.
    if any(isinstance(defect, HEADER_DEFECTS) for defect in headers.defects):
        raise RequestHeadError("request head holds a line that is no header")
    lengths = _list_values(headers, LENGTH_HEADER)
    codings = _list_values(headers, CODING_HEADER)
    if codings and lengths:
        raise RequestHeadError("request has a length and a transfer coding")
    if any(coding.lower() != CHUNKED for coding in codings):
        raise UnknownCodingError(f"request has the transfer coding {', '.join(codings)!r}")
    if len(codings) > 1:
        raise RequestHeadError("request has several transfer codings")
    if len(set(lengths)) > 1:
        raise RequestHeadError("request has lengths that differ")
    if any(not (length.isascii() and length.isdigit()) for length in lengths):
        raise RequestHeadError(f"request has the length {lengths[0]!r}")
    if lengths:
        del headers[LENGTH_HEADER]
        headers[LENGTH_HEADER] = lengths[0]


def _list_values(headers: Message, name: str) -> list[str]:
    """Return the values of a header, of which one line may hold several."""
    return [part.strip() for line in headers.get_all(name, []) for part in line.split(",")]
