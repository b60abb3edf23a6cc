"""Stand-in for the platform's store: objects, revisions, conditional writes and watches."""

import argparse
import json
import sys
from collections import Counter, deque
from collections.abc import Callable, Iterable
from copy import deepcopy
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, unquote

import gevent
import gevent.socket
from gevent.event import Event
from gevent.pywsgi import WSGIServer

from comfreyhitch.platform.client import API_PREFIX
from comfreyhitch.testing.target import SOCKET_ENVIRON_KEY, QuietHandler
from comfreyhitch.wire.sockets import is_disconnected

KEPT_EVENTS = 1000
MAX_OBJECT_BYTES = 1024 * 1024
MAX_WAIT_SECONDS = 30.0
PAGE_ITEMS = 500
DISCONNECT_CHECK_SECONDS = 0.5

StartResponse = Callable[[str, list[tuple[str, str]]], object]
Query = dict[str, str]


class ApiError(Exception):
    """Report a refused call, with its HTTP status and the content of its answer."""

    def __init__(self, status: str, content: object) -> None:
        super().__init__(status)
        self.status = status
        self.content = content


@dataclass(slots=True)
class PlatformFaults:
    """Hold the faults of the store; they are changed while it runs."""

    is_down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0


@dataclass(frozen=True, slots=True)
class ObjectId:
    """Name an object; without a name it stands for its kind."""

    kind: str
    name: str = ""
    is_status: bool = False


@dataclass(slots=True)
class StoreState:
    """Hold the objects, the recent events and the counts of calls."""

    objects_by_kind: dict[str, dict[str, dict]] = field(default_factory=dict)
    events: deque[tuple[int, str, dict]] = field(default_factory=deque)
    revision: int = 1
    oldest_revision: int = 1
    calls_by_verb: Counter[str] = field(default_factory=Counter)
    watches: int = 0
    max_watches: int = 0
    changed: Event = field(default_factory=Event)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    # What lists that may be stale still show, if they lag behind.
    stale_copy: "StaleCopy | None" = None


@dataclass(frozen=True, slots=True)
class StaleCopy:
    """Hold the objects of an earlier revision."""

    objects_by_kind: dict[str, dict[str, dict]]
    revision: int


def keep_stale_copy(state: StoreState) -> None:
    """Let lists that may be stale show what there is now, whatever changes."""
    state.stale_copy = StaleCopy(deepcopy(state.objects_by_kind), state.revision)


