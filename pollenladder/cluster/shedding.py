"""Choose the share of new jobs to refuse while the owner is overloaded.

An owner that lacks processor time reads and sends messages late, and late
messages are sent again. So the cost of each job grows with the lag until no job
is served. To prevent this, gateways refuse a share of the new jobs at once,
which costs the owner nothing, and the owner serves the rest in time.
"""

import zlib

# Event loop lag up to which the share does not grow.
TARGET_LAG_S = 0.03
# Growth of the share in one step, for each second of lag above the target.
GAIN_PER_S = 0.25
# Upper limit of the growth in one step.
MAX_GROWTH = 0.05
# Factor applied to the share in a step without excess lag.
DECAY = 0.95
# A smaller share counts as 0.
MIN_SHARE = 0.01
# Below 1, so that some jobs are always admitted and show when the overload
# ends.
MAX_SHARE = 0.95
_BUCKETS = 1000


def adjust_share(share: float, late_s: float) -> float:
    """Return the share of new jobs to refuse from now on, 0 to `MAX_SHARE`.

    Args:
        share: The share so far.
        late_s: The latest measurement of the event loop's lag, in seconds.
    """
    excess_s = late_s - TARGET_LAG_S
    if excess_s > 0.0:
        growth = min(MAX_GROWTH, GAIN_PER_S * excess_s)
        return min(MAX_SHARE, share + growth)
    share *= DECAY
    return share if share >= MIN_SHARE else 0.0


def is_shed(job_id: str, share: float) -> bool:
    """Return whether a job belongs to the share that is refused.

    The result depends only on the arguments, so all daemons agree on it. A job
    that is refused at one share is also refused at any larger one.
    """
    return zlib.crc32(job_id.encode()) % _BUCKETS < share * _BUCKETS
