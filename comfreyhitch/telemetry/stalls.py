"""Tell when a daemon has not run its greenlets for some time, and what it did meanwhile."""

import logging
import time
from dataclasses import dataclass

import gevent

from comfreyhitch.core.clock import Clock
from comfreyhitch.telemetry.metrics import ControlMetrics
from comfreyhitch.utils.token_bucket import TokenBucket, take_tokens
from comfreyhitch.wire.read_loops import ReadTurn, take_longest_turn

logger = logging.getLogger(__name__)

CHECK_SECONDS = 0.05
# A timer that fires this late shows that no greenlet has run for as long, and at most for
# `CHECK_SECONDS` longer.
MIN_STALL_SECONDS = 0.05
LINES_PER_SECOND = 1.0
MAX_LINES_AT_ONCE = 5.0


@dataclass(frozen=True, slots=True)
class Stall:
    """Describe a time during which no greenlet ran.

    Processor time close to the whole time shows that the daemon itself was busy; otherwise the
    process was not scheduled.
    """

    seconds: float
    processor_seconds: float
    longest_turn: ReadTurn | None

    def describe(self) -> dict[str, object]:
        """Return the fields of its log line."""
        fields: dict[str, object] = {
            "ms": round(self.seconds * 1000),
            "processor_ms": round(self.processor_seconds * 1000),
        }
        turn = self.longest_turn
        if turn is not None:
            fields["longest_read"] = turn.source.value
            fields["peer"] = turn.peer
            fields["read_bytes"] = turn.read_bytes
            fields["read_ms"] = round(turn.busy_seconds * 1000, 1)
        return fields


def watch_for_stalls(clock: Clock, metrics: ControlMetrics) -> None:
    """Log and count stalls, for as long as the process runs."""
    lines = TokenBucket.from_rate(LINES_PER_SECOND, MAX_LINES_AT_ONCE, clock.monotonic())
    suppressed_lines = 0
    while True:
        stall = _wait_for_stall(clock)
        metrics.stalls.inc({})
        metrics.stall_seconds.add({}, stall.seconds)
        if take_tokens(lines, clock.monotonic()):
            fields = {**stall.describe(), "lines_left_out": suppressed_lines}
            logger.warning("daemon did not run its greenlets", extra=fields)
            suppressed_lines = 0
        else:
            suppressed_lines += 1


def _wait_for_stall(clock: Clock) -> Stall:
    while True:
        due_at = clock.monotonic() + CHECK_SECONDS
        processor_before = time.process_time()
        gevent.sleep(CHECK_SECONDS)
        late_seconds = clock.monotonic() - due_at
        longest_turn = take_longest_turn()
        if late_seconds >= MIN_STALL_SECONDS:
            processor_seconds = time.process_time() - processor_before
            return Stall(late_seconds, processor_seconds, longest_turn)
