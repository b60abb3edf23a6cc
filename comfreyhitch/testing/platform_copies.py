"""Copy the contents of the stand-in for the platform's store, and bring them back later."""

from collections import deque
from copy import deepcopy

from comfreyhitch.testing.platform_objects import StoreCopy, StoreState, notify_watches


def take_copy(state: StoreState) -> None:
    """Keep a copy of the objects, the history and the revision counter of this moment."""
    state.copy = StoreCopy(
        deepcopy(state.objects_by_kind),
        tuple(deepcopy(event) for event in state.events),
        state.revision,
        state.oldest_revision,
    )


def restore_copy(state: StoreState) -> None:
    """Return to the copy, start a new era and cut the waiting watches.

    Everything written since the copy is lost, and its revisions are given out again.
    """
    copy = state.copy
    if copy is None:
        raise LookupError("no copy was taken")
    state.objects_by_kind = deepcopy(copy.objects_by_kind)
    state.events = deque(deepcopy(event) for event in copy.events)
    state.revision = copy.revision
    state.oldest_revision = copy.oldest_revision
    # Lists that allow stale data must not return objects of the earlier era.
    state.stale_snapshot = None
    state.era += 1
    notify_watches(state)
