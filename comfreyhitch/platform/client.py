"""Client of the platform's store, which opens a connection for each call."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from geventhttpclient.response import HTTPParseError
from geventhttpclient.url import URL
from result import Err, Ok, Result

from comfreyhitch.core.clock import Clock
from comfreyhitch.platform.decoding import (
    decode_json,
    has_unreadable_text,
    may_have_unreadable_text,
)
from comfreyhitch.platform.entries import parse_entry, parse_page
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.platform.models import (
    FRESH,
    ChangeBatch,
    ObjectList,
    PlatformObject,
    ReadMode,
    dump_object,
)
from comfreyhitch.platform.names import HEADER_STORE_ERA
from comfreyhitch.wire.read_loops import ReadSource
from comfreyhitch.wire.responses import ResponseReader, ResponseTooLargeError, read_response
from comfreyhitch.wire.sockets import connect

API_PREFIX = "/v1/objects"
METHODS_WITH_BODY = frozenset({"POST", "PUT"})
IDEMPOTENT_METHODS = frozenset({"GET", "PUT", "DELETE"})
MAX_ATTEMPTS = 3
SECTIONS = "sections"
DAEMONS = "daemons"
CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.5
# How long a response may take after its first bytes. A full page takes seconds on a narrow link.
MAX_RESPONSE_SECONDS = 30.0
# Pages of a list hold about a megabyte; what a watch returns at once may be larger.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Added to the wait time of a watch, because the store may respond only when that is over.
WATCH_TIMEOUT_MARGIN_SECONDS = 1.0

_FAILURES_BY_STATUS = {
    404: PlatformFailure.NOT_FOUND,
    409: PlatformFailure.CONFLICT,
    410: PlatformFailure.EXPIRED,
    429: PlatformFailure.UNAVAILABLE,
}

Model = TypeVar("Model", bound=msgspec.Struct)


@dataclass(frozen=True, slots=True)
class PlatformClient:
    """Hold the address of the store, and a function that counts each call by its verb."""

    host: str
    port: int
    count_call: Callable[[str], None]
    clock: Clock = field(default_factory=Clock.from_system)

    @classmethod
    def from_url(
        cls, url: str, count_call: Callable[[str], None] = lambda verb: None
    ) -> "PlatformClient":
        """Return a client for a base URL."""
        parsed = URL(url)
        return cls(parsed.host, parsed.port, count_call)


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Hold the content of a successful response, and the era that it names."""

    content: Any
    era: int | None
    has_unreadable_text: bool = False


def list_objects(
    client: PlatformClient, kind: str, mode: ReadMode = FRESH
) -> Result[ObjectList, PlatformError]:
    """Return all objects of a kind, with the store's revision as of the first page."""
    items: list[PlatformObject] = []
    odd_names: frozenset[str] = frozenset()
    query = _make_query(mode)
    first: ObjectList | None = None
    while True:
        page = _read(client, "list", kind + _format_query(query), ObjectList)
        if page.is_err():
            return page
        found = page.ok_value
        first = found if first is None else first
        if found.era != first.era:
            detail = "store came back from a copy between two pages of a list"
            return Err(PlatformError(PlatformFailure.UNAVAILABLE, detail))
        items.extend(found.items)
        odd_names |= found.odd_names
        # A name that can't be read can't be asked for either, so it starts no page.
        names = {item.metadata.name for item in found.items} | {
            name for name in found.odd_names if not has_unreadable_text(name)
        }
        if not found.has_more or not any(names):
            return Ok(
                msgspec.structs.replace(first, items=items, odd_names=odd_names, has_more=False)
            )
        after = quote(max(names), safe="")
        query = [*_make_query(mode), f"after={after}"]


def get_object(
    client: PlatformClient, kind: str, name: str, mode: ReadMode = FRESH
) -> Result[PlatformObject, PlatformError]:
    """Return one object."""
    path = _make_path(kind, name) + _format_query(_make_query(mode))
    return _read(client, "get", path, PlatformObject)


def create_object(
    client: PlatformClient, kind: str, item: PlatformObject
) -> Result[PlatformObject, PlatformError]:
    """Create an object; a conflict means that an object with its name exists."""
    return write_object(client, kind, item, is_new=True).map(lambda written: written[0])


def write_object(
    client: PlatformClient, kind: str, item: PlatformObject, *, is_new: bool
) -> Result[tuple[PlatformObject, int | None], PlatformError]:
    """Create an object, or replace it as `update_object` does; return it, and the store's era."""
    verb, method, path = (
        ("create", "POST", kind)
        if is_new
        else ("update", "PUT", _make_path(kind, item.metadata.name))
    )
    return _call(client, verb, method, path, dump_object(item)).and_then(
        lambda answer: parse_entry(PlatformObject, answer.content).map(
            lambda obj: (obj, answer.era)
        )
    )


def update_object(
    client: PlatformClient, kind: str, item: PlatformObject
) -> Result[PlatformObject, PlatformError]:
    """Replace spec and finalizers if the object still has the revision that was read."""
    return _put(client, _make_path(kind, item.metadata.name), item)


def update_status(
    client: PlatformClient, kind: str, item: PlatformObject
) -> Result[PlatformObject, PlatformError]:
    """Replace the status if the object still has the revision that was read."""
    return _put(client, _make_path(kind, item.metadata.name) + "/status", item)


