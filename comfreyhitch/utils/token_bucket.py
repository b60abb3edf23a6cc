"""Token bucket for rate limits and budgets; callers pass the current time."""

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """Hold tokens up to a capacity; `rate` is in tokens per second, `updated_at` in seconds."""

    rate: float
    capacity: float
    tokens: float
    updated_at: float

    @classmethod
    def from_rate(cls, rate: float, capacity: float, now: float) -> "TokenBucket":
        """Return a full bucket."""
        return cls(rate=rate, capacity=capacity, tokens=capacity, updated_at=now)


def refill(bucket: TokenBucket, now: float) -> None:
    """Add the tokens that accrued since the last update."""
    elapsed = max(0.0, now - bucket.updated_at)
    bucket.tokens = min(bucket.capacity, bucket.tokens + elapsed * bucket.rate)
    bucket.updated_at = now


def take_tokens(bucket: TokenBucket, now: float, amount: float = 1.0) -> bool:
    """Take tokens if the bucket holds enough, and return whether they were taken."""
    refill(bucket, now)
    if bucket.tokens < amount:
        return False
    bucket.tokens -= amount
    return True


def deposit_tokens(bucket: TokenBucket, amount: float) -> None:
    """Add tokens up to the capacity, for a budget that accrues per request instead of over time."""
    bucket.tokens = min(bucket.capacity, bucket.tokens + amount)
