"""Find the queues whose tasks crash workers.

Each crash of a worker is tested against two hypotheses for each queue: tasks of the
queue cause the crashes, or crashes are independent of it. This is a sequential
probability ratio test as a cumulative sum (E. S. Page, "Continuous Inspection
Schemes", Biometrika 41, 1954). Its input is whether a task of the queue was among
the last ones that the worker had started. A queue with tasks on nearly all workers is
thus not taken for the cause because of crashes that have another one.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import math

# Probability that a crash happens under a task of the queue, if its tasks cause
# crashes. Some crashes have another cause.
CAUSE_PROBABILITY = 0.9
# Bounds the evidence of one crash.
MIN_RATE = 0.05
# Logarithm of the odds above which a queue counts as crashing workers.
THRESHOLD = math.log(100)
MAX_LEVEL = 2 * THRESHOLD
# A level below it is a rounding error.
NEGLIGIBLE_LEVEL = 1e-9
# Evidence decays, as callers mend their tasks.
HALF_LIFE_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Evidence that tasks of a queue crash workers.

    Attributes:
        level: Logarithm of the odds, at least 0.
        at: When the level was computed; monotonic, in seconds.
    """

    level: float
    at: float


def update(
    known: Mapping[str, Evidence],
    suspected: Collection[str],
    rates: Mapping[str, float],
    now: float,
) -> dict[str, Evidence]:
    """Return the evidence after a crash, by queue.

    Args:
        known: The evidence before.
        suspected: The queues with a task among the last ones that the worker had
            started.
        rates: The share of the workers with tasks for which that holds, by queue.
        now: Monotonic time in seconds.
    """
    # The queues that cause crashes explain this one, so it says nothing against
    # another queue.
    is_explained = any(is_crashing(known, queue, now) for queue in suspected)
    updated = {}
    for queue in known.keys() | set(suspected):
        level = get_level(known, queue, now)
        if queue in suspected:
            level += _compute_gain(rates.get(queue, 0.0))
        elif not is_explained:
            level += math.log(1.0 - CAUSE_PROBABILITY)
        if level > 0.0:
            updated[queue] = Evidence(min(level, MAX_LEVEL), now)
    return updated


def remove(
    known: Mapping[str, Evidence],
    queue: str,
    gain: float,
    gained_at: float,
    now: float,
) -> dict[str, Evidence]:
    """Return the evidence without what one crash has added to a queue's.

    Args:
        known: The evidence before.
        queue: The queue.
        gain: What the crash has added.
        gained_at: When that was; monotonic, in seconds.
        now: Monotonic time in seconds.
    """
    updated = dict(known)
    updated.pop(queue, None)
    left = gain * 0.5 ** ((now - gained_at) / HALF_LIFE_S)
    level = get_level(known, queue, now) - left
    if level > NEGLIGIBLE_LEVEL:
        updated[queue] = Evidence(level, now)
    return updated


def get_level(known: Mapping[str, Evidence], queue: str, now: float) -> float:
    """Return the current logarithm of the odds for a queue."""
    found = known.get(queue)
    if found is None:
        return 0.0
    return found.level * 0.5 ** ((now - found.at) / HALF_LIFE_S)


def is_crashing(known: Mapping[str, Evidence], queue: str, now: float) -> bool:
    """Return whether tasks of a queue are taken to crash workers."""
    return get_level(known, queue, now) >= THRESHOLD


def _compute_gain(rate: float) -> float:
    rate = max(rate, MIN_RATE)
    return math.log(CAUSE_PROBABILITY / rate + (1.0 - CAUSE_PROBABILITY))
