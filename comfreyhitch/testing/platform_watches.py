"""Serve the watches of the stand-in for the platform's store."""

import errno

import gevent
import gevent.socket

from comfreyhitch.testing.platform_objects import (
    ApiError,
    Query,
    StoreState,
    get_read_source,
    raise_if_down,
)
from comfreyhitch.wire.sockets import is_disconnected

MAX_WAIT_SECONDS = 30.0
DISCONNECT_CHECK_SECONDS = 0.5
SILENCE_CHECK_SECONDS = 0.05
STALE_CHECK_SECONDS = 0.02


def watch(state: StoreState, kind: str, query: Query, sock: gevent.socket.socket) -> dict:
    """Return the events of a kind after a revision, waiting for them if there are none yet."""
    since = int(query["Watch"])
    if not state.oldest_revision <= since <= state.revision:
        raise ApiError("410 Gone", {"Error": f"no history from {since} on"})
    if "Serializable" not in query and state.faults.refuses_linearizable_watches:
        raise ApiError("429 Too Many Requests", {"Error": "too many calls"})
    era = state.era
    cuts = state.watch_cuts
    state.watches += 1
    state.max_watches = max(state.max_watches, state.watches)
    try:
        with gevent.Timeout(min(MAX_WAIT_SECONDS, int(query.get("WaitMs", "0")) / 1000), False):
            while _must_wait(state, era, kind, query) and state.watch_cuts == cuts:
                if is_disconnected(sock):
                    break
                state.change_event.wait(_get_check_seconds(state, query))
        _wait_in_silence(state, cuts, sock)
    finally:
        state.watches -= 1
    if state.era != era:
        # The server closes the connection without a response on this error.
        raise ConnectionResetError(errno.ECONNRESET, "watch cut by the restored copy")
    raise_if_down(state)
    revision = get_read_source(state, query).revision
    return {
        "events": find_events(state, kind, since, revision),
        "StoreRevision": max(since, revision),
    }


def _wait_in_silence(state: StoreState, cuts: int, sock: gevent.socket.socket) -> None:
    """Wait until the caller gives up, if the watch hears nothing or was cut off."""
    while state.faults.are_watches_silent or state.watch_cuts != cuts:
        if is_disconnected(sock):
            return
        gevent.sleep(SILENCE_CHECK_SECONDS)


def find_events(state: StoreState, kind: str, since: int, until: int | None = None) -> list[dict]:
    """Return the events of a kind after a revision, and up to another one."""
    last = state.revision if until is None else until
    return [
        event
        for revision, event_kind, event in state.events
        if event_kind == kind and since < revision <= last
    ]


def _must_wait(state: StoreState, era: int, kind: str, query: Query) -> bool:
    if state.faults.is_down or state.era != era:
        return False
    until = get_read_source(state, query).revision
    return not find_events(state, kind, int(query["Watch"]), until)


def _get_check_seconds(state: StoreState, query: Query) -> float:
    is_late = "Serializable" in query and state.faults.stale_read_seconds
    return STALE_CHECK_SECONDS if is_late else DISCONNECT_CHECK_SECONDS
