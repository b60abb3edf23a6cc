"""Keep the objects, revisions and events of the stand-in for the platform's store."""

import time
from collections import Counter, deque
from copy import deepcopy
from dataclasses import dataclass, field

from gevent.event import Event

MAX_EVENTS = 1000
MAX_MOMENTS = 1000
MAX_PAGE_ITEMS = 500

Query = dict[str, str]


class ApiError(Exception):
    """Report a rejected API call, with the HTTP status and content of its response."""

    def __init__(self, status: str, content: object) -> None:
        super().__init__(status)
        self.status = status
        self.content = content


@dataclass(slots=True)
class PlatformFaults:
    """Hold the injected faults of the store, which can be changed while it runs."""

    is_down: bool = False
    delay_seconds: float = 0.0
    lost_answers: int = 0
    # Whether watches hear nothing, neither of changes nor that their time is over.
    are_watches_silent: bool = False
    # Age of what reads return that allow stale data.
    stale_read_seconds: float = 0.0
    # Whether linearizable watches are refused, as calls beyond the rate are.
    refuses_linearizable_watches: bool = False


@dataclass(frozen=True, slots=True)
class ObjectId:
    """Identify an object, or all objects of a kind if the name is empty."""

    kind: str
    name: str = ""
    is_status: bool = False


@dataclass(slots=True)
class StoreState:
    """Hold the objects, the recent events and the call counts of the store."""

    objects_by_kind: dict[str, dict[str, dict]] = field(default_factory=dict)
    events: deque[tuple[int, str, dict]] = field(default_factory=deque)
    revision: int = 1
    oldest_revision: int = 1
    calls_by_verb: Counter[str] = field(default_factory=Counter)
    watches: int = 0
    max_watches: int = 0
    change_event: Event = field(default_factory=Event)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    # Objects that lists return if they allow stale data; if None, they return current ones.
    stale_snapshot: "StoreSnapshot | None" = None
    # What the store held at recent moments, recorded while stale reads have an age.
    moments: deque["Moment"] = field(default_factory=deque)
    # Rises by one each time when the waiting watches are cut off silently.
    watch_cuts: int = 0
    # Rises by one each time when the store comes back from a copy.
    era: int = 1
    copy: "StoreCopy | None" = None


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Hold the objects of an earlier revision."""

    objects_by_kind: dict[str, dict[str, dict]]
    revision: int


@dataclass(frozen=True, slots=True)
class Moment:
    """Hold what the store held from a moment on, in monotonic seconds."""

    recorded_at: float
    snapshot: StoreSnapshot


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold all that the store knew at an earlier moment, to come back from it."""

    objects_by_kind: dict[str, dict[str, dict]]
    events: tuple[tuple[int, str, dict], ...]
    revision: int
    oldest_revision: int


def drop_history(state: StoreState) -> None:
    """Discard the history, and cut the waiting watches off, which then are never answered."""
    state.events.clear()
    state.oldest_revision = state.revision
    state.watch_cuts += 1
    notify_watches(state)


def take_stale_snapshot(state: StoreState) -> None:
    """Take a snapshot of the current objects, which lists that allow stale data then return."""
    state.stale_snapshot = StoreSnapshot(deepcopy(state.objects_by_kind), state.revision)


def record_moment(state: StoreState) -> None:
    """Record what the store holds now, for reads that get it later."""
    # Objects are replaced and never changed, so that their dictionaries need no deep copy.
    objects_by_kind = {kind: dict(items) for kind, items in state.objects_by_kind.items()}
    snapshot = StoreSnapshot(objects_by_kind, state.revision)
    state.moments.append(Moment(time.monotonic(), snapshot))
    while len(state.moments) > MAX_MOMENTS:
        state.moments.popleft()


def get_read_source(state: StoreState, query: Query) -> "StoreState | StoreSnapshot":
    """Return what a read sees: an earlier state if its query allows stale data."""
    if "Serializable" not in query or not state.faults.stale_read_seconds:
        return state
    until = time.monotonic() - state.faults.stale_read_seconds
    known = [moment for moment in state.moments if moment.recorded_at <= until]
    return (known or state.moments)[-1 if known else 0].snapshot


