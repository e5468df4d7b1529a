"""Count owners that were declared lost but were only slow.

If every machine of a region lacks processor time, each new owner is busy with
its claim for longer than the owner timeout. Then the workers would move from
one daemon to the next and no job would be served. To prevent this, an owner
that is linked again at once and reports a high event loop lag counts as a false
alarm, and recent false alarms lengthen the owner timeout.
"""

from pollenladder.cluster import ownership

# An owner that reconnects within this time was not lost.
RECONNECT_WINDOW_S = 1.0
# False alarms older than this no longer lengthen the timeout.
FALSE_ALARM_TTL_S = 10.0


class Suspicions:
    """The owners that timed out, and the false alarms among them."""

    def __init__(self):
        self._timed_out_at: dict[tuple[str, int], float] = {}
        self._false_alarms_at: list[float] = []

    def record_timeout(
        self, daemon_id: str, incarnation: int, now: float
    ) -> None:
        """Record an owner that was declared lost after the timeout."""
        since = now - RECONNECT_WINDOW_S
        self._timed_out_at = {
            key: at for key, at in self._timed_out_at.items() if at > since
        }
        self._timed_out_at[daemon_id, incarnation] = now

    def record_lag(
        self, daemon_id: str, incarnation: int, lag_s: float, now: float
    ) -> bool:
        """Record a daemon's reported lag; return whether it was a false alarm.

        Args:
            daemon_id: The daemon.
            incarnation: Its incarnation; a restarted owner was really lost.
            lag_s: The lag of its event loop, in seconds.
            now: The current time.
        """
        timed_out_at = self._timed_out_at.pop((daemon_id, incarnation), None)
        if timed_out_at is None or now > timed_out_at + RECONNECT_WINDOW_S:
            return False
        if lag_s <= ownership.LOW_LAG_S:
            # The daemon was in time, so only its connection was silent.
            return False
        self._false_alarms_at.append(now)
        return True

    def count_false_alarms(self, now: float) -> int:
        """Return the number of false alarms within `FALSE_ALARM_TTL_S`."""
        since = now - FALSE_ALARM_TTL_S
        self._false_alarms_at = [
            at for at in self._false_alarms_at if at > since
        ]
        return len(self._false_alarms_at)
