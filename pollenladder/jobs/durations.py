"""Distribution of run times, relative to the declared ones, by queue.

The load that this answers: in some queues, a few of a hundred tasks take many
times as long as the others, on any worker. Such a run is no sign of a slow
worker, and moving it loses the work done.

A queue's distribution is a histogram with logarithmic buckets. Older samples
decay.
"""

import dataclasses
import math

# The buckets cover ratios from MIN_RATIO to MIN_RATIO * 2 ** (BUCKETS /
# BUCKETS_PER_DOUBLING), which is 64. Values beyond count in the outermost
# buckets.
MIN_RATIO = 1 / 16
BUCKETS_PER_DOUBLING = 4
BUCKETS = 40
# All counts are halved when their sum reaches this number.
MAX_SAMPLES = 2_000.0
# The quantiles of fewer samples are not used: 2 of 100 would be a few samples.
MIN_SAMPLES = 200.0
# The quantiles are computed again after this number of samples.
REFRESH_INTERVAL = 32
# A queue has a long tail if this quantile is more than TAIL_FACTOR times the
# median. With declared run times that are wrong by a sigma of 0.4, the ratio of
# the two is 2.3 without a tail, and 5.9 if 3% of the tasks take 7 times as
# long.
TAIL_QUANTILE = 0.98
TAIL_FACTOR = 4.0
# Run times up to this quantile are usual.
HIGH_QUANTILE = 0.995


@dataclasses.dataclass(slots=True)
class Distribution:
    """Ratios of measured to declared run time of one queue.

    Attributes:
        counts: Number of samples in each bucket, after decay.
        samples: Sum of the counts.
        until_refresh: Number of samples after which the quantiles are computed
            again.
        median: The median; 0 before there are enough samples.
        high: The quantile `HIGH_QUANTILE`.
        has_long_tail: Whether some tasks take many times as long as most.
    """

    counts: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * BUCKETS
    )
    samples: float = 0.0
    until_refresh: int = REFRESH_INTERVAL
    median: float = 0.0
    high: float = 0.0
    has_long_tail: bool = False


def record(distribution: Distribution, ratio: float) -> None:
    """Add a sample: a measured run time divided by the declared one."""
    if not 0 < ratio < math.inf:
        return
    position = BUCKETS_PER_DOUBLING * math.log2(ratio / MIN_RATIO)
    index = max(0, min(BUCKETS - 1, math.floor(position)))
    distribution.counts[index] += 1.0
    distribution.samples += 1.0
    if distribution.samples >= MAX_SAMPLES:
        distribution.counts = [count / 2 for count in distribution.counts]
        distribution.samples = sum(distribution.counts)
    distribution.until_refresh -= 1
    if distribution.until_refresh <= 0:
        refresh(distribution)


def refresh(distribution: Distribution) -> None:
    """Compute the quantiles again."""
    distribution.until_refresh = REFRESH_INTERVAL
    if distribution.samples < MIN_SAMPLES:
        return
    distribution.median = find_quantile(distribution, 0.5)
    distribution.high = find_quantile(distribution, HIGH_QUANTILE)
    tail = find_quantile(distribution, TAIL_QUANTILE)
    distribution.has_long_tail = tail > TAIL_FACTOR * distribution.median


def find_quantile(distribution: Distribution, share: float) -> float:
    """Return the ratio that this share of the samples does not exceed."""
    left = share * distribution.samples
    for index, count in enumerate(distribution.counts):
        if count and left <= count:
            position = index + left / count
            return MIN_RATIO * 2 ** (position / BUCKETS_PER_DOUBLING)
        left -= count
    return MIN_RATIO * 2 ** (BUCKETS / BUCKETS_PER_DOUBLING)
