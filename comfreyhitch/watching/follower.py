"""Follow objects of one kind despite expired revisions, errors and unresponsive connections."""

import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

import gevent
from gevent.event import Event
from result import Err, Ok, Result

from comfreyhitch.core.clock import Clock
from comfreyhitch.platform.client import (
    WATCH_TIMEOUT_MARGIN_SECONDS,
    PlatformClient,
    list_objects,
    wait_for_changes,
)
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.platform.models import (
    FRESH,
    STALE,
    ChangeBatch,
    ObjectChange,
    ObjectList,
    ReadMode,
)
from comfreyhitch.watching.outages import Outage, become_prober, end_outage, wait_for_recovery
from comfreyhitch.watching.waits import SHORT_WATCH_SECONDS

logger = logging.getLogger(__name__)

# After a failure, a short watch detects early whether the store is reachable again.
RETRY_WATCH_TIMEOUT_SECONDS = 0.3
MIN_BACKOFF_SECONDS = 0.2
MAX_BACKOFF_SECONDS = 2.0
# A brief watch that is this late is sent again. Each time in a row that it is, more time is left to
# a store that is slow.
LATE_ANSWER_SECONDS = 0.4
MAX_PATIENT_CUTS = 4
# Prevents a busy loop on a store that ends watches at once without a change.
MIN_WATCH_SECONDS = 0.05


class StoreUnavailableError(Exception):
    """Signal that the store is unavailable and the kind has to be listed again later."""

    def __init__(self, error: PlatformError) -> None:
        super().__init__(str(error))
        self.error = error


@dataclass(slots=True)
class Follower:
    """List the objects of one kind once, then watch their changes.

    `revision` is the store revision read so far, None until the kind has been listed.
    The callbacks `on_list` and `on_change` may raise `StoreUnavailableError`.
    """

    client: PlatformClient
    kind: str
    clock: Clock
    random: Random
    on_list: Callable[[ObjectList], None]
    on_change: Callable[[ObjectChange], None]
    watch_timeout_seconds: float = SHORT_WATCH_SECONDS
    # Mode of the first list. A stale one costs the store less, and the watch from its revision
    # delivers the changes that it lacks.
    initial_list_mode: ReadMode = FRESH
    watch_mode: ReadMode = STALE
    # Shared by the followers of one daemon.
    outage: Outage = field(default_factory=Outage)
    revision: int | None = None
    # Rises each time the store comes back from an older copy, and gives out revisions again.
    era: int = 0
    # Called when a list shows that the store has come back from a copy.
    on_restored: Callable[[], None] = lambda: None
    # Version of the newest document that was read; its meaning is up to the callbacks.
    latest_version: int = 0
    failures: int = 0
    last_answered_at: float | None = None
    # When the current watch was sent, and the greenlet that waits for its answer.
    asked_at: float = 0.0
    waiting: gevent.Greenlet | None = None
    # Set while a linearizable watch runs beside the one that may be stale, and the greenlet that
    # waits for its answer.
    is_linearizable: Event = field(default_factory=Event)
    linearizable_waiting: gevent.Greenlet | None = None
    # Whether the last watch was renewed before it was answered, and how many in a row were because
    # no answer came.
    is_cut_short: bool = False
    unanswered_watches: int = 0
    # Called when a brief watch was not answered.
    on_silence: Callable[[], None] = lambda: None

    @property
    def is_connected(self) -> bool:
        """Return whether the kind has been listed and the last call succeeded."""
        return self.failures == 0 and self.revision is not None


def follow(follower: Follower) -> None:
    """List and watch until the greenlet is killed."""
    while True:
        error = read_once(follower)
        if error is None:
            continue
        if become_prober(follower.outage, follower.kind):
            gevent.sleep(get_backoff_seconds(follower))
        else:
            wait_for_recovery(follower.outage)


def read_once(follower: Follower) -> PlatformError | None:
    """List the kind or watch it once; return the error if the call failed."""
    follower.is_cut_short = False
    try:
        error = _list(follower) if follower.revision is None else _watch(follower)
    except StoreUnavailableError as unavailable:
        # The list or change was not fully applied, so the kind has to be listed again.
        follower.revision = None
        error = unavailable.error
    if not follower.is_cut_short:
        _record_result(follower, error)
    elif follower.unanswered_watches:
        logger.info(
            "watch is not answered; sending it again",
            extra={"kind": follower.kind, "unanswered": follower.unanswered_watches},
        )
    return error


def set_watch_timeout(follower: Follower, timeout_seconds: float) -> None:
    """Set how long watches wait; a current one that has waited longer is renewed at once."""
    follower.watch_timeout_seconds = timeout_seconds
    waited_seconds = follower.clock.monotonic() - follower.asked_at
    is_overdue = waited_seconds > timeout_seconds + WATCH_TIMEOUT_MARGIN_SECONDS
    if follower.waiting is not None and is_overdue:
        _renew(follower)


