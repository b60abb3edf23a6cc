"""Define what is recorded of requests and stops; all times are in Unix seconds."""

from dataclasses import dataclass, field
from enum import StrEnum
from math import inf
from signal import SIGTERM

SIGTERM_NAME = SIGTERM.name


class CallerKind(StrEnum):
    """Tell how a caller uses its connections."""

    KEPT = "kept"
    NEW = "new"
    PIECES = "pieces"
    PIPELINED = "pipelined"
    HALF_CLOSE = "half_close"


class Ending(StrEnum):
    """Tell what a caller got for a request."""

    ANSWERED = "answered"
    PARTIAL = "partial"
    CLOSED = "closed"
    RESET = "reset"
    SILENT = "silent"


@dataclass(slots=True)
class Exchange:
    """Hold one request and what came back.

    `last_sent_at` is 0 if the request was not sent whole. `limit_seconds` is the shorter one of
    the caller's deadline and the route's timeout. `is_behind_close` tells that an answer before
    this request's announced the end of the connection, and `is_behind_unanswered` that a request
    before it on the connection got no answer. `held_up_seconds` is the time by which the caller's
    own process may have seen the end too late.
    """

    request_id: str
    instance: str
    kind: CallerKind
    is_idempotent: bool
    work_seconds: float
    limit_seconds: float
    is_new_connection: bool
    idle_seconds: float
    connection_opened_at: float
    first_sent_at: float = 0.0
    last_sent_at: float = 0.0
    ending: Ending = Ending.SILENT
    status: int = 0
    ended_at: float = 0.0
    held_up_seconds: float = 0.0
    is_behind_close: bool = False
    is_behind_unanswered: bool = False


@dataclass(frozen=True, slots=True)
class Run:
    """Hold when a target began and ended its work on a request; a killed one has no end."""

    started_at: float
    ended_at: float = inf


@dataclass(frozen=True, slots=True)
class SentSignal:
    """Hold the name of a signal that a running process was sent, and when."""

    name: str
    sent_at: float


@dataclass(slots=True)
class Stop:
    """Hold one stop of a daemon's process; `events` names what else happened during it.

    `terminated_at` is the time of the first signal that ends a process. `held_up_seconds` is as
    for requests. `waited_seconds` is how long the process waited for a processor in the last
    sixth of the grace period and later.
    """

    instance: str
    terminated_at: float
    exited_at: float = 0.0
    exit_code: int | None = None
    # From the daemon's log: whether it ended with no request in progress.
    is_drained: bool | None = None
    events: tuple[str, ...] = ()
    signals: list[SentSignal] = field(default_factory=list)
    held_up_seconds: float = 0.0
    waited_seconds: float = 0.0

    @property
    def last_terminated_at(self) -> float:
        """Return the time of the last SIGTERM."""
        times = [item.sent_at for item in self.signals if item.name == SIGTERM_NAME]
        return max(times, default=self.terminated_at)

    @property
    def seconds(self) -> float:
        """Return how long the stop took by the process, without what the machine added."""
        machine_seconds = self.held_up_seconds + self.waited_seconds
        return self.exited_at - machine_seconds - self.terminated_at
