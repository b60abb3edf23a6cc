"""Bounded set that evicts its oldest entries."""

from collections import OrderedDict
from dataclasses import dataclass, field


@dataclass(slots=True)
class RecentSet:
    """Hold up to `capacity` entries, with the times at which they were added last."""

    capacity: int
    added_at_by_entry: OrderedDict[str, float] = field(default_factory=OrderedDict)

    @classmethod
    def from_capacity(cls, capacity: int) -> "RecentSet":
        """Return an empty set."""
        return cls(capacity)


def add_recent(recent: RecentSet, entry: str, now: float) -> None:
    """Add or renew an entry, and evict the oldest one if the set exceeds its capacity."""
    recent.added_at_by_entry[entry] = now
    recent.added_at_by_entry.move_to_end(entry)
    if len(recent.added_at_by_entry) > recent.capacity:
        recent.added_at_by_entry.popitem(last=False)


def is_recent(recent: RecentSet, entry: str) -> bool:
    """Return whether an entry is in the set."""
    return entry in recent.added_at_by_entry
