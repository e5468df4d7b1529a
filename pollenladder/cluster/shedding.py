"""Decide which part of the new jobs an owner that falls behind does not take.

Answers an owner short of processor: what it sends late and reads late is done
again, so each job costs it the more the later it runs, until nothing is served.
Its gateways refuse a part of the new jobs at once, which costs it nothing, and
the rest is served in time.
"""

import zlib

# The event loop may run so late.
TARGET_LAG_S = 0.03
# By how much the share grows at each step for a second of lateness above that,
# and by how much at the most.
GAIN_PER_S = 0.25
MAX_GROWTH = 0.05
# What is left of it after a step in time.
DECAY = 0.95
# Less than this is none.
MIN_SHARE = 0.01
# Some jobs always come through, which shows when there is processor again.
MAX_SHARE = 0.95
_BUCKETS = 1000


def adjust_share(share: float, late_s: float) -> float:
    """Return the share of new jobs to refuse from now on.

    Args:
        share: The share so far, 0 to 1.
        late_s: How late the event loop has just run, in seconds.
    """
    excess_s = late_s - TARGET_LAG_S
    if excess_s > 0.0:
        growth = min(MAX_GROWTH, GAIN_PER_S * excess_s)
        return min(MAX_SHARE, share + growth)
    share *= DECAY
    return share if share >= MIN_SHARE else 0.0


def is_shed(job_id: str, share: float) -> bool:
    """Return whether a job is among those refused; all daemons agree on it."""
    return zlib.crc32(job_id.encode()) % _BUCKETS < share * _BUCKETS
