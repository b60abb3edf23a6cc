"""Stand-in for the platform's object API, after the Kubernetes API conventions."""

import argparse
import json
import sys
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from copy import deepcopy
from dataclasses import dataclass, field

import gevent
import gevent.socket
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from comfreyhitch.platform.client import API_PREFIX
from comfreyhitch.testing.target import SOCKET_ENVIRON_KEY, QuietHandler
from comfreyhitch.wire.sockets import is_disconnected

KEPT_EVENTS = 1000
MAX_OBJECT_BYTES = 1024 * 1024
MAX_WATCH_SECONDS = 300.0
DISCONNECT_CHECK_SECONDS = 0.5

StartResponse = Callable[[str, list[tuple[str, str]]], object]
ObjectId = tuple[str, str, str]


class ApiError(Exception):
    """Report a refused call, with its HTTP status."""

    def __init__(self, status: str, message: str) -> None:
        super().__init__(message)
        self.status = status


@dataclass(slots=True)
class PlatformFaults:
    """Hold the faults of the platform; they are changed while it runs."""

    is_down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0


@dataclass(slots=True)
class PlatformState:
    """Hold the objects, the recent events and the counts of calls."""

    objects_by_id: dict[ObjectId, dict] = field(default_factory=dict)
    events: deque[tuple[int, ObjectId, str, dict]] = field(
        default_factory=lambda: deque(maxlen=KEPT_EVENTS)
    )
    version: int = 0
    calls_by_verb: Counter[str] = field(default_factory=Counter)
    watches: int = 0
    max_watches: int = 0
    changed: Event = field(default_factory=Event)
    faults: PlatformFaults = field(default_factory=PlatformFaults)


