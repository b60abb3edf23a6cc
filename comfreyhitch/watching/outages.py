"""Let one follower of a daemon probe an unreachable store on behalf of all of them."""

from dataclasses import dataclass, field

from gevent.event import Event

# A waiting follower retries by itself after this time, in case only the prober's calls fail.
MAX_OUTAGE_WAIT_SECONDS = 3.0


@dataclass(slots=True)
class Outage:
    """Hold which follower probes an unreachable store, and the event that the others wait for.

    `prober` is the kind of that follower, empty while the store is reachable.
    """

    prober: str = ""
    is_over: Event = field(default_factory=Event)


def become_prober(outage: Outage, kind: str) -> bool:
    """Make the follower of a kind the prober if there is none; return whether it is the prober."""
    if not outage.prober:
        outage.prober = kind
        outage.is_over = Event()
    return outage.prober == kind


def wait_for_recovery(outage: Outage) -> None:
    """Wait until a call of another follower has succeeded, at most `MAX_OUTAGE_WAIT_SECONDS`."""
    outage.is_over.wait(MAX_OUTAGE_WAIT_SECONDS)


def end_outage(outage: Outage) -> None:
    """Wake the waiting followers after a call of any follower has succeeded."""
    if outage.prober:
        outage.prober = ""
        outage.is_over.set()
