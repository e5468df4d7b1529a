"""Token buckets, which limit task starts to a rate and a burst."""

import dataclasses


@dataclasses.dataclass
class Bucket:
    """A token bucket; each task start spends one token.

    Attributes:
        rate: Tokens added per second.
        capacity: The most tokens it holds.
        tokens: Tokens available at `refilled_at`.
        refilled_at: When it was last refilled, in monotonic seconds.
    """

    rate: float = 0.0
    capacity: float = 0.0
    tokens: float = 0.0
    refilled_at: float = 0.0


def count_tokens(bucket: Bucket, now: float) -> int:
    """Return how many whole tokens may be spent at `now`."""
    _refill(bucket, now)
    return int(bucket.tokens)


def take_token(bucket: Bucket, now: float) -> bool:
    """Spend one token; return False if none is available."""
    _refill(bucket, now)
    if bucket.tokens < 1:
        return False
    bucket.tokens -= 1
    return True


def set_rate(bucket: Bucket, rate: float, capacity: float, now: float) -> None:
    """Change rate and capacity from `now` on; no token is added."""
    _refill(bucket, now)
    bucket.rate = rate
    bucket.capacity = capacity
    bucket.tokens = min(bucket.tokens, capacity)


def compute_wait_s(bucket: Bucket, now: float) -> float | None:
    """Return the seconds until a token is available, or None if never."""
    _refill(bucket, now)
    if bucket.tokens >= 1:
        return 0.0
    if bucket.rate <= 0 or bucket.capacity < 1:
        return None
    return (1 - bucket.tokens) / bucket.rate


def _refill(bucket: Bucket, now: float) -> None:
    if now <= bucket.refilled_at:
        return
    gained = (now - bucket.refilled_at) * bucket.rate
    bucket.tokens = min(bucket.capacity, bucket.tokens + gained)
    bucket.refilled_at = now