def make_application(
    state: PlatformState,
) -> Callable[[dict[str, object], StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the platform."""

    def application(environ: dict[str, object], start_response: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith("/_standin/") or path == "/healthz":
            return _serve_standin(state, environ, start_response)
        try:
            return _serve_api(state, environ, start_response)
        except ApiError as error:
            return _reply(start_response, error.status, {"kind": "Status", "message": str(error)})

    return application


def _serve_standin(
    state: PlatformState, environ: dict[str, object], start_response: StartResponse
) -> Iterable[bytes]:
    if environ["PATH_INFO"] == "/_standin/faults":
        for name, value in json.loads(environ["wsgi.input"].read()).items():
            setattr(state.faults, name, value)
        state.changed.set()
    return _reply(
        start_response,
        "200 OK",
        {
            "calls": state.calls_by_verb,
            "watches": state.watches,
            "max_watches": state.max_watches,
            "version": state.version,
        },
    )


def _serve_api(
    state: PlatformState, environ: dict[str, object], start_response: StartResponse
) -> Iterable[bytes]:
    if state.faults.delay_seconds:
        gevent.sleep(state.faults.delay_seconds)
    if state.faults.is_down:
        raise ApiError("503 Service Unavailable", "the platform is down")
    namespace, kind, name, is_status = _parse_path(environ["PATH_INFO"])
    method = environ["REQUEST_METHOD"]
    query = _parse_query(environ["QUERY_STRING"])
    if method == "GET" and query.get("watch") == "true":
        state.calls_by_verb["watch"] += 1
        return _start_watch(state, namespace, kind, query, environ, start_response)
    verb = "list" if method == "GET" and name is None else method.lower()
    state.calls_by_verb[verb] += 1
    content = _call(state, method, (namespace, kind, name or ""), is_status, environ)
    if method != "GET" and state.faults.lost_answers > 0:
        state.faults.lost_answers -= 1
        raise ConnectionAbortedError("the answer is lost after the write took effect")
    return _reply(start_response, "200 OK", content)


def _call(
    state: PlatformState,
    method: str,
    object_id: ObjectId,
    is_status: bool,
    environ: dict[str, object],
) -> dict:
    if method == "GET":
        return _list(state, object_id) if not object_id[2] else _get(state, object_id)
    if method == "DELETE":
        return _delete(state, object_id)
    body = environ["wsgi.input"].read(MAX_OBJECT_BYTES + 1)
    if len(body) > MAX_OBJECT_BYTES:
        raise ApiError("413 Content Too Large", f"objects hold up to {MAX_OBJECT_BYTES} bytes")
    content = json.loads(body)
    if method == "POST":
        return _create(state, object_id, content)
    if method == "PUT":
        return _update(state, object_id, content, is_status)
    raise ApiError("405 Method Not Allowed", method)


def _list(state: PlatformState, object_id: ObjectId) -> dict:
    namespace, kind, _ = object_id
    items = [
        item for key, item in sorted(state.objects_by_id.items()) if key[:2] == (namespace, kind)
    ]
    return {"metadata": {"resourceVersion": str(state.version)}, "items": items}


def _get(state: PlatformState, object_id: ObjectId) -> dict:
    if object_id not in state.objects_by_id:
        raise ApiError("404 Not Found", f"{object_id[1]} {object_id[2]} not found")
    return state.objects_by_id[object_id]


def _create(state: PlatformState, object_id: ObjectId, content: dict) -> dict:
    namespace, kind, _ = object_id
    object_id = (namespace, kind, content["metadata"]["name"])
    if object_id in state.objects_by_id:
        raise ApiError("409 Conflict", f"{kind} {object_id[2]} already exists")
    created = deepcopy(content)
    created["metadata"]["generation"] = 1
    created.setdefault("status", {})
    return _store(state, object_id, "ADDED", created)


def _update(state: PlatformState, object_id: ObjectId, content: dict, is_status: bool) -> dict:
    current = _get(state, object_id)
    expected = content["metadata"].get("resourceVersion")
    if expected is not None and expected != current["metadata"]["resourceVersion"]:
        raise ApiError("409 Conflict", f"{object_id[1]} {object_id[2]} was changed by another")
    updated = deepcopy(current)
    if is_status:
        updated["status"] = content.get("status", {})
    else:
        if updated.get("spec") != content.get("spec"):
            updated["metadata"]["generation"] += 1
        updated["spec"] = content.get("spec", {})
        updated["metadata"]["annotations"] = content["metadata"].get("annotations", {})
    return _store(state, object_id, "MODIFIED", updated)


def _delete(state: PlatformState, object_id: ObjectId) -> dict:
    current = deepcopy(_get(state, object_id))
    _store(state, object_id, "DELETED", current)
    del state.objects_by_id[object_id]
    return current


def _store(state: PlatformState, object_id: ObjectId, event: str, content: dict) -> dict:
    state.version += 1
    content["metadata"]["resourceVersion"] = str(state.version)
    state.objects_by_id[object_id] = content
    state.events.append((state.version, object_id, event, content))
    state.changed.set()
    state.changed = Event()
    return content


def _start_watch(
    state: PlatformState,
    namespace: str,
    kind: str,
    query: dict[str, str],
    environ: dict[str, object],
    start_response: StartResponse,
) -> Iterator[bytes]:
    since = int(query.get("resourceVersion", "0"))
    oldest = state.events[0][0] if state.events else state.version + 1
    if since + 1 < oldest and since < state.version:
        raise ApiError("410 Gone", f"version {since} is too old")
    seconds = min(MAX_WATCH_SECONDS, float(query.get("timeoutSeconds", "60")))
    start_response("200 OK", [("Content-Type", "application/json")])
    sock = environ[SOCKET_ENVIRON_KEY]
    return _watch(state, namespace, kind, since, seconds, sock)


def _watch(
    state: PlatformState,
    namespace: str,
    kind: str,
    since: int,
    seconds: float,
    sock: gevent.socket.socket,
) -> Iterator[bytes]:
    state.watches += 1
    state.max_watches = max(state.max_watches, state.watches)
    try:
        with gevent.Timeout(seconds, False):
            while not state.faults.is_down and not is_disconnected(sock):
                changed = state.changed
                for version, object_id, event, content in list(state.events):
                    if version > since and object_id[:2] == (namespace, kind):
                        yield json.dumps({"type": event, "object": content}).encode() + b"\n"
                since = max(since, state.version)
                changed.wait(DISCONNECT_CHECK_SECONDS)
    finally:
        state.watches -= 1


def _parse_path(path: str) -> tuple[str, str, str | None, bool]:
    prefix = f"{API_PREFIX}/namespaces/"
    parts = path.removeprefix(prefix).strip("/").split("/")
    if not path.startswith(prefix) or not 2 <= len(parts) <= 4:
        raise ApiError("404 Not Found", f"no such path: {path}")
    name = parts[2] if len(parts) > 2 else None
    return parts[0], parts[1], name, len(parts) == 4 and parts[3] == "status"


def _parse_query(text: str) -> dict[str, str]:
    pairs = (part.partition("=") for part in text.split("&") if part)
    return {name: value for name, _, value in pairs}


def _reply(start_response: StartResponse, status: str, content: object) -> list[bytes]:
    start_response(status, [("Content-Type", "application/json")])
    return [json.dumps(content).encode()]


def main() -> int:
    """Run the stand-in platform until it is ended."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform's object API")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    server = WSGIServer(
        (arguments.host, arguments.port),
        make_application(PlatformState()),
        handler_class=QuietHandler,
        log=None,
        backlog=512,
    )
    server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