def list_page(state: StoreState, kind: str, query: Query) -> dict:
    """Return a page of a kind's objects, from an earlier state if the query allows it."""
    after = query.get("after", "")
    source = get_read_source(state, query)
    if "Serializable" in query and state.stale_snapshot is not None:
        source = state.stale_snapshot
    named = sorted(source.objects_by_kind.get(kind, {}).items())
    found = [item for name, item in named if name > after]
    return {
        "items": found[:MAX_PAGE_ITEMS],
        "HasMore": len(found) > MAX_PAGE_ITEMS,
        "StoreRevision": source.revision,
    }


def get_object(state: "StoreState | StoreSnapshot", object_id: ObjectId) -> dict:
    """Return an object; raise `ApiError` if it does not exist."""
    found = state.objects_by_kind.get(object_id.kind, {}).get(object_id.name)
    if found is None:
        raise ApiError("404 Not Found", {"Error": f"{object_id.kind}/{object_id.name}"})
    return found


def create_object(state: StoreState, kind: str, content: dict) -> dict:
    """Create an object; raise `ApiError` if its name is taken."""
    name = content["Metadata"]["Name"]
    existing = state.objects_by_kind.setdefault(kind, {}).get(name)
    if existing is not None:
        raise ApiError("409 Conflict", existing)
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
    return _store_object(state, kind, created)


def update_object(state: StoreState, object_id: ObjectId, content: dict) -> dict:
    """Replace an object's spec or status; raise `ApiError` if its revision has changed."""
    current = get_object(state, object_id)
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
        return _remove_object(state, object_id.kind, updated)
    return _store_object(state, object_id.kind, updated)


def delete_object(state: StoreState, object_id: ObjectId, query: Query) -> dict:
    """Remove an object, or mark it as being deleted if it has finalizers."""
    current = get_object(state, object_id)
    _check_revision(current, int(query["Rev"]) if "Rev" in query else None)
    if not current["Metadata"]["Finalizers"]:
        return _remove_object(state, object_id.kind, deepcopy(current))
    marked = deepcopy(current)
    marked["Metadata"]["Deleting"] = True
    return _store_object(state, object_id.kind, marked)


def _check_revision(current: dict, expected: int | None) -> None:
    if expected is not None and expected != current["Metadata"]["Rev"]:
        raise ApiError("409 Conflict", current)


def _store_object(state: StoreState, kind: str, content: dict) -> dict:
    state.revision += 1
    content["Metadata"]["Rev"] = state.revision
    state.objects_by_kind.setdefault(kind, {})[content["Metadata"]["Name"]] = content
    _add_event(state, kind, content, is_deleted=False)
    return content


def _remove_object(state: StoreState, kind: str, content: dict) -> dict:
    state.revision += 1
    content["Metadata"]["Rev"] = state.revision
    del state.objects_by_kind[kind][content["Metadata"]["Name"]]
    _add_event(state, kind, content, is_deleted=True)
    return content


def _add_event(state: StoreState, kind: str, content: dict, *, is_deleted: bool) -> None:
    event = {"Deleted": is_deleted, "Object": deepcopy(content)}
    state.events.append((state.revision, kind, event))
    while len(state.events) > MAX_EVENTS:
        state.oldest_revision = state.events.popleft()[0]
    if state.faults.stale_read_seconds:
        record_moment(state)
    notify_watches(state)


def notify_watches(state: StoreState) -> None:
    """Wake the waiting watches, so that they look for new events."""
    change_event, state.change_event = state.change_event, Event()
    change_event.set()


def raise_if_down(state: StoreState) -> None:
    """Raise `ApiError` while the injected fault keeps the store down."""
    if state.faults.is_down:
        raise ApiError("503 Service Unavailable", {"Error": "the store is down"})
