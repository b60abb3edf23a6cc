"""Run the store's stand-in; reads that may be stale get data that is some seconds old."""

import argparse
import json
import sys
import time
from collections.abc import Callable, Iterable
from copy import deepcopy
from urllib.parse import parse_qsl

import gevent
from gevent.pywsgi import WSGIServer

from comfreyhitch.platform.client import API_PREFIX
from comfreyhitch.testing.platform import make_application
from comfreyhitch.testing.platform_objects import StoreState
from comfreyhitch.testing.platform_watches import find_events
from comfreyhitch.testing.target import QuietHandler

POLL_SECONDS = 0.02
KEEP_SECONDS = 60.0

Application = Callable[[dict[str, object], Callable[..., object]], Iterable[bytes]]


class LateCopy:
    """Hold what the store knew at each moment of the last minute."""

    def __init__(self, state: StoreState, lag_seconds: float) -> None:
        self._state = state
        self._lag_seconds = lag_seconds
        self._moments = [(0.0, state.revision, deepcopy(state.objects_by_kind))]

    def note(self) -> None:
        """Keep the present content if it has changed."""
        now = time.monotonic()
        if self._state.revision != self._moments[-1][1]:
            content = deepcopy(self._state.objects_by_kind)
            self._moments.append((now, self._state.revision, content))
        while len(self._moments) > 1 and self._moments[1][0] < now - KEEP_SECONDS:
            del self._moments[0]

    def read(self) -> tuple[int, dict[str, dict[str, dict]]]:
        """Return the revision and the objects of some seconds ago."""
        until = time.monotonic() - self._lag_seconds
        known = [moment for moment in self._moments if moment[0] <= until]
        _, revision, content = known[-1]
        return revision, content


def make_late_application(state: StoreState, copy: LateCopy) -> Application:
    """Return the application of the store, which answers reads with `Serializable` late."""
    usual = make_application(state)

    def application(environ: dict[str, object], start_response: Callable) -> Iterable[bytes]:
        query = dict(parse_qsl(str(environ["QUERY_STRING"])))
        path = str(environ["PATH_INFO"])
        if environ["REQUEST_METHOD"] != "GET" or "Serializable" not in query:
            answer = usual(environ, start_response)
            copy.note()
            return answer
        kind, _, name = path.removeprefix(API_PREFIX + "/").partition("/")
        status, content = "200 OK", {}
        if "Watch" in query:
            status, content = _watch(state, copy, kind, query)
        else:
            revision, objects = copy.read()
            found = objects.get(kind, {})
            content = {"items": list(found.values()), "HasMore": False, "StoreRevision": revision}
            if name:
                content = found.get(name)
                status = "200 OK" if content is not None else "404 Not Found"
        start_response(status, [("Content-Type", "application/json")])
        return [json.dumps(content).encode()]

    return application


def _watch(
    state: StoreState, copy: LateCopy, kind: str, query: dict[str, str]
) -> tuple[str, dict[str, object]]:
    since = int(query["Watch"])
    if since < state.oldest_revision:
        return "410 Gone", {"Error": f"no history from {since} on"}
    give_up_at = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
    while True:
        revision, _ = copy.read()
        events = [
            event
            for event in find_events(state, kind, since)
            if event["Object"]["Metadata"]["Rev"] <= revision
        ]
        if events or time.monotonic() >= give_up_at:
            return "200 OK", {"events": events, "StoreRevision": max(since, revision)}
        gevent.sleep(POLL_SECONDS)


def main() -> int:
    """Run the store until the process is killed."""
    parser = argparse.ArgumentParser(description="Stand-in store with late reads")
    parser.add_argument("--host", required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--lag-seconds", type=float, default=0.0)
    arguments = parser.parse_args()
    state = StoreState()
    copy = LateCopy(state, arguments.lag_seconds)
    server = WSGIServer(
        (arguments.host, arguments.port),
        make_late_application(state, copy),
        handler_class=QuietHandler,
        log=None,
        backlog=512,
    )
    server.serve_forever()
    return 0


if __name__ == "__main__":
    sys.exit(main())
