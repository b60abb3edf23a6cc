"""Run a stand-in for the platform's store, with conditional writes and watches."""

import argparse
import json
import sys
from collections.abc import Callable, Iterable
from urllib.parse import parse_qsl, unquote

import gevent
import gevent.socket
from gevent.pywsgi import WSGIServer

from comfreyhitch.platform.client import API_PREFIX
from comfreyhitch.platform.names import PATH_USAGE
from comfreyhitch.testing.platform_copies import restore_copy, take_copy
from comfreyhitch.testing.platform_duty import DutyState, handle_usage_call
from comfreyhitch.testing.platform_objects import (
    ApiError,
    ObjectId,
    Query,
    StoreState,
    create_object,
    delete_object,
    get_object,
    get_read_source,
    list_page,
    notify_watches,
    raise_if_down,
    record_moment,
    update_object,
)
from comfreyhitch.testing.platform_watches import watch
from comfreyhitch.testing.target import SOCKET_ENVIRON_KEY, QuietHandler

MAX_OBJECT_BYTES = 1024 * 1024
ERA_HEADER = "Store-Era"

StartResponse = Callable[[str, list[tuple[str, str]]], object]


def make_application(
    state: StoreState,
) -> Callable[[dict[str, object], StartResponse], Iterable[bytes]]:
    """Return the WSGI application of the store, with the address of the usage duty."""
    duty = DutyState()

    def application(environ: dict[str, object], start_response: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == PATH_USAGE:
            return handle_usage_call(duty, environ, start_response)
        if path == "/_standin/usage":
            return _serve_usage(duty, environ, start_response)
        if path.startswith("/_standin/") or path == "/healthz":
            return _serve_standin(state, environ, start_response)
        try:
            return _reply(state, start_response, "200 OK", _serve_api(state, environ))
        except ApiError as error:
            return _reply(state, start_response, error.status, error.content)

    return application


def _serve_usage(
    duty: DutyState, environ: dict[str, object], start_response: StartResponse
) -> Iterable[bytes]:
    """Change the faults of the duty if the request says so, and return its calls."""
    for name, value in json.loads(environ["wsgi.input"].read() or b"{}").items():
        setattr(duty.faults, name, value)
    start_response("200 OK", [("Content-Type", "application/json")])
    return [json.dumps(duty.calls).encode()]


def _serve_standin(
    state: StoreState, environ: dict[str, object], start_response: StartResponse
) -> Iterable[bytes]:
    if environ["PATH_INFO"] == "/_standin/faults":
        for name, value in json.loads(environ["wsgi.input"].read()).items():
            setattr(state.faults, name, value)
        record_moment(state)
        notify_watches(state)
    if environ["PATH_INFO"] == "/_standin/compact":
        state.events.clear()
        state.oldest_revision = state.revision
    if environ["PATH_INFO"] == "/_standin/copy":
        take_copy(state)
    if environ["PATH_INFO"] == "/_standin/restore":
        restore_copy(state)
    counts = {
        "calls": state.calls_by_verb,
        "watches": state.watches,
        "max_watches": state.max_watches,
        "revision": state.revision,
        "era": state.era,
    }
    return _reply(state, start_response, "200 OK", counts)


def _serve_api(state: StoreState, environ: dict[str, object]) -> object:
    if state.faults.delay_seconds:
        gevent.sleep(state.faults.delay_seconds)
    raise_if_down(state)
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
        raise ConnectionAbortedError(
            "injected fault: the response is dropped after the write took effect"
        )
    return content


def _get_verb(method: str, object_id: ObjectId, query: Query) -> str:
    if method != "GET":
        return method.lower()
    if "Watch" in query:
        return "watch" if "Serializable" in query else "linearizable watch"
    return "get" if object_id.name else "list"


def _read(
    state: StoreState, object_id: ObjectId, query: Query, sock: gevent.socket.socket
) -> object:
    if "Watch" in query:
        return watch(state, object_id.kind, query, sock)
    if object_id.name:
        return get_object(get_read_source(state, query), object_id)
    return list_page(state, object_id.kind, query)


def _write(
    state: StoreState,
    method: str,
    object_id: ObjectId,
    query: Query,
    environ: dict[str, object],
) -> object:
    if method == "DELETE":
        return delete_object(state, object_id, query)
    body = environ["wsgi.input"].read(MAX_OBJECT_BYTES + 1)
    if len(body) > MAX_OBJECT_BYTES:
        detail = f"objects hold up to {MAX_OBJECT_BYTES} bytes"
        raise ApiError("413 Content Too Large", {"Error": detail})
    content = json.loads(body)
    if method == "POST":
        return create_object(state, object_id.kind, content)
    if method == "PUT":
        return update_object(state, object_id, content)
    raise ApiError("405 Method Not Allowed", {"Error": method})


def _parse_path(path: str) -> ObjectId:
    parts = [unquote(part) for part in path.removeprefix(API_PREFIX).strip("/").split("/")]
    if not path.startswith(API_PREFIX + "/") or not 1 <= len(parts) <= 3:
        raise ApiError("404 Not Found", {"Error": f"no such path: {path}"})
    name = parts[1] if len(parts) > 1 else ""
    return ObjectId(parts[0], name, is_status=parts[2:] == ["status"])


def _reply(
    state: StoreState, start_response: StartResponse, status: str, content: object
) -> list[bytes]:
    headers = [("Content-Type", "application/json"), (ERA_HEADER, str(state.era))]
    start_response(status, headers)
    return [json.dumps(content).encode()]


def main() -> int:
    """Run the stand-in store until the process is killed."""
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
