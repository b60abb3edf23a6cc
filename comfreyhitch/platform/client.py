"""Client of the platform's store, which makes one attempt on a new connection for each call."""

import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote

import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from geventhttpclient.url import URL
from result import Err, Ok, Result

from comfreyhitch.platform.decoding import decode_json
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.platform.models import (
    FRESH,
    ChangeBatch,
    ObjectChange,
    ObjectList,
    PlatformObject,
    ReadMode,
    dump_object,
)
from comfreyhitch.platform.names import HEADER_STORE_ERA

logger = logging.getLogger(__name__)

API_PREFIX = "/v1/objects"
SECTIONS = "sections"
DAEMONS = "daemons"
CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.5
# Added to the wait time of a watch, because the store may respond only when that is over.
WATCH_TIMEOUT_MARGIN_SECONDS = 1.0

_FAILURES_BY_STATUS = {
    404: PlatformFailure.NOT_FOUND,
    409: PlatformFailure.CONFLICT,
    410: PlatformFailure.EXPIRED,
    429: PlatformFailure.UNAVAILABLE,
}

Model = TypeVar("Model", bound=msgspec.Struct)

# The field that holds the entries of a list or a batch, and their model.
_ENTRIES_BY_MODEL = {ObjectList: ("items", PlatformObject), ChangeBatch: ("events", ObjectChange)}


@dataclass(frozen=True, slots=True)
class PlatformClient:
    """Hold the address of the store, and a function that counts each call by its verb."""

    host: str
    port: int
    count_call: Callable[[str], None]

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
        names = {item.metadata.name for item in found.items} | found.odd_names
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
        lambda answer: _parse(PlatformObject, answer.content).map(lambda obj: (obj, answer.era))
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
        lambda answer: _parse(PlatformObject, answer.content)
    )


def _read(
    client: PlatformClient,
    verb: str,
    path: str,
    model: type[Model],
    timeout_seconds: float = CALL_TIMEOUT_SECONDS,
) -> Result[Model, PlatformError]:
    return _call(client, verb, "GET", path, None, timeout_seconds).and_then(
        lambda answer: _parse_read(model, answer)
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
    http = HTTPClient(
        client.host,
        client.port,
        concurrency=1,
        connection_timeout=CONNECT_TIMEOUT_SECONDS,
        network_timeout=timeout_seconds,
    )
    body = b"" if content is None else json.dumps(content).encode()
    headers = {"Content-Type": "application/json"} if body else {}
    try:
        response = http.request(method, f"{API_PREFIX}/{path}", body, headers)
        response_body = response.read()
        if not response.message_complete:
            return Err(PlatformError(PlatformFailure.UNAVAILABLE, "response ended early"))
    except (OSError, HTTPParseError) as error:
        return Err(PlatformError(PlatformFailure.UNAVAILABLE, str(error) or repr(error)))
    finally:
        http.close()
    if response.status_code >= 300:
        return Err(_make_status_error(response.status_code, response_body))
    era = _read_era(response.get(HEADER_STORE_ERA))
    return _decode(response_body).map(lambda content: StoreAnswer(content, era))


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


def _parse_read(model: type[Model], answer: StoreAnswer) -> Result[Model, PlatformError]:
    if model is PlatformObject:
        return _parse(model, answer.content)
    parsed = _parse(model, answer.content)
    odd_names: list[str] = []
    if parsed.is_err():
        content, odd_names = _separate_odd_entries(model, answer.content)
        parsed = _parse(model, content)
    return parsed.map(
        lambda page: msgspec.structs.replace(page, era=answer.era, odd_names=frozenset(odd_names))
    )


def _separate_odd_entries(model: type[Model], content: Any) -> tuple[Any, list[str]]:
    """Return a list or batch without the entries that are no objects, and the names of those.

    Another writer may have left them, and the others hold.
    """
    field, entry_model = _ENTRIES_BY_MODEL[model]
    entries = content.get(field) if isinstance(content, dict) else None
    if not isinstance(entries, list):
        return content, []
    good = []
    odd_names = []
    for entry in entries:
        parsed = _parse(entry_model, entry)
        if parsed.is_ok():
            good.append(entry)
            continue
        name = _find_name(entry)
        odd_names.append(name)
        logger.warning(
            "entry of the store is ignored",
            extra={"entry": name, "reason": str(parsed.err_value)[:200]},
        )
    return {**content, field: good}, odd_names


def _find_name(entry: Any) -> str:
    """Return the name of an entry that may lack any field, or an empty string."""
    for field in ("Object", "Metadata", "Name"):
        if isinstance(entry, dict):
            entry = entry.get(field, entry)
    return entry if isinstance(entry, str) else ""


def _parse(model: type[Model], content: Any) -> Result[Model, PlatformError]:
    try:
        return Ok(msgspec.convert(content, model))
    except (msgspec.ValidationError, RecursionError) as error:
        return Err(PlatformError(PlatformFailure.REFUSED, f"not a {model.__name__}: {error}"))
