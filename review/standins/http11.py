"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

import asyncio
from dataclasses import dataclass, field

MAX_HEAD_BYTES = 64 * 1024


@dataclass(slots=True)
class Message:
    """Hold one message; header names are in lower case."""

    first_line: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader, *, has_body: bool = True) -> Message | None:
    """Return the next message, or None if the connection ends before one begins."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0], headers)
    if has_body:
        message.body = await _read_body(reader, headers)
    return message


async def _read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        pieces = []
        while size := int((await reader.readline()).partition(b";")[0], 16):
            pieces.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        return b"".join(pieces)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def format_message(first_line: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a message, with the length of its body."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message:
    """Send one request on a new connection, and return the response."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            all_headers = {"Host": f"{host}:{port}", **(headers or {}), "Connection": "close"}
            writer.write(format_message(f"{method} {path} HTTP/1.1", all_headers, body))
            await writer.drain()
            response = await read_message(reader, has_body=method != "HEAD")
        finally:
            writer.close()
    if response is None:
        raise ConnectionError("connection closed without a response")
    return response


def get_status(response: Message) -> int:
    """Return the status of a response."""
    return int(response.first_line.split(" ")[1])
