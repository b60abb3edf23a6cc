"""Rate-limited log of decisions about requests."""

import logging
from dataclasses import dataclass, field

from comfreyhitch.core.clock import Clock
from comfreyhitch.utils.token_bucket import TokenBucket, take_tokens

FAILURE_LINES_PER_SECOND = 50.0
SUCCESS_LINES_PER_SECOND = 5.0


@dataclass(slots=True)
class DecisionLog:
    """Limit the rate of log lines about requests, separately for failures and successes."""

    logger: logging.Logger
    clock: Clock
    failure_bucket: TokenBucket
    success_bucket: TokenBucket
    suppressed_line_count: int = field(default=0)

    @classmethod
    def from_clock(cls, name: str, clock: Clock) -> "DecisionLog":
        """Return a log with full buckets, which allow an initial burst of lines."""
        now = clock.monotonic()
        return cls(
            logger=logging.getLogger(name),
            clock=clock,
            failure_bucket=TokenBucket.from_rate(
                FAILURE_LINES_PER_SECOND, 2 * FAILURE_LINES_PER_SECOND, now
            ),
            success_bucket=TokenBucket.from_rate(
                SUCCESS_LINES_PER_SECOND, SUCCESS_LINES_PER_SECOND, now
            ),
        )


def admit_log_line(log: DecisionLog, *, is_failure: bool) -> bool:
    """Return whether a line about a request may be written now; count it as suppressed if not."""
    if not log.logger.isEnabledFor(logging.INFO):
        return False
    bucket = log.failure_bucket if is_failure else log.success_bucket
    if take_tokens(bucket, log.clock.monotonic()):
        return True
    log.suppressed_line_count += 1
    return False


def log_decision(log: DecisionLog, message: str, fields: dict[str, object]) -> None:
    """Write one line, with the number of lines that were suppressed since the last one."""
    if log.suppressed_line_count:
        fields["lines_left_out"] = log.suppressed_line_count
        log.suppressed_line_count = 0
    log.logger.info(message, extra=fields)
