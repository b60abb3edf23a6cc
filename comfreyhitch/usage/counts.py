"""Counts of requests by account and window, which only grow and merge by the higher value."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from comfreyhitch.utils.hashing import hash_text

# The current window and the ones before it whose counts are kept and sent.
RETAINED_WINDOWS = 6
# Clocks of two daemons may differ by this many windows before counts are refused.
MAX_WINDOWS_AHEAD = 2
MAX_ACCOUNTS_PER_WINDOW = 4096
MAX_SOURCES = 4096
# Windows after which a source without a message is no longer waited for.
SILENT_WINDOWS = 2
# The closing window of a process that counts nothing more.
CLOSED_FOR_EVER = 2**62

# Requests that were started, and those of them that the target has proved not to have run.
Count = tuple[int, int]
CountsByAccount = dict[str, Count]
# Address and boot id of the process that counted.
SourceId = tuple[str, str]

NO_COUNT: Count = (0, 0)


@dataclass(slots=True)
class SourceCounts:
    """Hold the counts of one process, and the last window in which it starts nothing more.

    `heard_at` is in seconds of the clock that counts suspended time.
    """

    counts_by_window: dict[int, CountsByAccount] = field(default_factory=dict)
    closed_through: int = -1
    heard_at: float = 0.0


@dataclass(slots=True)
class UsageTable:
    """Hold the counts of this daemon and of those that send theirs to it."""

    own_id: SourceId
    # The first window that this daemon sees from its begin.
    complete_since: int
    sources_by_id: dict[SourceId, SourceCounts] = field(default_factory=dict)
    # Requests that were not counted because a window holds too many accounts.
    uncounted: int = 0

    @classmethod
    def from_window(cls, own_id: SourceId, current_window: int) -> "UsageTable":
        """Return an empty table of a daemon that starts during a window."""
        return cls(own_id, current_window + 1, {own_id: SourceCounts()})

    @property
    def own(self) -> SourceCounts:
        """Return the counts of this process."""
        return self.sources_by_id[self.own_id]


def count_start(table: UsageTable, window: int, account: str) -> None:
    """Count a request that is being sent to the target."""
    _add(table, window, account, (1, 0))


def count_withdrawal(table: UsageTable, window: int, account: str) -> None:
    """Count a started request of a window that the target has proved not to have run."""
    _add(table, window, account, (0, 1))


def merge_counts(target: CountsByAccount, counts: Mapping[str, Count]) -> None:
    """Merge the counts of a window into others in place; the higher value wins."""
    for account, (started, withdrawn) in counts.items():
        known = target.get(account)
        if known is None and len(target) >= MAX_ACCOUNTS_PER_WINDOW:
            continue
        known_started, known_withdrawn = known or NO_COUNT
        target[account] = (max(known_started, started), max(known_withdrawn, withdrawn))


def merge_source(
    table: UsageTable,
    source_id: SourceId,
    received: SourceCounts,
    current_window: int,
) -> bool:
    """Merge received counts of a process; return whether its source is known or could be added.

    Windows that are too old or too far ahead are left out.
    """
    source = table.sources_by_id.get(source_id)
    if source is None:
        if len(table.sources_by_id) >= MAX_SOURCES:
            return False
        source = table.sources_by_id[source_id] = SourceCounts()
    source.closed_through = max(source.closed_through, received.closed_through)
    source.heard_at = max(source.heard_at, received.heard_at)
    for window, counts in received.counts_by_window.items():
        age = current_window - window
        if -MAX_WINDOWS_AHEAD <= age < RETAINED_WINDOWS:
            merge_counts(source.counts_by_window.setdefault(window, {}), counts)
    return True


def sum_window(table: UsageTable, window: int) -> dict[str, int]:
    """Return how many requests of each account ran in a window, without accounts that had none."""
    totals: dict[str, int] = {}
    for source in table.sources_by_id.values():
        for account, (started, withdrawn) in source.counts_by_window.get(window, {}).items():
            totals[account] = totals.get(account, 0) + max(0, started - withdrawn)
    return {account: total for account, total in totals.items() if total > 0}


def list_open_sources(
    table: UsageTable, window: int, now: float, window_seconds: float
) -> list[SourceId]:
    """Return the sources that counted lately and may still count, or send, more of a window."""
    silent_since = now - SILENT_WINDOWS * window_seconds
    return [
        source_id
        for source_id, source in table.sources_by_id.items()
        if source_id != table.own_id
        and source.counts_by_window
        and source.closed_through < window
        and source.heard_at >= silent_since
    ]


def remove_old_windows(table: UsageTable, current_window: int) -> None:
    """Remove windows that are no longer kept, and other sources that hold none."""
    oldest = current_window - RETAINED_WINDOWS + 1
    for source_id, source in list(table.sources_by_id.items()):
        for window in [item for item in source.counts_by_window if item < oldest]:
            del source.counts_by_window[window]
        if not source.counts_by_window and source_id != table.own_id:
            del table.sources_by_id[source_id]


def find_unsent(
    counts_by_window: Mapping[int, CountsByAccount], sent: Mapping[int, CountsByAccount]
) -> dict[int, CountsByAccount]:
    """Return the counts that differ from those that a receiver has acknowledged."""
    unsent = {}
    for window, counts in counts_by_window.items():
        known = sent.get(window, {})
        changed = {
            account: count for account, count in counts.items() if known.get(account) != count
        }
        if changed:
            unsent[window] = changed
    return unsent


def compute_checksum(counts: Mapping[str, Count]) -> int:
    """Return a number that is the same for the same counts of a window."""
    return hash_text(*(f"{account} {count}" for account, count in sorted(counts.items())))


def list_windows(sources: Iterable[SourceCounts]) -> list[int]:
    """Return the windows for which any source holds counts, in order."""
    return sorted({window for source in sources for window in source.counts_by_window})


def _add(table: UsageTable, window: int, account: str, count: Count) -> None:
    counts = table.own.counts_by_window.setdefault(window, {})
    known = counts.get(account)
    if known is None and len(counts) >= MAX_ACCOUNTS_PER_WINDOW:
        table.uncounted += 1
        return
    started, withdrawn = known or NO_COUNT
    counts[account] = (started + count[0], withdrawn + count[1])
