"""Token buckets: a rate of starts with a burst above it."""

import dataclasses


@dataclasses.dataclass
class Bucket:
    """Tokens that may be spent, one a start.

    Attributes:
        rate: Tokens that come a second.
        capacity: The most tokens it holds.
        level: Tokens at the moment `at`.
        at: Monotonic time in seconds.
    """

    rate: float = 0.0
    capacity: float = 0.0
    level: float = 0.0
    at: float = 0.0


def count_tokens(bucket: Bucket, now: float) -> int:
    """Return how many whole tokens may be spent at `now`."""
    _refill(bucket, now)
    return int(bucket.level)


def take_token(bucket: Bucket, now: float) -> bool:
    """Spend one token; return whether there was one."""
    _refill(bucket, now)
    if bucket.level < 1:
        return False
    bucket.level -= 1
    return True


def set_rate(bucket: Bucket, rate: float, capacity: float, now: float) -> None:
    """Change rate and capacity from `now` on; no token is added."""
    _refill(bucket, now)
    bucket.rate = rate
    bucket.capacity = capacity
    bucket.level = min(bucket.level, capacity)


def compute_wait_s(bucket: Bucket, now: float) -> float | None:
    """Return seconds until there is a token, or None if none will come."""
    _refill(bucket, now)
    if bucket.level >= 1:
        return 0.0
    if bucket.rate <= 0 or bucket.capacity < 1:
        return None
    return (1 - bucket.level) / bucket.rate


def _refill(bucket: Bucket, now: float) -> None:
    if now <= bucket.at:
        return
    gained = (now - bucket.at) * bucket.rate
    bucket.level = min(bucket.capacity, bucket.level + gained)
    bucket.at = now
