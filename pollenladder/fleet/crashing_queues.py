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
        # By queue and group.
        self._found: dict[tuple[str, str], float] = {}
        self._told: dict[str, float] = {}

    def record(self, queue: str, now: float, group: str = "") -> None:
        """Record that a task of a queue that crashes workers has crashed one.

        Args:
            queue: The queue.
            now: Monotonic time in seconds.
            group: The group of the worker.
        """
        self._found[queue, group] = now + HOLD_S

    def withdraw(self, queue: str, group: str = "") -> None:
        """Take back what was found about a queue in a group of this daemon."""
        self._found.pop((queue, group), None)

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
        if now < self._told.get(queue, never):
            return True
        return any(
            found == queue and now < until
            for (found, _), until in self._found.items()
        )

    def build_report(self, now: float) -> dict[str, float]:
        """Return for how much longer each queue found here counts, in seconds."""
        self._found = {key: t for key, t in self._found.items() if t > now}
        latest: dict[str, float] = {}
        for (queue, _), until in self._found.items():
            latest[queue] = max(until, latest.get(queue, until))
        return {queue: round(t - now, 2) for queue, t in latest.items()}
