"""Remember owners that were taken for lost and were only slow.

Answers regions in which every machine is short of processor: each new owner is
busy with its claim for longer than an owner may be silent, so that the workers
would go from one daemon to the next and nobody would serve. An owner that is
linked again at once and says that it runs late was not lost, and from then on
owners are waited for longer.
"""

from pollenladder.cluster import ownership

# An owner that is back within this time was there all along.
RETURN_S = 1.0
# How long a false alarm counts.
REMEMBERED_S = 10.0


class Suspicions:
    """Owners lost for their silence, and the false alarms among them."""

    def __init__(self):
        self._lost: dict[tuple[str, int], float] = {}
        self._alarms: list[float] = []

    def record_lost(self, daemon_id: str, incarnation: int, now: float) -> None:
        """Note an owner that was taken for lost, as it was silent."""
        since = now - RETURN_S
        self._lost = {key: at for key, at in self._lost.items() if at > since}
        self._lost[daemon_id, incarnation] = now

    def record_lag(
        self, daemon_id: str, incarnation: int, lag_s: float, now: float
    ) -> bool:
        """Note how late a daemon runs; return whether it was a false alarm."""
        lost_at = self._lost.pop((daemon_id, incarnation), None)
        if lost_at is None or now > lost_at + RETURN_S:
            return False
        if lag_s <= ownership.QUICK_LAG_S:
            # Its connection went silent, and not the daemon.
            return False
        self._alarms.append(now)
        return True

    def count_alarms(self, now: float) -> int:
        """Return how many false alarms there were lately."""
        since = now - REMEMBERED_S
        self._alarms = [at for at in self._alarms if at > since]
        return len(self._alarms)