def renew_together(followers: Sequence[Follower]) -> None:
    """Have all followers send their watches again when a brief watch of one is not answered."""

    def renew_others(silent: Follower) -> None:
        for follower in followers:
            if follower is not silent:
                _renew(follower)

    for follower in followers:
        follower.on_silence = lambda follower=follower: renew_others(follower)


def list_again(follower: Follower) -> None:
    """End the current watch, and list the kind anew."""
    follower.revision = None
    _renew(follower)


def _renew(follower: Follower) -> None:
    """End the current watches; they are sent again."""
    for waiting in (follower.waiting, follower.linearizable_waiting):
        if waiting is not None:
            waiting.kill(block=False)


def get_backoff_seconds(follower: Follower) -> float:
    """Return the exponential backoff after a failure in seconds, with jitter."""
    exponent = min(max(0, follower.failures - 1), 10)
    backoff_seconds = min(MAX_BACKOFF_SECONDS, MIN_BACKOFF_SECONDS * 2**exponent)
    return backoff_seconds * follower.random.uniform(0.5, 1.0)


def _list(follower: Follower) -> PlatformError | None:
    # Only the first list may be stale. Once the revision has expired, only a linearizable list
    # is certain to be current.
    mode = follower.initial_list_mode
    match list_objects(follower.client, follower.kind, mode):
        case Err(error):
            return error
        case Ok(listed):
            pass
    follower.initial_list_mode = FRESH
    era = follower.era if listed.era is None else listed.era
    if era < follower.era:
        return _make_stale_answer_error(follower, era)
    is_restored = 0 < follower.era < era
    follower.era = era
    logger.info(
        "documents listed",
        extra={"kind": follower.kind, "era": era, "store_revision": listed.revision},
    )
    follower.on_list(listed)
    follower.revision = listed.revision
    if is_restored:
        follower.on_restored()
    return None


def _watch(follower: Follower) -> PlatformError | None:
    started_at = follower.clock.monotonic()
    watch_timeout_seconds = follower.watch_timeout_seconds
    if follower.failures:
        watch_timeout_seconds = min(watch_timeout_seconds, RETRY_WATCH_TIMEOUT_SECONDS)
    match _wait(follower, watch_timeout_seconds):
        case None:
            follower.is_cut_short = True
            return None
        case Err(PlatformError(failure=PlatformFailure.EXPIRED)):
            logger.info(
                "watch revision has expired in the store; listing again",
                extra={"kind": follower.kind},
            )
            follower.revision = None
            return None
        case Err(error):
            return error
        case Ok(batch):
            pass
    if batch.era is not None and batch.era < follower.era:
        return _make_stale_answer_error(follower, batch.era)
    if batch.era is not None and batch.era > follower.era:
        logger.warning(
            "store has come back from a copy; listing again",
            extra={"kind": follower.kind, "era": batch.era, "known_era": follower.era},
        )
        follower.revision = None
        return None
    for change in batch.events:
        follower.on_change(change)
    follower.revision = max(follower.revision, batch.revision)
    if not batch.events and follower.clock.monotonic() - started_at < MIN_WATCH_SECONDS:
        gevent.sleep(MIN_WATCH_SECONDS)
    return None


def _make_stale_answer_error(follower: Follower, era: int) -> PlatformError:
    detail = f"answer is from era {era}, although era {follower.era} has begun"
    return PlatformError(PlatformFailure.UNAVAILABLE, detail)


def _wait(follower: Follower, timeout_seconds: float) -> Result[ChangeBatch, PlatformError] | None:
    """Wait for changes; return None if the watch was cut short, or a brief one was not answered."""
    follower.asked_at = follower.clock.monotonic()
    waiting = follower.waiting = gevent.spawn(
        wait_for_changes,
        follower.client,
        follower.kind,
        follower.revision,
        timeout_seconds,
        follower.watch_mode,
    )
    try:
        waiting.join(_get_patience_seconds(follower, timeout_seconds))
        has_answer = waiting.ready()
    finally:
        follower.waiting = None
        waiting.kill()
    if not has_answer:
        follower.unanswered_watches += 1
        _renew(follower)
        follower.on_silence()
        return None
    follower.unanswered_watches = 0
    answer = waiting.get()
    return None if isinstance(answer, gevent.GreenletExit) else answer


def _get_patience_seconds(follower: Follower, timeout_seconds: float) -> float | None:
    """Return when a watch is given up; None leaves that to the timeout of its call."""
    if timeout_seconds >= SHORT_WATCH_SECONDS or follower.failures:
        return None
    doublings = min(MAX_PATIENT_CUTS, max(0, follower.unanswered_watches - 1))
    return timeout_seconds + LATE_ANSWER_SECONDS * 2**doublings


def _record_result(follower: Follower, error: PlatformError | None) -> None:
    if error is None:
        if follower.failures:
            logger.info(
                "store is back", extra={"kind": follower.kind, "failures": follower.failures}
            )
        follower.failures = 0
        end_outage(follower.outage)
        follower.last_answered_at = follower.clock.monotonic()
        return
    if not follower.failures:
        logger.warning("store is lost", extra={"kind": follower.kind, "error": str(error)})
    follower.failures += 1
