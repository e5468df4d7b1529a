"""The queues whose tasks crash workers, as one daemon knows them.

An owner finds such queues by the crashes of its own workers and tells them in its
heartbeats. The owners of other groups, and its successor, thus need not lose workers
of their own to find them. A daemon passes on only what it has found itself, so that
two daemons cannot keep reminding each other of a queue that is served well again.
"""

from collections.abc import Mapping

# After its last crash, a queue that crashes workers counts as such for this time.
# Longer than a worker is usually down.
HOLD_S = 5.0


class CrashingQueues:
    """The queues that are taken to crash workers, and until when."""

    def __init__(self):
        self._found: dict[str, float] = {}
        self._told: dict[str, float] = {}

    def record(self, queue: str, now: float) -> None:
        """Record that a task of a queue that crashes workers has crashed one."""
        self._found[queue] = now + HOLD_S

    def withdraw(self, queue: str) -> None:
        """Take back what this daemon has found about a queue."""
        self._found.pop(queue, None)

    def record_told(self, remaining_s: Mapping[str, float], now: float) -> None:
        """Record what another daemon tells.

        Args:
            remaining_s: For how much longer each queue counts, in seconds.
            now: Monotonic time in seconds.
        """
        for queue, left_s in remaining_s.items():
            until = now + min(left_s, HOLD_S)
            self._told[queue] = max(until, self._told.get(queue, until))
        self._told = {q: t for q, t in self._told.items() if t > now}

    def contains(self, queue: str, now: float) -> bool:
        """Return whether a queue is taken to crash workers."""
        never = float("-inf")
        return now < self._found.get(queue, never) or now < self._told.get(
            queue, never
        )

    def build_report(self, now: float) -> dict[str, float]:
        """Return for how much longer each queue found here counts, in seconds."""
        self._found = {q: t for q, t in self._found.items() if t > now}
        return {q: round(t - now, 2) for q, t in self._found.items()}
