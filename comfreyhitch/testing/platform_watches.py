"""Serve the watches of the stand-in for the platform's store."""

import errno

import gevent
import gevent.socket

from comfreyhitch.testing.platform_objects import (
    ApiError,
    Query,
    StoreState,
    raise_if_down,
)
from comfreyhitch.wire.sockets import is_disconnected

MAX_WAIT_SECONDS = 30.0
DISCONNECT_CHECK_SECONDS = 0.5
SILENCE_CHECK_SECONDS = 0.05


def watch(state: StoreState, kind: str, query: Query, sock: gevent.socket.socket) -> dict:
    """Return the events of a kind after a revision, waiting for them if there are none yet."""
    since = int(query["Watch"])
    if not state.oldest_revision <= since <= state.revision:
        raise ApiError("410 Gone", {"Error": f"no history from {since} on"})
    era = state.era
    cuts = state.watch_cuts
    state.watches += 1
    state.max_watches = max(state.max_watches, state.watches)
    try:
        with gevent.Timeout(min(MAX_WAIT_SECONDS, int(query.get("WaitMs", "0")) / 1000), False):
            while _must_wait(state, era, kind, since) and state.watch_cuts == cuts:
                if is_disconnected(sock):
                    break
                state.change_event.wait(DISCONNECT_CHECK_SECONDS)
        _wait_in_silence(state, cuts, sock)
    finally:
        state.watches -= 1
    if state.era != era:
        # The server closes the connection without a response on this error.
        raise ConnectionResetError(errno.ECONNRESET, "watch cut by the restored copy")
    raise_if_down(state)
    return {"events": find_events(state, kind, since), "StoreRevision": state.revision}


def _wait_in_silence(state: StoreState, cuts: int, sock: gevent.socket.socket) -> None:
    """Wait until the caller gives up, if the watch hears nothing or was cut off."""
    while state.faults.are_watches_silent or state.watch_cuts != cuts:
        if is_disconnected(sock):
            return
        gevent.sleep(SILENCE_CHECK_SECONDS)


def find_events(state: StoreState, kind: str, since: int) -> list[dict]:
    """Return the events of a kind after a revision."""
    return [
        event
        for revision, event_kind, event in state.events
        if event_kind == kind and revision > since
    ]


def _must_wait(state: StoreState, era: int, kind: str, since: int) -> bool:
    is_cut = state.faults.is_down or state.era != era
    return not is_cut and not find_events(state, kind, since)
