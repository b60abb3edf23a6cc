"""The record of the duty in the store, and the terms under which it is held."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoredReport:
    """Hold the exact bytes, as text, that are reported for a window."""

    window: int
    body: str


@dataclass(frozen=True, slots=True)
class DutyRecord:
    """Hold what the store keeps about the duty of reporting usage.

    `writer` and `write_number` identify the process and the write of the record. `window` is the
    last one that is decided: its report, if it has one, never changes. `reports` holds it, and
    earlier reports that the platform has not acknowledged. `era` is the era of the store in which
    the record was written.
    """

    holder: str
    writer: str
    write_number: int
    token: int
    window: int
    era: int
    reports: tuple[StoredReport, ...] = ()

    @property
    def order(self) -> tuple[int, int, int]:
        """Return what rises with every write of the record."""
        return self.token, self.window, self.write_number


@dataclass(frozen=True, slots=True)
class FoundRecord:
    """Hold what a read of the store showed; without a record, `revision` is that of the store."""

    record: DutyRecord | None
    revision: int
    era: int
    exists: bool
    # Whether the read was linearizable, so that it shows the writes that have taken effect.
    is_fresh: bool = False


@dataclass(frozen=True, slots=True)
class DutyTerms:
    """Hold the time limits of the duty, in seconds."""

    window_seconds: float = 5.0
    lease_seconds: float = 3.0
    # How long after the end of a window its report may still be sent.
    late_seconds: float = 10.0
    # Daemons send their counts once a second; the rest is for the way.
    report_after_seconds: float = 1.3
    # Until then, a report waits for daemons that have not sent all counts of the window.
    report_by_seconds: float = 2.2
    # Added to the lease and to the time by which a report is due before another daemon takes over.
    margin_seconds: float = 0.5
    # Candidates take over one after the other, so that usually only one of them writes.
    stagger_seconds: float = 0.3
    # At least this long between two calls to the platform.
    post_interval_seconds: float = 0.04
