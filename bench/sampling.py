"""Sampling of the number of running tasks during a load."""

from collections.abc import Sequence
import threading
import time

from bench import cluster
from bench import counters

INTERVAL_S = 0.2


class Occupancy:
    """Number of tasks that run on all workers, sampled by a thread.

    Attributes:
        samples: Pairs of a wall-clock time, in seconds, and the number of
            running tasks.
    """

    def __init__(self, running: cluster.Cluster):
        self.samples: list[tuple[float, int]] = []
        self._cluster = running
        self._done = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the sampling."""
        self._done.set()
        self._thread.join()

    def compute_mean(self, from_s: float, to_s: float) -> float:
        """Return the mean of the samples between two wall-clock times."""
        return compute_mean(self.samples, from_s, to_s)

    def _sample(self) -> None:
        while not self._done.wait(INTERVAL_S):
            try:
                now = counters.read_endpoint_counters(self._cluster)
            except OSError:
                continue
            running = now.get("starts", 0) - now.get("ended", 0)
            self.samples.append((time.time(), running))


def compute_mean(
    samples: Sequence[tuple[float, int]], from_s: float, to_s: float
) -> float:
    """Return the mean of the samples taken between two times; 0 if none."""
    selected = [value for at_s, value in samples if from_s <= at_s <= to_s]
    return sum(selected) / len(selected) if selected else 0.0
