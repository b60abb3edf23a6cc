"""Watch one kind linearizably beside a follower whose own watches may be stale.

A store may answer a watch that may be stale as of seconds ago. Such a watch costs it a tenth, so
each daemon has one, and only the readers of each availability zone have a linearizable one as well.
The other daemons hear of its changes from their peers.
"""

import logging

import gevent
from result import Err, Ok

from comfreyhitch.platform.client import wait_for_changes
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.platform.models import FRESH, ChangeBatch
from comfreyhitch.watching.follower import Follower, list_again
from comfreyhitch.watching.waits import LONG_WATCH_SECONDS

logger = logging.getLogger(__name__)

# Time before the next watch after one that brought no change. Prevents a busy loop on a store that
# ends or refuses watches at once.
PAUSE_SECONDS = 0.5


def set_linearizable(follower: Follower, is_linearizable: bool) -> None:
    """Set whether a follower has a linearizable watch; a current one ends without renewal."""
    if is_linearizable == follower.is_linearizable.is_set():
        return
    logger.info(
        "linearizable watches begin" if is_linearizable else "linearizable watches end",
        extra={"kind": follower.kind},
    )
    if is_linearizable:
        follower.is_linearizable.set()
    else:
        follower.is_linearizable.clear()


def watch_linearizably(follower: Follower) -> None:
    """Watch while the follower is linearizable, until the greenlet is killed.

    The follower's callbacks get changes that its own watch may tell of again later.
    """
    era = revision = 0
    while True:
        follower.is_linearizable.wait()
        if _is_ready(follower):
            if era != follower.era:
                era, revision = follower.era, follower.revision
            revision = max(revision, follower.revision)
            batch = _wait(follower, revision)
            if batch is not None and _is_current(follower, batch, era):
                for change in batch.events:
                    follower.on_change(change)
                revision = max(revision, batch.revision)
                if batch.events:
                    continue
        gevent.sleep(PAUSE_SECONDS)


def _is_ready(follower: Follower) -> bool:
    """Return whether the kind is listed, and the store answers the follower's own watches."""
    return follower.is_connected and not follower.unanswered_watches


def _wait(follower: Follower, revision: int) -> ChangeBatch | None:
    """Wait for changes after a revision; return None if the watch was ended, or failed."""
    waiting = follower.linearizable_waiting = gevent.spawn(
        wait_for_changes, follower.client, follower.kind, revision, LONG_WATCH_SECONDS, FRESH
    )
    try:
        answer = waiting.get()
    finally:
        follower.linearizable_waiting = None
        waiting.kill()
    match answer:
        case Ok(batch):
            return batch
        case Err(error):
            _handle_error(follower, error, revision)
    return None


def _is_current(follower: Follower, batch: ChangeBatch, era: int) -> bool:
    """Return whether the era in which changes were asked for goes on.

    A later one means that the store has come back from a copy, so the kind is listed again.
    """
    if batch.era is not None and batch.era > follower.era:
        list_again(follower)
        return False
    return follower.era == era and batch.era in (None, era)


def _handle_error(follower: Follower, error: PlatformError, revision: int) -> None:
    logger.info("linearizable watch failed", extra={"kind": follower.kind, "error": str(error)})
    has_listed_since = follower.revision is None or follower.revision > revision
    if error.failure is PlatformFailure.EXPIRED and not has_listed_since:
        list_again(follower)
