"""Whether daemons were parted lately, so that they may not know the same owners."""

# Jobs that begin while daemons are parted may last for about as long.
DOUBT_S = 10.0
# A peer that has been away for longer has stopped for good.
MAX_ABSENCE_S = 60.0


class PeerLosses:
    """When this daemon lost its links to others, and had them again."""

    def __init__(self):
        self._lost_at: dict[str, float] = {}
        self._doubtful_until = float("-inf")

    def record_change(
        self, daemon_id: str, is_linked: bool, now: float
    ) -> None:
        """Record that a link was established or has ended.

        Args:
            daemon_id: The daemon at the other end.
            is_linked: Whether there is a link now.
            now: Monotonic time in seconds.
        """
        if not is_linked:
            self._lost_at.setdefault(daemon_id, now)
        elif self._lost_at.pop(daemon_id, None) is not None:
            self._doubtful_until = now + DOUBT_S

    def is_recent(self, now: float) -> bool:
        """Return whether a link is lost, or was until lately."""
        if self._lost_at:
            self._forget_stopped(now)
        return bool(self._lost_at) or now < self._doubtful_until

    def _forget_stopped(self, now: float) -> None:
        self._lost_at = {
            daemon_id: at
            for daemon_id, at in self._lost_at.items()
            if now < at + MAX_ABSENCE_S
        }
