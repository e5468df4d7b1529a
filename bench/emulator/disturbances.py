"""Pairs of queues whose tasks slow each other down on one worker."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import random

# Factors on the run time by (queue, queue of the neighbour).
Factors = Mapping[tuple[str, str], float]


@dataclasses.dataclass
class Progress:
    """Progress of a run whose neighbours change.

    Attributes:
        queue: The run's queue.
        total_s: Run time without neighbours, in seconds.
        updated_s: Simulated time of the last update.
        done_s: Part of the run time that was done then.
        rate: Progress per second since then; 1 without disturbing neighbours.
        updates: Number of changes of the rate. A scheduled end is outdated
            after the next one.
    """

    queue: str
    total_s: float
    updated_s: float
    done_s: float = 0.0
    rate: float = 0.0
    updates: int = 0

    def get_done_share(self, now: float) -> float:
        """Return the share of the run time that is done."""
        done_s = self.done_s + self.rate * (now - self.updated_s)
        return done_s / self.total_s

    def set_rate(self, rate: float, now: float) -> float:
        """Change the rate; return when the run ends, in simulated time."""
        self.done_s += self.rate * (now - self.updated_s)
        self.updated_s = now
        self.rate = rate
        self.updates += 1
        return now + max(0.0, self.total_s - self.done_s) / rate


def compute_rate(
    factors: Factors, queue: str, neighbours: Iterable[str]
) -> float:
    """Return the progress per second of a run beside others."""
    rate = 1.0
    if not factors:
        return rate
    for neighbour in neighbours:
        rate /= factors.get((queue, neighbour), 1.0)
    return rate


def draw(
    queues: Iterable[str], pairs: int, factor: float, seed: int
) -> dict[tuple[str, str], float]:
    """Draw pairs of different queues that slow each other down.

    Args:
        queues: Names of the queues.
        pairs: Number of pairs; each counts in both directions.
        factor: Factor on the run time of a task for each neighbour.
        seed: Seed of the random number generator.
    """
    queues = sorted(queues)
    possible = [(a, b) for a in queues for b in queues if a < b]
    factors = {}
    for first, second in random.Random(seed).sample(possible, pairs):
        factors[first, second] = factors[second, first] = factor
    return factors
