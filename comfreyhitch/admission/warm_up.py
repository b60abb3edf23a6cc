"""Rate limit for requests to a cold target.

A target is cold for some time after its start, while it handles fewer requests than usual.
"""

from dataclasses import dataclass

from comfreyhitch.utils.token_bucket import TokenBucket, take_tokens

# Requests that a cold target may get at once, if enough tokens have accumulated.
BURST_REQUESTS = 2.0


@dataclass(slots=True)
class WarmUpLimiter:
    """Hold the token bucket for requests to a cold target; it starts empty."""

    bucket: TokenBucket

    @classmethod
    def from_rate(cls, requests_per_second: float, now: float) -> "WarmUpLimiter":
        """Return a limiter without tokens, as if those of the last second had been spent."""
        capacity = min(BURST_REQUESTS, max(1.0, requests_per_second))
        return cls(TokenBucket(requests_per_second, capacity, tokens=0.0, updated_at=now))


def set_warm_up_rate(limiter: WarmUpLimiter, requests_per_second: float) -> None:
    """Apply a changed rate from the configuration."""
    limiter.bucket.rate = requests_per_second
    limiter.bucket.capacity = min(BURST_REQUESTS, max(1.0, requests_per_second))
    limiter.bucket.tokens = min(limiter.bucket.tokens, limiter.bucket.capacity)


def admit_during_warm_up(limiter: WarmUpLimiter, now: float) -> bool:
    """Return whether a cold target may get one more request now, and take its token."""
    return take_tokens(limiter.bucket, now)
