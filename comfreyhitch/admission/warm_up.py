"""Bound the rate of requests to a target that is cold."""

from dataclasses import dataclass

from comfreyhitch.utils.token_bucket import TokenBucket, take_tokens

# More than one request at a time is sent to a cold target only as it is earned.
BURST_REQUESTS = 2.0


@dataclass(slots=True)
class WarmUpLimiter:
    """Hold what a cold target may still get; nothing is earned before the first second."""

    bucket: TokenBucket

    @classmethod
    def from_rate(cls, requests_per_second: float, now: float) -> "WarmUpLimiter":
        """Return a gate that assumes that the share of the last second was spent."""
        capacity = min(BURST_REQUESTS, max(1.0, requests_per_second))
        return cls(TokenBucket(requests_per_second, capacity, tokens=0.0, updated_at=now))


def set_warm_up_rate(limiter: WarmUpLimiter, requests_per_second: float) -> None:
    """Follow a rate that the configuration has changed."""
    limiter.bucket.rate = requests_per_second
    limiter.bucket.capacity = min(BURST_REQUESTS, max(1.0, requests_per_second))
    limiter.bucket.tokens = min(limiter.bucket.tokens, limiter.bucket.capacity)


def admit_during_warm_up(limiter: WarmUpLimiter, now: float) -> bool:
    """Return whether a cold target may get one more request now."""
    return take_tokens(limiter.bucket, now)
