"""The daemons that are known, and what was last heard of each."""

import dataclasses

from pollenladder.cluster import messages
from pollenladder.cluster import ownership

# A daemon that has not been linked for so long is thought to be gone.
FORGOTTEN_AFTER_S = 15.0


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
    beat: messages.Beat | None = None
    is_linked: bool = False
    heard_at: float = float("-inf")


class Roster:
    """The other daemons.

    Attributes:
        peers: By daemon id.
    """

    def __init__(self, own_id: str):
        self.peers: dict[str, Peer] = {}
        self._own_id = own_id
        self._forgotten: dict[str, int] = {}

    def learn(
        self, member: Member, now: float, is_linked: bool = False
    ) -> bool:
        """Take in where a daemon is; return whether that is news.

        An incarnation that was forgotten counts again once it is linked.
        """
        if member.daemon_id == self._own_id:
            return False
        forgotten = self._forgotten.get(member.daemon_id, -1)
        if member.incarnation <= forgotten and not is_linked:
            return False
        self._forgotten.pop(member.daemon_id, None)
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

    def record_linked(
        self, daemon_id: str, is_linked: bool, now: float
    ) -> None:
        """Note that a link was made or has ended."""
        peer = self.peers.get(daemon_id)
        if peer is None:
            return
        peer.is_linked = is_linked
        if not is_linked:
            peer.beat = None
            peer.unlinked_since = now

    def record_beat(
        self, daemon_id: str, beat: messages.Beat, now: float
    ) -> None:
        """Note what a daemon says."""
        peer = self.peers.get(daemon_id)
        if peer is not None and peer.is_linked:
            peer.beat = beat
            peer.heard_at = now

    def forget_lost(self, now: float) -> list[str]:
        """Forget the daemons that have long been away; return their ids."""
        lost = [
            daemon_id
            for daemon_id, peer in self.peers.items()
            if not peer.is_linked
            and now > peer.unlinked_since + FORGOTTEN_AFTER_S
        ]
        for daemon_id in lost:
            member = self.peers.pop(daemon_id).member
            self._forgotten[daemon_id] = member.incarnation
        return lost

    def list_heard(
        self, since: float = float("-inf")
    ) -> dict[str, ownership.View]:
        """Return the daemons that are heard, as decisions see them.

        Args:
            since: Who has said nothing since this time is left out.
        """
        return {
            daemon_id: _view(peer.beat)
            for daemon_id, peer in self.peers.items()
            if peer.beat is not None and peer.heard_at >= since
        }

    def list_known(self) -> frozenset[str]:
        """Return the ids of all daemons, this one among them."""
        return frozenset(self.peers) | {self._own_id}


def _view(beat: messages.Beat) -> ownership.View:
    return ownership.View(
        is_owner=beat.is_owner,
        epoch=beat.epoch,
        workers_reached=beat.workers_reached,
        reads_store=beat.reads_store,
        lag_s=beat.lag_s,
        is_leaving=beat.is_leaving,
        is_yielding=beat.is_yielding,
        processor_cores=beat.processor_cores,
        follows=beat.follows,
    )
