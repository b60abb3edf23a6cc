"""Calls to the platform's object API, one try each."""

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from geventhttpclient.url import URL
from pydantic import ValidationError
from result import Err, Ok, Result

from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.platform.models import ObjectList, PlatformObject, WatchEvent, dump_object

API_PREFIX = "/apis/comfreyhitch.example/v1"
SECTIONS = "sections"
DAEMONS = "daemons"
CONNECT_TIMEOUT_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 5.0

_KINDS_BY_PLURAL = {SECTIONS: "Section", DAEMONS: "Daemon"}
_FAILURES_BY_STATUS = {
    404: PlatformFailure.NOT_FOUND,
    409: PlatformFailure.CONFLICT,
    410: PlatformFailure.EXPIRED,
}


@dataclass(frozen=True, slots=True)
class PlatformClient:
    """Hold where the API is, and a function that counts each call."""

    host: str
    port: int
    namespace: str
    count_call: Callable[[str], None]

    @classmethod
    def from_url(
        cls, url: str, namespace: str, count_call: Callable[[str], None] = lambda verb: None
    ) -> "PlatformClient":
        """Return a client for a base URL."""
        parsed = URL(url)
        return cls(parsed.host, parsed.port, namespace, count_call)


def list_objects(client: PlatformClient, plural: str) -> Result[ObjectList, PlatformError]:
    """Return all objects of a kind."""
    return _call(client, "list", "GET", plural, None).and_then(_parse_list)


def get_object(
    client: PlatformClient, plural: str, name: str
) -> Result[PlatformObject, PlatformError]:
    """Return one object."""
    return _call(client, "get", "GET", f"{plural}/{name}", None).and_then(_parse_object)


def create_object(
    client: PlatformClient, plural: str, item: PlatformObject
) -> Result[PlatformObject, PlatformError]:
    """Create an object; a conflict means that one of this name exists."""
    content = dump_object(item, _KINDS_BY_PLURAL[plural])
    return _call(client, "create", "POST", plural, content).and_then(_parse_object)


def update_object(
    client: PlatformClient, plural: str, item: PlatformObject, *, subresource: str = ""
) -> Result[PlatformObject, PlatformError]:
    """Replace an object if its version is still the one that was read."""
    content = dump_object(item, _KINDS_BY_PLURAL[plural])
    path = f"{plural}/{item.metadata.name}{subresource}"
    return _call(client, "update", "PUT", path, content).and_then(_parse_object)


def delete_object(client: PlatformClient, plural: str, name: str) -> Result[None, PlatformError]:
    """Delete an object."""
    return _call(client, "delete", "DELETE", f"{plural}/{name}", None).map(lambda _: None)


def watch_objects(
    client: PlatformClient, plural: str, since: str, timeout_seconds: float
) -> Iterator[Result[WatchEvent, PlatformError]]:
    """Yield changes after a version, until the time is over or an error was yielded."""
    query = f"watch=true&resourceVersion={since}&timeoutSeconds={timeout_seconds:.0f}"
    http = _connect(client, timeout_seconds + CALL_TIMEOUT_SECONDS)
    client.count_call("watch")
    try:
        response = http.request("GET", _make_path(client, f"{plural}?{query}"))
        if response.status_code != 200:
            yield Err(_read_failure(response.status_code, response.read()))
            return
        while line := response.readline(b"\n"):
            yield _parse_event(line)
    except (OSError, HTTPParseError) as error:
        yield Err(PlatformError(PlatformFailure.UNAVAILABLE, str(error)))
    finally:
        http.close()


def _call(
    client: PlatformClient, verb: str, method: str, path: str, content: Any
) -> Result[Any, PlatformError]:
    client.count_call(verb)
    http = _connect(client, CALL_TIMEOUT_SECONDS)
    body = b"" if content is None else json.dumps(content).encode()
    headers = {"Content-Type": "application/json"} if body else {}
    try:
        response = http.request(method, _make_path(client, path), body, headers)
        answer = response.read()
    except (OSError, HTTPParseError) as error:
        return Err(PlatformError(PlatformFailure.UNAVAILABLE, str(error) or repr(error)))
    finally:
        http.close()
    if response.status_code >= 300:
        return Err(_read_failure(response.status_code, answer))
    try:
        return Ok(json.loads(answer))
    except ValueError as error:
        return Err(PlatformError(PlatformFailure.REFUSED, f"answer is not JSON: {error}"))


def _connect(client: PlatformClient, timeout_seconds: float) -> HTTPClient:
    return HTTPClient(
        client.host,
        client.port,
        concurrency=1,
        connection_timeout=CONNECT_TIMEOUT_SECONDS,
        network_timeout=timeout_seconds,
    )


def _make_path(client: PlatformClient, path: str) -> str:
    return f"{API_PREFIX}/namespaces/{client.namespace}/{path}"


def _read_failure(status: int, answer: bytes) -> PlatformError:
    default = PlatformFailure.UNAVAILABLE if status >= 500 else PlatformFailure.REFUSED
    failure = _FAILURES_BY_STATUS.get(status, default)
    return PlatformError(failure, f"HTTP {status}: {answer[:200].decode(errors='replace')}")


def _parse_object(content: Any) -> Result[PlatformObject, PlatformError]:
    try:
        return Ok(PlatformObject.model_validate(content))
    except ValidationError as error:
        return Err(PlatformError(PlatformFailure.REFUSED, f"not an object: {error}"))


def _parse_list(content: Any) -> Result[ObjectList, PlatformError]:
    try:
        return Ok(ObjectList.model_validate(content))
    except ValidationError as error:
        return Err(PlatformError(PlatformFailure.REFUSED, f"not a list: {error}"))


def _parse_event(line: bytes) -> Result[WatchEvent, PlatformError]:
    try:
        return Ok(WatchEvent.model_validate_json(line))
    except ValidationError as error:
        return Err(PlatformError(PlatformFailure.REFUSED, f"not an event: {error}"))
