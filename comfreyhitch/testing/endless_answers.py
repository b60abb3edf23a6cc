"""Send responses that do not end, as a faulty target does."""

from collections.abc import Iterable

import gevent
import gevent.socket

LARGE_PART_BYTES = 1_000_000
SMALL_CHUNKS = 10_000
LINES = 4_000

_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_UNTIL_CLOSE = b"Connection: close\r\n\r\n"
_LARGE_PART = b"x" * LARGE_PART_BYTES
# What follows the status line and the usual headers, and what is repeated after it.
PARTS_BY_FORM = {
    "header": (b"X-Filler: ", _LARGE_PART),
    "header-lines": (b"", b"X-Filler: f\r\n" * LINES),
    "large-chunks": (_CHUNKED, b"%x\r\n" % LARGE_PART_BYTES + _LARGE_PART + b"\r\n"),
    "small-chunks": (_CHUNKED, b"1\r\nx\r\n" * SMALL_CHUNKS),
    "chunk-extension": (_CHUNKED + b"5;a=", _LARGE_PART),
    "trailers": (_CHUNKED + b"0\r\n", b"X-Filler: f\r\n" * LINES),
    "body": (_UNTIL_CLOSE, _LARGE_PART),
    "no-response": (b"", _LARGE_PART),
}


def send_without_end(
    sock: gevent.socket.socket, form: str, headers: Iterable[tuple[str, str]]
) -> None:
    """Send a response of one of the forms until the other end closes the connection."""
    first, repeated = PARTS_BY_FORM[form]
    lines = ["HTTP/1.1 200 OK", *(f"{name}: {text}" for name, text in headers)]
    head = "".join(f"{line}\r\n" for line in lines).encode()
    try:
        sock.sendall(repeated if form == "no-response" else head + first)
        while True:
            sock.sendall(repeated)
            gevent.sleep(0)
    except OSError:
        sock.close()
