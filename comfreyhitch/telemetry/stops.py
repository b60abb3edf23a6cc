"""Record what happens during the stop of a daemon, for its log and its metrics."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from aioprometheus import Counter as MetricCounter
from aioprometheus import Registry

from comfreyhitch.core.verdicts import Outcome, Verdict
from comfreyhitch.egress.stopping import INTERRUPTED_DETAIL
from comfreyhitch.telemetry.metric_kinds import make_counter

# Reason of requests that this daemon's stop ended, which are answered as draining.
INTERRUPTED = "interrupted"


class SignalEffect(StrEnum):
    """Name what a signal makes the daemon do."""

    STOP = "stop"
    RELOAD = "reload"
    NONE = "none"


@dataclass(slots=True)
class StopMetrics:
    """Hold the metrics of signals, of which most ask for a stop."""

    signals: MetricCounter

    @classmethod
    def from_registry(cls, registry: Registry) -> "StopMetrics":
        """Return new metrics in a registry."""
        return cls(
            signals=make_counter(
                registry, "signals_total", "Signals that reached the process, by name and effect."
            )
        )


@dataclass(slots=True)
class StopRecord:
    """Hold what is known of a stop; times are monotonic seconds."""

    # Time of the first signal, or of the start of a stop without one; None before.
    began_at: float | None = None
    # Signals that ask for a stop, the first one included.
    signals: int = 0
    answered: int = 0
    # Requests that have not run, and others that failed, by reason.
    refused_by_reason: Counter[str] = field(default_factory=Counter)
    failed_by_reason: Counter[str] = field(default_factory=Counter)
    interrupted: int = 0
    cut: int = 0


def get_stop_ms(record: StopRecord, now: float) -> int | None:
    """Return the milliseconds since the stop began; None if it has not."""
    return None if record.began_at is None else round((now - record.began_at) * 1000)


def count_outcome(record: StopRecord, outcome: Outcome) -> None:
    """Count how a request of a caller ends during a stop."""
    if outcome.is_ok():
        record.answered += 1
        return
    failure = outcome.err_value
    is_refused = failure.verdict is Verdict.NOT_RUN
    by_reason = record.refused_by_reason if is_refused else record.failed_by_reason
    is_interrupted = failure.detail == INTERRUPTED_DETAIL
    by_reason[INTERRUPTED if is_interrupted else failure.refusal.value] += 1
