"""Decide which daemons count as reachable, with an owner and without one.

In a large region, daemons that are not the owner send heartbeats at long
intervals, so the lists of peers may hold dead ones. A daemon that has lost its
owner therefore waits up to `heartbeats.OWNER_LOSS_WAIT_S` for fresh heartbeats,
which show the peers that are alive, before it claims the workers.
"""

from pollenladder.cluster import heartbeats
from pollenladder.cluster import ownership
from pollenladder.cluster import roster as rosters


class Liveness:
    """The daemons of one group that are reachable from this one.

    Attributes:
        owner_changed_at: When this daemon last began to follow another owner,
            or none.
    """

    def __init__(self, group: str, roster: rosters.Roster, now: float):
        self.owner_changed_at = now
        self._group = group
        self._roster = roster

    def list_reachable(
        self, has_owner: bool, now: float
    ) -> dict[str, ownership.DaemonView]:
        """Return the views of the reachable daemons, by id.

        Without an owner in a large region, and once the wait for heartbeats is
        over, only peers with a recent heartbeat count as reachable.

        Args:
            has_owner: Whether this daemon follows an owner or is the owner.
            now: The current time.
        """
        if has_owner or self.is_awaiting_heartbeats(has_owner, now):
            return self._roster.list_reachable(self._group)
        if not heartbeats.is_peer_timeout_longer(self._roster.count_near()):
            return self._roster.list_reachable(self._group)
        return self._roster.list_reachable(
            self._group, now - heartbeats.OWNER_TIMEOUT_S
        )

    def is_awaiting_heartbeats(self, has_owner: bool, now: float) -> bool:
        """Return whether to wait for peers to send a heartbeat.

        This is so for at most `heartbeats.OWNER_LOSS_WAIT_S` after the loss of
        the owner, until all linked peers have sent one.
        """
        if has_owner or not heartbeats.is_peer_timeout_longer(
            self._roster.count_near()
        ):
            return False
        received_since_change = self._roster.list_reachable(
            self._group, self.owner_changed_at
        )
        return (
            now < self.owner_changed_at + heartbeats.OWNER_LOSS_WAIT_S
            and received_since_change.keys()
            != self._roster.list_reachable(self._group).keys()
        )
