"""Decide how long a daemon's watches of the store wait before they are renewed.

Answers a fleet of hundreds of daemons whose documents change rarely: the store counts each
renewed watch as a call, so only the readers of each availability zone renew theirs every few
seconds, and the first of them one of its watches several times a second. The other daemons wait
longer; they hear of changes from their own watch and from their peers. A daemon for which one of
the two may be broken renews as often as a reader.

All these watches may be stale, which costs the store a tenth. Readers have linearizable ones as
well, so that a change is in force in time even if what may be stale is seconds old.
"""

from dataclasses import dataclass

# A watch that the store has cut off silently looks like one without news until its time is over.
# With one brief watch, the first reader of each availability zone notices it within the time in
# which a document has to be in force, renews its other watches and tells its peers.
BRIEF_WATCH_SECONDS = 0.5
# A watch on an unresponsive connection times out after this time plus one second.
SHORT_WATCH_SECONDS = 3.0
# Below the 20 s of history that the store keeps: a watch from an older revision ends in a new list.
LONG_WATCH_SECONDS = 15.0
# In a smaller fleet most daemons are readers.
MIN_DAEMONS_FOR_LONG_WATCHES = 20
# A watch whose connection broke during a disturbance is renewed before this time is over.
SETTLING_SECONDS = 8.0
# A daemon that has just started knows few of the others, and takes itself for a reader.
NEW_READER_SECONDS = 3.0
# One unanswered probe says that the probed member is gone; two in a row say that this daemon's
# link may be broken.
MAX_UNANSWERED_PROBES = 1


@dataclass(frozen=True, slots=True)
class WatchConditions:
    """Hold what a daemon knows about its ways to learn of changes.

    `has_store_failures` tells of calls of its watches, `is_watch_late` that a peer had a change
    before its own watch, `unanswered_probes` how many probes in a row got no answer.
    """

    daemon_count: int
    is_first_reader: bool
    is_reader: bool
    has_store_failures: bool
    is_watch_late: bool
    unanswered_probes: int


@dataclass(slots=True)
class WatchPlan:
    """Hold since when a daemon's ways to learn of changes have been undisturbed.

    `settled_since` and `reader_since` are in monotonic seconds; the latter is None while the daemon
    is no reader.
    """

    settled_since: float
    was_watch_late: bool = False
    reader_since: float | None = None


def plan_watch_seconds(plan: WatchPlan, conditions: WatchConditions, now: float) -> float:
    """Return how many seconds a watch may wait; `now` is in monotonic seconds."""
    if _is_disturbed(plan, conditions):
        plan.settled_since = now
    plan.was_watch_late = conditions.is_watch_late
    is_settled = now - plan.settled_since >= SETTLING_SECONDS
    is_large_fleet = conditions.daemon_count >= MIN_DAEMONS_FOR_LONG_WATCHES
    if conditions.is_reader or not is_large_fleet or not is_settled:
        return SHORT_WATCH_SECONDS
    return LONG_WATCH_SECONDS


def get_lead_watch_seconds(planned_seconds: float, conditions: WatchConditions) -> float:
    """Return how many seconds the watch may wait whose silence renews the others of its daemon."""
    return BRIEF_WATCH_SECONDS if conditions.is_first_reader else planned_seconds


def needs_linearizable_watch(plan: WatchPlan, conditions: WatchConditions, now: float) -> bool:
    """Return whether a daemon reads linearizably for its zone; `now` is in monotonic seconds."""
    if not conditions.is_reader:
        plan.reader_since = None
        return False
    if plan.reader_since is None:
        plan.reader_since = now
    return now - plan.reader_since >= NEW_READER_SECONDS


def _is_disturbed(plan: WatchPlan, conditions: WatchConditions) -> bool:
    # A peer is often a few milliseconds ahead, but not at two checks in a row.
    is_watch_broken = conditions.is_watch_late and plan.was_watch_late
    return (
        conditions.has_store_failures
        or is_watch_broken
        or conditions.unanswered_probes > MAX_UNANSWERED_PROBES
    )
