"""Which daemons count as heard, while there is an owner and without one.

Answers large regions, in which daemons beat seldom: who has lost its owner first
hears for a moment which of the others are left, and until then claims nothing.
"""

from pollenladder.cluster import heartbeats
from pollenladder.cluster import ownership
from pollenladder.cluster import roster as rosters


class Liveness:
    """Who is heard by one daemon.

    Attributes:
        ownerless_since: When it last began to follow another owner or none.
    """

    def __init__(self, roster: rosters.Roster, now: float):
        self.owner_changed_at = now
        self._roster = roster

    def list_reachable(
        self, has_owner: bool, now: float
    ) -> dict[str, ownership.DaemonView]:
        """Return who is heard; without an owner, only who is left."""
        if has_owner or self.is_awaiting_heartbeats(has_owner, now):
            return self._roster.list_reachable()
        if not heartbeats.is_peer_timeout_longer(len(self._roster.peers)):
            return self._roster.list_reachable()
        return self._roster.list_reachable(now - heartbeats.OWNER_TIMEOUT_S)

    def is_awaiting_heartbeats(self, has_owner: bool, now: float) -> bool:
        """Return whether some have not yet spoken since the owner was lost."""
        if has_owner or not heartbeats.is_peer_timeout_longer(
            len(self._roster.peers)
        ):
            return False
        heard_since_change = self._roster.list_reachable(self.owner_changed_at)
        return (
            now < self.owner_changed_at + heartbeats.OWNER_LOSS_WAIT_S
            and heard_since_change.keys()
            != self._roster.list_reachable().keys()
        )