def delete_object(
    client: PlatformClient, kind: str, name: str, revision: int = 0
) -> Result[None, PlatformError]:
    """Delete an object; if a revision is given, the object must still have it."""
    query = [f"Rev={revision}"] if revision else []
    path = _make_path(kind, name) + _format_query(query)
    return _call(client, "delete", "DELETE", path, None).map(lambda _: None)


def wait_for_changes(
    client: PlatformClient, kind: str, since: int, wait_seconds: float, mode: ReadMode = FRESH
) -> Result[ChangeBatch, PlatformError]:
    """Wait until there are changes after a revision and return them, or none at the timeout."""
    query = [f"Watch={since}", f"WaitMs={int(wait_seconds * 1000)}", *_make_query(mode)]
    timeout_seconds = wait_seconds + WATCH_TIMEOUT_MARGIN_SECONDS
    return _read(client, "watch", kind + _format_query(query), ChangeBatch, timeout_seconds)


def _put(
    client: PlatformClient, path: str, item: PlatformObject
) -> Result[PlatformObject, PlatformError]:
    return _call(client, "update", "PUT", path, dump_object(item)).and_then(
        lambda answer: parse_entry(PlatformObject, answer.content)
    )


def _read(
    client: PlatformClient,
    verb: str,
    path: str,
    model: type[Model],
    timeout_seconds: float = CALL_TIMEOUT_SECONDS,
) -> Result[Model, PlatformError]:
    return _call(client, verb, "GET", path, None, timeout_seconds).and_then(
        lambda answer: parse_page(model, answer.content, answer.era, answer.has_unreadable_text)
    )


def _call(
    client: PlatformClient,
    verb: str,
    method: str,
    path: str,
    content: Any,
    timeout_seconds: float = CALL_TIMEOUT_SECONDS,
) -> Result[StoreAnswer, PlatformError]:
    client.count_call(verb)
    body = b"" if content is None else json.dumps(content).encode()
    message = _format_request(client, method, path, body)
    attempts = MAX_ATTEMPTS if method in IDEMPOTENT_METHODS else 1
    try:
        response = _exchange(client, method, message, attempts, timeout_seconds)
    except (OSError, HTTPParseError, ResponseTooLargeError) as error:
        return Err(PlatformError(PlatformFailure.UNAVAILABLE, str(error) or repr(error)))
    if response.status_code >= 300:
        return Err(_make_status_error(response.status_code, response.body))
    era = _read_era(response.get(HEADER_STORE_ERA))
    may_be_unreadable = may_have_unreadable_text(response.body)
    return _decode(response.body).map(
        lambda content: StoreAnswer(
            content, era, may_be_unreadable and has_unreadable_text(content)
        )
    )


def _format_request(client: PlatformClient, method: str, path: str, body: bytes) -> bytes:
    lines = [f"{method} {API_PREFIX}/{path} HTTP/1.1", f"Host: {client.host}:{client.port}"]
    if body:
        lines.append("Content-Type: application/json")
    if body or method in METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def _exchange(
    client: PlatformClient, method: str, message: bytes, attempts: int, timeout_seconds: float
) -> ResponseReader:
    """Send a request, and read its response within bounds.

    A request whose connection ends before the first byte of a response is sent again while
    attempts are left. Raise `OSError`, `HTTPParseError` or `ResponseTooLargeError` without a
    complete response.
    """
    while True:
        attempts -= 1
        reader = ResponseReader(method)
        sock = connect(client.host, client.port, CONNECT_TIMEOUT_SECONDS)
        try:
            sock.settimeout(timeout_seconds)
            sock.sendall(message)
            deadline = client.clock.monotonic() + timeout_seconds + MAX_RESPONSE_SECONDS
            read_response(
                sock,
                reader,
                deadline,
                MAX_RESPONSE_BYTES,
                client.clock,
                source=ReadSource.STORE,
                silence_seconds=timeout_seconds,
            )
            return reader
        except TimeoutError as error:
            raise TimeoutError("no complete response in time") from error
        except (ConnectionError, HTTPParseError):
            if reader.received_bytes or attempts == 0:
                raise
        finally:
            sock.close()


def _read_era(text: object) -> int | None:
    return int(text) if isinstance(text, str) and text.isascii() and text.isdigit() else None


def _decode(response_body: bytes) -> Result[Any, PlatformError]:
    if not response_body:
        return Ok(None)
    return decode_json(response_body).map_err(
        lambda reason: PlatformError(PlatformFailure.REFUSED, f"response is not JSON: {reason}")
    )


def _make_path(kind: str, name: str) -> str:
    return f"{kind}/{quote(name, safe='')}"


def _make_query(mode: ReadMode) -> list[str]:
    return ["Serializable=1"] if mode.may_be_stale else []


def _format_query(query: list[str]) -> str:
    return "?" + "&".join(query) if query else ""


def _make_status_error(status: int, response_body: bytes) -> PlatformError:
    default = PlatformFailure.UNAVAILABLE if status >= 500 else PlatformFailure.REFUSED
    failure = _FAILURES_BY_STATUS.get(status, default)
    return PlatformError(failure, f"HTTP {status}: {response_body[:200].decode(errors='replace')}")
