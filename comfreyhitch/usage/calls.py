"""The calls that a candidate of the usage duty makes, and their results."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from result import Result

from comfreyhitch.usage.models import DutyRecord, FoundRecord, StoredReport


class WriteFailure(Enum):
    """Name how a write of the record failed."""

    # The write has not taken effect and never will.
    REJECTED = "rejected"
    # The write may have taken effect, or may yet.
    UNKNOWN = "unknown"


class PostResult(Enum):
    """Name what became of a report that was sent."""

    ACKNOWLEDGED = "acknowledged"
    REFUSED = "refused"
    FAILED = "failed"
    RESET = "reset"
    NOT_SENT = "not-sent"


@dataclass(frozen=True, slots=True)
class Posted:
    """Hold the result of sending a report, and why it was no other."""

    result: PostResult
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Written:
    """Hold the revision and the era in which the store has taken a write."""

    revision: int
    era: int


@dataclass(frozen=True, slots=True)
class CandidateAnswer:
    """Hold what another candidate knows, besides its counts."""

    complete_since: int
    record: DutyRecord | None


@dataclass(frozen=True, slots=True)
class DutyCalls:
    """Hold the calls that a candidate makes.

    `ask_candidates` merges the counts of a window that other candidates hold. `post` gets a
    report, its token, a function that says whether it may still be sent, and a timeout in seconds.
    """

    read_record: Callable[[], Result[FoundRecord, str]]
    write_record: Callable[[DutyRecord, int, bool], Result[Written, tuple[WriteFailure, str]]]
    post: Callable[[StoredReport, int, Callable[[], bool], float], Posted]
    ask_candidates: Callable[[int], list[CandidateAnswer]]
