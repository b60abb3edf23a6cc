"""Let one follower of a daemon find out that the store is back, for all of them."""

from dataclasses import dataclass, field

from gevent.event import Event

# A follower tries by itself after this time, in case only the other's calls fail.
MAX_OUTAGE_WAIT_SECONDS = 3.0


@dataclass(slots=True)
class Outage:
    """Hold which follower tries the store, if it is away, and what tells its return."""

    prober: str = ""
    is_over: Event = field(default_factory=Event)


def become_prober(outage: Outage, kind: str) -> bool:
    """Return whether the follower of a kind is the one that tries the store."""
    if not outage.prober:
        outage.prober = kind
        outage.is_over = Event()
    return outage.prober == kind


def wait_for_recovery(outage: Outage) -> None:
    """Wait until the store has answered another follower, or for the longest time."""
    outage.is_over.wait(MAX_OUTAGE_WAIT_SECONDS)


def end_outage(outage: Outage) -> None:
    """Let all followers go on, since the store has answered one of them."""
    if outage.prober:
        outage.prober = ""
        outage.is_over.set()
