"""Remember owners that were taken for lost and were only slow.

Answers regions in which every machine is short of processor: each new owner is
busy with its claim for longer than an owner may be silent, so that the workers
would go from one daemon to the next and nobody would serve. An owner that is
linked again at once and says that it runs late was not lost, and from then on
owners are waited for longer.
"""

from pollenladder.cluster import ownership

# An owner that is back within this time was there all along.
RECONNECT_WINDOW_S = 1.0
# How long a false alarm counts.
FALSE_ALARM_TTL_S = 10.0


class Suspicions:
    """Owners lost for their silence, and the false alarms among them."""

    def __init__(self):
        self._timed_out_at: dict[tuple[str, int], float] = {}
        self._false_alarms_at: list[float] = []

    def record_timeout(
        self, daemon_id: str, incarnation: int, now: float
    ) -> None:
        """Note an owner that was taken for lost, as it was silent."""
        since = now - RECONNECT_WINDOW_S
        self._timed_out_at = {
            key: at for key, at in self._timed_out_at.items() if at > since
        }
        self._timed_out_at[daemon_id, incarnation] = now

    def record_lag(
        self, daemon_id: str, incarnation: int, lag_s: float, now: float
    ) -> bool:
        """Note how late a daemon runs; return whether it was a false alarm."""
        timed_out_at = self._timed_out_at.pop((daemon_id, incarnation), None)
        if timed_out_at is None or now > timed_out_at + RECONNECT_WINDOW_S:
            return False
        if lag_s <= ownership.LOW_LAG_S:
            # Its connection went silent, and not the daemon.
            return False
        self._false_alarms_at.append(now)
        return True

    def count_false_alarms(self, now: float) -> int:
        """Return how many false alarms there were lately."""
        since = now - FALSE_ALARM_TTL_S
        self._false_alarms_at = [
            at for at in self._false_alarms_at if at > since
        ]
        return len(self._false_alarms_at)
