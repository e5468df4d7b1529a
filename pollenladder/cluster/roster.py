"""The known daemons, and the latest heartbeat of each.

A daemon that has had no link for a while is forgotten: it no longer counts among the
daemons of which an owner has to reach half. It may still be alive on the other side
of a network partition, so this daemon goes on connecting to it, though seldom.
"""

import dataclasses

from pollenladder.cluster import messages
from pollenladder.cluster import ownership

# A daemon that has had no link for this long is forgotten.
FORGET_AFTER_S = 15.0
# Interval between two attempts to connect to a forgotten daemon.
FORGOTTEN_RETRY_S = 2.0
# These attempts end once the store has had no row of the daemon for this long. A row
# may be missing for a shorter time, as owners delete those of forgotten daemons and
# the ones that are alive write theirs again.
ROWLESS_RETRY_LIMIT_S = 600.0


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """The identity and address of a daemon.

    Attributes:
        daemon_id: The daemon's id, which stays the same after a restart.
        address: The IP address.
        port: The port for links from peers.
        data_centre: The data centre that the daemon runs in.
        incarnation: A number that grows with each start of the daemon.
    """

    daemon_id: str
    address: str
    port: int
    data_centre: str
    incarnation: int


@dataclasses.dataclass(slots=True)
class Peer:
    """The state of another daemon, as seen from this one.

    Attributes:
        member: The peer's identity and address.
        unlinked_since: When the last link ended, or, before the first link,
            when the peer became known.
        heartbeat: The latest heartbeat over the current link, or None.
        is_linked: Whether there is a link to the peer.
        last_heartbeat_at: When the latest heartbeat arrived.
        views: The state of the peer in each group that it owns or may own,
            from its latest heartbeat.
        connect_timeouts: The number of attempts to connect to the peer that have
            timed out since it started or the last link was made.
    """

    member: Member
    unlinked_since: float
    heartbeat: messages.Heartbeat | None = None
    is_linked: bool = False
    last_heartbeat_at: float = float("-inf")
    views: dict[str, ownership.DaemonView] = dataclasses.field(
        default_factory=dict
    )
    connect_timeouts: int = 0


@dataclasses.dataclass(slots=True)
class ForgottenPeer:
    """A daemon that has had no link for `FORGET_AFTER_S`.

    Attributes:
        peer: Its last state.
        listed_at: When its row was last read, or it was forgotten.
        tried_at: When the last attempt to connect began, or it was forgotten.
    """

    peer: Peer
    listed_at: float
    tried_at: float

    def may_be_alive(self, now: float) -> bool:
        """Return whether the daemon may still run, as it had a row recently."""
        return now < self.listed_at + ROWLESS_RETRY_LIMIT_S


