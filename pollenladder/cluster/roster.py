"""The daemons that are known, and what was last heard of each."""

import dataclasses

from pollenladder.cluster import messages
from pollenladder.cluster import ownership

# A daemon that has not been linked for so long is thought to be gone.
FORGET_AFTER_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Where a daemon is.

    Attributes:
        daemon_id: Its id.
        address: IP number.
        port: Its port for peers.
        data_centre: Where it runs.
        incarnation: Grows with each start.
    """

    daemon_id: str
    address: str
    port: int
    data_centre: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class Peer:
    """What is known of another daemon.

    Attributes:
        member: Where it is.
        beat: What it last said; None before.
        is_linked: Whether there is a link to it.
        unlinked_since: When the last link ended, or when it was first known.
        heard_at: When it last said something.
    """

    member: Member
    unlinked_since: float
    heartbeat: messages.Heartbeat | None = None
    is_linked: bool = False
    last_heartbeat_at: float = float("-inf")


class Roster:
    """The other daemons.

    Attributes:
        peers: By daemon id.
    """

    def __init__(self, own_id: str):
        self.peers: dict[str, Peer] = {}
        self._own_id = own_id
        self._forgotten_incarnations: dict[str, int] = {}

    def record_member(
        self, member: Member, now: float, is_linked: bool = False
    ) -> bool:
        """Take in where a daemon is; return whether that is news.

        An incarnation that was forgotten counts again once it is linked.
        """
        if member.daemon_id == self._own_id:
            return False
        forgotten = self._forgotten_incarnations.get(member.daemon_id, -1)
        if member.incarnation <= forgotten and not is_linked:
            return False
        self._forgotten_incarnations.pop(member.daemon_id, None)
        peer = self.peers.get(member.daemon_id)
        if peer is None:
            self.peers[member.daemon_id] = Peer(member, now)
            return True
        if member.incarnation <= peer.member.incarnation:
            return False
        peer.member = member
        if not peer.is_linked:
            peer.unlinked_since = now
        return True

    def record_link_state(
        self, daemon_id: str, is_linked: bool, now: float
    ) -> None:
        """Note that a link was made or has ended."""
        peer = self.peers.get(daemon_id)
        if peer is None:
            return
        peer.is_linked = is_linked
        if not is_linked:
            peer.heartbeat = None
            peer.unlinked_since = now

    def record_heartbeat(
        self, daemon_id: str, heartbeat: messages.Heartbeat, now: float
    ) -> None:
        """Note what a daemon says."""
        peer = self.peers.get(daemon_id)
        if peer is not None and peer.is_linked:
            peer.heartbeat = heartbeat
            peer.last_heartbeat_at = now

    def forget_lost(self, now: float) -> list[str]:
        """Forget the daemons that have long been away; return their ids."""
        lost = [
            daemon_id
            for daemon_id, peer in self.peers.items()
            if not peer.is_linked and now > peer.unlinked_since + FORGET_AFTER_S
        ]
        for daemon_id in lost:
            member = self.peers.pop(daemon_id).member
            self._forgotten_incarnations[daemon_id] = member.incarnation
        return lost

    def list_reachable(
        self, since: float = float("-inf")
    ) -> dict[str, ownership.DaemonView]:
        """Return the daemons that are heard, as decisions see them.

        Args:
            since: Who has said nothing since this time is left out.
        """
        return {
            daemon_id: _build_view(peer.heartbeat)
            for daemon_id, peer in self.peers.items()
            if peer.heartbeat is not None and peer.last_heartbeat_at >= since
        }

    def list_known(self) -> frozenset[str]:
        """Return the ids of all daemons, this one among them."""
        return frozenset(self.peers) | {self._own_id}


def _build_view(heartbeat: messages.Heartbeat) -> ownership.DaemonView:
    return ownership.DaemonView(
        is_owner=heartbeat.is_owner,
        epoch=heartbeat.epoch,
        workers_reached=heartbeat.workers_reached,
        reads_store=heartbeat.reads_store,
        lag_s=heartbeat.lag_s,
        is_leaving=heartbeat.is_leaving,
        is_backing_off=heartbeat.is_backing_off,
        processor_cores=heartbeat.processor_cores,
        follows=heartbeat.follows,
    )