def make_application(
    state: StoreState,
) -> Callable[[dict[str, object], StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the store."""

    def application(environ: dict[str, object], start_response: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith("/_standin/") or path == "/healthz":
            return _serve_standin(state, environ, start_response)
        try:
            return _reply(start_response, "200 OK", _serve_api(state, environ))
        except ApiError as error:
            return _reply(start_response, error.status, error.content)

    return application


def _serve_standin(
    state: StoreState, environ: dict[str, object], start_response: StartResponse
) -> Iterable[bytes]:
    if environ["PATH_INFO"] == "/_standin/faults":
        for name, value in json.loads(environ["wsgi.input"].read()).items():
            setattr(state.faults, name, value)
        _tell_watches(state)
    if environ["PATH_INFO"] == "/_standin/compact":
        state.events.clear()
        state.oldest_revision = state.revision
    counts = {
        "calls": state.calls_by_verb,
        "watches": state.watches,
        "max_watches": state.max_watches,
        "revision": state.revision,
    }
    return _reply(start_response, "200 OK", counts)


def _serve_api(state: StoreState, environ: dict[str, object]) -> object:
    if state.faults.delay_seconds:
        gevent.sleep(state.faults.delay_seconds)
    _refuse_if_down(state)
    object_id = _parse_path(environ["PATH_INFO"])
    query = dict(parse_qsl(environ["QUERY_STRING"]))
    method = environ["REQUEST_METHOD"]
    verb = _get_verb(method, object_id, query)
    state.calls_by_verb[verb] += 1
    if method == "GET":
        return _read(state, object_id, query, environ[SOCKET_ENVIRON_KEY])
    content = _write(state, method, object_id, query, environ)
    if state.faults.lost_answers > 0:
        state.faults.lost_answers -= 1
        raise ConnectionAbortedError("the answer is lost after the write took effect")
    return content


def _refuse_if_down(state: StoreState) -> None:
    if state.faults.is_down:
        raise ApiError("503 Service Unavailable", {"Error": "the store is down"})


def _get_verb(method: str, object_id: ObjectId, query: Query) -> str:
    if method != "GET":
        return method.lower()
    if "Watch" in query:
        return "watch"
    return "get" if object_id.name else "list"


def _read(
    state: StoreState, object_id: ObjectId, query: Query, sock: gevent.socket.socket
) -> object:
    if "Watch" in query:
        return _watch(state, object_id.kind, query, sock)
    return _get(state, object_id) if object_id.name else _list(state, object_id.kind, query)


def _write(
    state: StoreState,
    method: str,
    object_id: ObjectId,
    query: Query,
    environ: dict[str, object],
) -> object:
    if method == "DELETE":
        return _delete(state, object_id, query)
    body = environ["wsgi.input"].read(MAX_OBJECT_BYTES + 1)
    if len(body) > MAX_OBJECT_BYTES:
        detail = f"objects hold up to {MAX_OBJECT_BYTES} bytes"
        raise ApiError("413 Content Too Large", {"Error": detail})
    content = json.loads(body)
    if method == "POST":
        return _create(state, object_id.kind, content)
    if method == "PUT":
        return _update(state, object_id, content)
    raise ApiError("405 Method Not Allowed", {"Error": method})


def _list(state: StoreState, kind: str, query: Query) -> dict:
    after = query.get("after", "")
    may_be_stale = "Serializable" in query and state.stale_copy is not None
    source = state.stale_copy if may_be_stale else state
    named = sorted(source.objects_by_kind.get(kind, {}).items())
    found = [item for name, item in named if name > after]
    return {
        "items": found[:PAGE_ITEMS],
        "HasMore": len(found) > PAGE_ITEMS,
        "StoreRevision": source.revision,
    }


def _get(state: StoreState, object_id: ObjectId) -> dict:
    found = state.objects_by_kind.get(object_id.kind, {}).get(object_id.name)
    if found is None:
        raise ApiError("404 Not Found", {"Error": f"{object_id.kind}/{object_id.name}"})
    return found


def _create(state: StoreState, kind: str, content: dict) -> dict:
    name = content["Metadata"]["Name"]
    held = state.objects_by_kind.setdefault(kind, {}).get(name)
    if held is not None:
        raise ApiError("409 Conflict", held)
    created = {
        "Metadata": {
            "Name": name,
            "CreateRevision": state.revision + 1,
            "Finalizers": content["Metadata"].get("Finalizers", []),
            "Deleting": False,
        },
        "Spec": content.get("Spec"),
        "Status": content.get("Status"),
    }
    return _keep(state, kind, created)


def _update(state: StoreState, object_id: ObjectId, content: dict) -> dict:
    current = _get(state, object_id)
    _check_revision(current, content["Metadata"].get("Rev"))
    updated = deepcopy(current)
    if object_id.is_status:
        updated["Status"] = content.get("Status")
    else:
        updated["Spec"] = content.get("Spec")
        updated["Metadata"]["Finalizers"] = content["Metadata"].get("Finalizers", [])
    if updated == current:
        return current
    if updated["Metadata"]["Deleting"] and not updated["Metadata"]["Finalizers"]:
        return _remove(state, object_id.kind, updated)
    return _keep(state, object_id.kind, updated)


def _delete(state: StoreState, object_id: ObjectId, query: Query) -> dict:
    current = _get(state, object_id)
    _check_revision(current, int(query["Rev"]) if "Rev" in query else None)
    if not current["Metadata"]["Finalizers"]:
        return _remove(state, object_id.kind, deepcopy(current))
    marked = deepcopy(current)
    marked["Metadata"]["Deleting"] = True
    return _keep(state, object_id.kind, marked)


def _check_revision(current: dict, expected: int | None) -> None:
    if expected is not None and expected != current["Metadata"]["Rev"]:
        raise ApiError("409 Conflict", current)


def _keep(state: StoreState, kind: str, content: dict) -> dict:
    state.revision += 1
    content["Metadata"]["Rev"] = state.revision
    state.objects_by_kind.setdefault(kind, {})[content["Metadata"]["Name"]] = content
    _add_event(state, kind, content, is_deleted=False)
    return content


def _remove(state: StoreState, kind: str, content: dict) -> dict:
    state.revision += 1
    content["Metadata"]["Rev"] = state.revision
    del state.objects_by_kind[kind][content["Metadata"]["Name"]]
    _add_event(state, kind, content, is_deleted=True)
    return content


def _add_event(state: StoreState, kind: str, content: dict, *, is_deleted: bool) -> None:
    event = {"Deleted": is_deleted, "Object": deepcopy(content)}
    state.events.append((state.revision, kind, event))
    while len(state.events) > KEPT_EVENTS:
        state.oldest_revision = state.events.popleft()[0]
    _tell_watches(state)


def _tell_watches(state: StoreState) -> None:
    changed, state.changed = state.changed, Event()
    changed.set()


def _watch(state: StoreState, kind: str, query: Query, sock: gevent.socket.socket) -> dict:
    since = int(query["Watch"])
    if since < state.oldest_revision:
        raise ApiError("410 Gone", {"Error": f"the history after {since} is gone"})
    state.watches += 1
    state.max_watches = max(state.max_watches, state.watches)
    try:
        with gevent.Timeout(min(MAX_WAIT_SECONDS, int(query.get("WaitMs", "0")) / 1000), False):
            while not state.faults.is_down and not _find_events(state, kind, since):
                if is_disconnected(sock):
                    break
                state.changed.wait(DISCONNECT_CHECK_SECONDS)
    finally:
        state.watches -= 1
    _refuse_if_down(state)
    return {"events": _find_events(state, kind, since), "StoreRevision": state.revision}


def _find_events(state: StoreState, kind: str, since: int) -> list[dict]:
    return [event for revision, held, event in state.events if held == kind and revision > since]


def _parse_path(path: str) -> ObjectId:
    parts = [unquote(part) for part in path.removeprefix(API_PREFIX).strip("/").split("/")]
    if not path.startswith(API_PREFIX + "/") or not 1 <= len(parts) <= 3:
        raise ApiError("404 Not Found", {"Error": f"no such path: {path}"})
    name = parts[1] if len(parts) > 1 else ""
    return ObjectId(parts[0], name, is_status=parts[2:] == ["status"])


def _reply(start_response: StartResponse, status: str, content: object) -> list[bytes]:
    start_response(status, [("Content-Type", "application/json")])
    return [json.dumps(content).encode()]


def main() -> int:
    """Run the stand-in store until it is ended."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform's store")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    server = WSGIServer(
        (arguments.host, arguments.port),
        make_application(StoreState()),
        handler_class=QuietHandler,
        log=None,
        backlog=512,
    )
    server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
