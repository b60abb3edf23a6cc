"""Store records of requests that may run only once, keyed by request id."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from gevent.event import Event

from comfreyhitch.core.verdicts import Outcome


class RecordState(Enum):
    """Name the progress of a recorded request."""

    WAITING = "waiting"
    CLAIMING = "claiming"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    FENCED = "fenced"


@dataclass(slots=True)
class RequestRecord:
    """Hold the state of one request; times are monotonic seconds.

    `withdraw` is set while the request waits for admission, and returns whether it
    removed the request from the queue.
    """

    state: RecordState
    fingerprint: str
    updated_at: float
    outcome: Outcome | None = None
    withdraw: Callable[[], bool] | None = None
    settled: Event = field(default_factory=Event)

    @property
    def size_bytes(self) -> int:
        """Return the size of the stored response body."""
        if self.outcome is None or self.outcome.is_err():
            return 0
        return len(self.outcome.ok_value.body)


@dataclass(slots=True)
class RecordStore:
    """Store records for a limited time, up to a number of records and of body bytes."""

    retention_seconds: float
    max_records: int
    max_bytes: int
    records_by_id: OrderedDict[str, RequestRecord] = field(default_factory=OrderedDict)
    size_bytes: int = 0

    @classmethod
    def from_retention(
        cls, retention_seconds: float, max_records: int, max_bytes: int
    ) -> "RecordStore":
        """Return an empty store."""
        return cls(retention_seconds, max_records, max_bytes)


_UNFINISHED_STATES = frozenset({RecordState.WAITING, RecordState.CLAIMING, RecordState.RUNNING})


def get_record(store: RecordStore, record_id: str) -> RequestRecord | None:
    """Return the record of an id, or None."""
    return store.records_by_id.get(record_id)


def add_record(store: RecordStore, record_id: str, record: RequestRecord) -> bool:
    """Add a record; return False if the store is full of records that are still needed."""
    _expire_records(store, record.updated_at)
    if len(store.records_by_id) >= store.max_records:
        return False
    store.records_by_id[record_id] = record
    store.size_bytes += record.size_bytes
    return True


def remove_record(store: RecordStore, record_id: str) -> None:
    """Remove the record of a request that is known not to have run."""
    record = store.records_by_id.pop(record_id, None)
    if record is not None:
        store.size_bytes -= record.size_bytes
        record.settled.set()


def mark_running(record: RequestRecord, now: float) -> None:
    """Mark the request as running; call this before its first byte is sent to the target."""
    record.state = RecordState.RUNNING
    record.withdraw = None
    record.updated_at = now


def settle_record(
    store: RecordStore, record_id: str, record: RequestRecord, outcome: Outcome, now: float
) -> None:
    """Store the outcome of a request that may have run, and wake the calls that wait for it."""
    record.state = RecordState.FINISHED if outcome.is_ok() else RecordState.UNKNOWN
    record.outcome = outcome
    record.updated_at = now
    if store.records_by_id.get(record_id) is record:
        store.records_by_id.move_to_end(record_id)
        store.size_bytes += record.size_bytes
    _evict_outcomes(store)
    record.settled.set()


def _expire_records(store: RecordStore, now: float) -> None:
    while store.records_by_id:
        record_id, record = next(iter(store.records_by_id.items()))
        if now - record.updated_at < store.retention_seconds:
            return
        if record.state in _UNFINISHED_STATES:
            store.records_by_id.move_to_end(record_id)
            record.updated_at = now
            return
        del store.records_by_id[record_id]
        store.size_bytes -= record.size_bytes


def _evict_outcomes(store: RecordStore) -> None:
    if store.size_bytes <= store.max_bytes:
        return
    for record in store.records_by_id.values():
        if store.size_bytes <= store.max_bytes:
            return
        if record.state is RecordState.FINISHED:
            store.size_bytes -= record.size_bytes
            record.outcome = None
