"""Rate limit that a target names in its responses, for the requests of all daemons together.

The daemon beside the target holds it, since it sees every request and every response.
"""

import re
from dataclasses import dataclass

from comfreyhitch.sections.models import TrafficClass
from comfreyhitch.utils.token_bucket import TokenBucket, refill, take_tokens

# Seconds of the limit for which unused requests may be caught up.
BURST_SECONDS = 1.0
MIN_BURST_REQUESTS = 2.0
# The last requests of a limit are kept for the highest class.
RESERVED_REQUESTS = 1.0
_LIMIT_PATTERN = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")


@dataclass(slots=True)
class NamedRateLimit:
    """Hold the limit of a target's present incarnation.

    `requests_per_second` is None while the target names none. The bucket outlives that, so that a
    limit that is named again does not start with a full one.
    """

    requests_per_second: float | None = None
    bucket: TokenBucket | None = None


def parse_rate_limit(text: str) -> float | None:
    """Return a limit in requests a second, or None for a text that is no decimal number."""
    return float(text) if _LIMIT_PATTERN.fullmatch(text) else None


def set_rate_limit(limit: NamedRateLimit, requests_per_second: float | None, now: float) -> None:
    """Apply what the newest response says; `now` is in monotonic seconds."""
    limit.requests_per_second = requests_per_second
    if requests_per_second is None:
        return
    capacity = max(MIN_BURST_REQUESTS, BURST_SECONDS * requests_per_second)
    if limit.bucket is None:
        # The requests that the target has just had count as the first burst.
        limit.bucket = TokenBucket(requests_per_second, capacity, tokens=0.0, updated_at=now)
        return
    refill(limit.bucket, now)
    limit.bucket.rate = requests_per_second
    limit.bucket.capacity = capacity
    limit.bucket.tokens = min(limit.bucket.tokens, capacity)


def has_free_request(limit: NamedRateLimit, traffic_class: TrafficClass, now: float) -> bool:
    """Return whether the target takes one more request of a class now."""
    if limit.requests_per_second is None:
        return True
    refill(limit.bucket, now)
    return limit.bucket.tokens >= _get_needed_tokens(traffic_class)


def take_request(limit: NamedRateLimit, traffic_class: TrafficClass, now: float) -> bool:
    """Take one request of a class from the limit, and return whether there was one."""
    if limit.requests_per_second is None:
        return True
    return has_free_request(limit, traffic_class, now) and take_tokens(limit.bucket, now)


def _get_needed_tokens(traffic_class: TrafficClass) -> float:
    reserved = 0.0 if traffic_class is TrafficClass.CRITICAL else RESERVED_REQUESTS
    return 1.0 + reserved