class Roster:
    """The other daemons that this daemon knows.

    Attributes:
        peers: The other daemons, by id.
    """

    def __init__(self, own_id: str):
        self.peers: dict[str, Peer] = {}
        self._near_data_centre = ""
        self._near: set[str] = set()
        self._own_id = own_id
        self._forgotten: dict[str, ForgottenPeer] = {}

    def record_member(
        self, member: Member, now: float, is_linked: bool = False
    ) -> bool:
        """Add or update a daemon; return whether anything changed.

        A forgotten incarnation is added again only if it is linked, as its row
        in the store may outlive it.
        """
        if member.daemon_id == self._own_id:
            return False
        forgotten = self._forgotten.get(member.daemon_id)
        if (
            forgotten is not None
            and member.incarnation <= forgotten.peer.member.incarnation
            and not is_linked
        ):
            forgotten.listed_at = now
            return False
        self._forgotten.pop(member.daemon_id, None)
        peer = self.peers.get(member.daemon_id)
        if peer is None:
            self.peers[member.daemon_id] = Peer(member, now)
            self._update_near()
            return True
        if member.incarnation <= peer.member.incarnation:
            return False
        peer.member = member
        peer.connect_timeouts = 0
        if not peer.is_linked:
            peer.unlinked_since = now
        return True

    def record_link_state(
        self, daemon_id: str, is_linked: bool, now: float
    ) -> None:
        """Record that a link to a peer was established or has ended."""
        peer = self.peers.get(daemon_id)
        if peer is None:
            return
        peer.is_linked = is_linked
        peer.connect_timeouts = 0
        if not is_linked:
            peer.heartbeat = None
            peer.views = {}
            peer.unlinked_since = now

    def record_heartbeat(
        self, daemon_id: str, heartbeat: messages.Heartbeat, now: float
    ) -> None:
        """Record the heartbeat of a peer, unless it is not linked."""
        peer = self.peers.get(daemon_id)
        if peer is not None and peer.is_linked:
            peer.heartbeat = heartbeat
            peer.views = build_views(heartbeat)
            peer.last_heartbeat_at = now

    def forget_lost(self, now: float) -> list[str]:
        """Remove peers unlinked for `FORGET_AFTER_S`; return their ids."""
        lost = [
            daemon_id
            for daemon_id, peer in self.peers.items()
            if not peer.is_linked and now > peer.unlinked_since + FORGET_AFTER_S
        ]
        for daemon_id in lost:
            peer = self.peers.pop(daemon_id)
            self._forgotten[daemon_id] = ForgottenPeer(peer, now, now)
        if lost:
            self._update_near()
        return lost

    def take_forgotten_due(self, now: float) -> list[Peer]:
        """Return the forgotten peers to connect to now, and not soon again.

        Those whose address another daemon has are left out.
        """
        due = [
            found
            for found in self._forgotten.values()
            if now >= found.tried_at + FORGOTTEN_RETRY_S
            and found.may_be_alive(now)
        ]
        if not due:
            return []
        for found in due:
            found.tried_at = now
        used = {get_endpoint(peer.member) for peer in self.peers.values()}
        return [
            found.peer
            for found in due
            if get_endpoint(found.peer.member) not in used
        ]

    def list_reachable(
        self, group: str, since: float = float("-inf")
    ) -> dict[str, ownership.DaemonView]:
        """Return the views of the linked peers that belong to a group, by id.

        Args:
            group: The group of workers.
            since: Peers without a heartbeat since this time are left out.
        """
        return {
            daemon_id: peer.views[group]
            for daemon_id, peer in self.peers.items()
            if group in peer.views and peer.last_heartbeat_at >= since
        }

    def list_peers(self) -> set[str]:
        """Return the ids of all known daemons but this one."""
        return set(self.peers)

    def is_whole(self, now: float) -> bool:
        """Return whether all daemons that may be alive have a link."""
        return all(peer.is_linked for peer in self.peers.values()) and not any(
            found.may_be_alive(now) for found in self._forgotten.values()
        )

    def list_ever_known(self) -> frozenset[str]:
        """Return the ids of all daemons known since the start, and this one."""
        return frozenset(self.peers) | {
            self._own_id,
            *self._forgotten,
        }

    def is_near(self, daemon_id: str) -> bool:
        """Return whether a peer may own the same groups as this daemon."""
        return daemon_id in self._near

    def count_near(self) -> int:
        """Return the number of near peers."""
        return len(self._near)

    def limit_near(self, data_centre: str) -> None:
        """Count only the peers of one data centre as near."""
        self._near_data_centre = data_centre
        self._update_near()

    def _update_near(self) -> None:
        self._near = {
            daemon_id
            for daemon_id, peer in self.peers.items()
            if self._near_data_centre in ("", peer.member.data_centre)
        }

    def list_linked(self) -> dict[str, ownership.DaemonView]:
        """Return the views of all linked peers, without any group, by id."""
        return {
            daemon_id: build_view(peer.heartbeat)
            for daemon_id, peer in self.peers.items()
            if peer.heartbeat is not None
        }

    def list_known(self, data_centre: str = "") -> frozenset[str]:
        """Return the ids of all known daemons, including this one.

        Args:
            data_centre: Peers in other data centres are left out, unless it is
                empty.
        """
        return frozenset(
            daemon_id
            for daemon_id, peer in self.peers.items()
            if data_centre in ("", peer.member.data_centre)
        ) | {self._own_id}


def get_endpoint(member: Member) -> tuple[str, int]:
    """Return the address and the port at which a daemon accepts links."""
    return member.address, member.port


def build_views(
    heartbeat: messages.Heartbeat,
) -> dict[str, ownership.DaemonView]:
    """Return the state of a daemon in each of its groups."""
    return {
        state.group: build_view(heartbeat, state) for state in heartbeat.groups
    }


def build_view(
    heartbeat: messages.Heartbeat, state: messages.GroupState | None = None
) -> ownership.DaemonView:
    """Return the state of a daemon in one group, or without any group."""
    return ownership.DaemonView(
        reads_store=heartbeat.reads_store,
        lag_s=heartbeat.lag_s,
        is_leaving=heartbeat.is_leaving,
        processor_cores=heartbeat.processor_cores,
        groups_owned=heartbeat.count_owned(),
        is_owner=state is not None and state.is_owner,
        epoch=state.epoch if state else 0,
        workers_reached=state.workers_reached if state else 0,
        is_backing_off=state is not None and state.is_backing_off,
        follows=state.follows if state else "",
        is_settled=state is not None and state.is_settled,
    )
