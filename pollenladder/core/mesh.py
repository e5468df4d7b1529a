"""The known daemons, and the choice of those that this daemon has links to."""

from collections.abc import Iterable
import dataclasses
import logging
import random

import gevent

from pollenladder.conf import settings as conf
from pollenladder.core import clocks
from pollenladder.core import entities
from pollenladder.core import peering
from pollenladder.dispatch import directory
from pollenladder.membership import hashing
from pollenladder.membership import regions
from pollenladder.wire import handshake
from pollenladder.wire import messages

LOGGER = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.5
# Time after a failed connection in which no other one is attempted.
RETRY_INTERVAL_S = 1.0
# A daemon that was never listed is kept for this time, as it may be new.
UNLISTED_RETENTION_S = 10.0
# An owner's links to each data centre of other regions.
LINKS_PER_REMOTE_CENTRE = 2
# Links that are no longer needed are closed at this interval.
CLOSE_INTERVAL_S = 10.0


@dataclasses.dataclass
class KnownDaemon:
    """A daemon that this daemon knows.

    Attributes:
        info: The daemon's data centre, address and ports.
        learned_at: When the daemon became known.
        is_listed: Whether the daemon has been in the VM list.
        is_lost: Whether the last contact failed: the daemon could not be
            reached, and nothing was received from it since.
        retry_at: No connection is attempted before this time.
        version: Version of the daemon's declarations; None if unknown.
        last_digest_at: When its last digest was received.
    """

    info: messages.PeerInfo
    learned_at: float
    is_listed: bool = False
    is_lost: bool = False
    retry_at: float = float("-inf")
    version: int | None = None
    last_digest_at: float = float("-inf")


class Mesh:
    """The other daemons, and the loop that connects to some of them.

    The links form a partial mesh: owners of shards are linked to the daemons
    of their region and to some owners of other regions.

    Attributes:
        known: The known daemons by id, without this one.
    """

    def __init__(
        self,
        daemon_id: str,
        data_centre: str,
        shard_directory: directory.Directory,
        layout: regions.Regions,
        peers: peering.Peering,
        clock: clocks.Clock,
    ):
        self.known: dict[str, KnownDaemon] = {}
        self._daemon_id = daemon_id
        self._data_centre = data_centre
        self._shard_directory = shard_directory
        self._layout = layout
        self._peers = peers
        self._clock = clock
        self._close_at = clock() + CLOSE_INTERVAL_S

    def learn(self, info: messages.PeerInfo, is_listed: bool = False) -> None:
        """Record a daemon; later information replaces earlier information.

        For the address at which a daemon is reached from here, the VM list
        takes precedence over the daemon's own report.

        Args:
            info: The daemon.
            is_listed: Whether the information is from the VM list.
        """
        if info.daemon_id == self._daemon_id:
            return
        known = self.known.get(info.daemon_id)
        if known is None:
            known = self.known[info.daemon_id] = KnownDaemon(
                info, self._clock()
            )
        leaving = info.leaving or (is_listed and known.info.leaving)
        if is_listed or not known.is_listed:
            known.info = info
        known.info = dataclasses.replace(known.info, leaving=leaving)
        known.is_listed = known.is_listed or is_listed

    def learn_configured(self, peers: Iterable[conf.Peer]) -> None:
        """Record the daemons that the settings name."""
        for peer in peers:
            info = messages.PeerInfo(
                peer.daemon_id,
                peer.data_centre,
                peer.address,
                peer.peer_port,
                0,
                False,
            )
            self.learn(info)

    def learn_hello(self, hello: handshake.Hello) -> None:
        """Record what a daemon reported in the handshake of a link."""
        info = messages.PeerInfo(
            hello.daemon_id,
            hello.data_centre,
            hello.address,
            hello.peer_port,
            hello.http_port,
            False,
        )
        self.learn(info)

    def apply_vm_list(self, vms: Iterable[entities.Vm]) -> None:
        """Record the daemons in the VM list, and forget unlisted ones."""
        entry_vms = [vm for vm in vms if vm.role is entities.VmRole.ENTRY]
        for vm in entry_vms:
            info = messages.PeerInfo(
                vm.vm_id,
                vm.data_centre,
                vm.address,
                vm.port,
                vm.http_port,
                vm.state is entities.VmState.LEAVING,
            )
            self.learn(info, is_listed=True)
        self.forget_unlisted({vm.vm_id for vm in entry_vms})

    def forget_unlisted(self, daemon_ids: set[str]) -> None:
        """Forget daemons that are not in the VM list and have no link.

        The list lags behind. A daemon that was never listed may be new, so it
        is kept for `UNLISTED_RETENTION_S` unless it is leaving.
        """
        linked = set(self._peers.list_linked())
        now = self._clock()
        for daemon_id, known in list(self.known.items()):
            last_seen_at = max(known.learned_at, known.last_digest_at)
            is_old = (
                known.is_listed or now - last_seen_at >= UNLISTED_RETENTION_S
            )
            gone = daemon_id not in daemon_ids and daemon_id not in linked
            if gone and (is_old or known.info.leaving):
                del self.known[daemon_id]

    def record_lost(self, daemon_id: str) -> None:
        """Record that a daemon is unreachable, and delay the next attempt."""
        known = self.known.get(daemon_id)
        if known:
            known.is_lost = True
            known.retry_at = self._clock() + RETRY_INTERVAL_S

    def record_linked(self, daemon_id: str) -> None:
        """Record that a daemon has a link and is therefore reachable."""
        known = self.known.get(daemon_id)
        if known:
            known.is_lost = False
            known.retry_at = float("-inf")

    def record_version(self, daemon_id: str, version: int) -> None:
        """Record the version of the declarations that a daemon reported."""
        known = self.known.get(daemon_id)
        if known:
            known.version = version
            known.last_digest_at = self._clock()
            self.record_linked(daemon_id)

    def list_candidates(self) -> list[str]:
        """Return the daemons of this region that may own its shards."""
        return [
            daemon_id
            for daemon_id, known in self.known.items()
            if self._is_same_region(known.info.data_centre)
            and not known.info.leaving
            and not known.is_lost
        ]

    def list_unreachable(self) -> list[str]:
        """Return the data centres in which no daemon can be reached.

        Only owners keep links to other data centres, so only they can detect
        this.
        """
        reachable = {self._data_centre}
        for known in self.known.values():
            if not known.is_lost:
                reachable.add(known.info.data_centre)
        return sorted(set(self._layout.list_data_centres()) - reachable)

    def run(self) -> None:
        """Maintain the needed links periodically; never return."""
        while True:
            try:
                self.step()
            except Exception:
                LOGGER.exception("links")
            gevent.sleep(STEP_INTERVAL_S)

    def step(self) -> None:
        """Make the needed links that are missing; close unneeded ones at times.

        Links are closed once per `CLOSE_INTERVAL_S`.
        """
        linked = set(self._peers.list_linked())
        for daemon_id in self.choose_links() - linked:
            gevent.spawn(self.connect, daemon_id)
        now = self._clock()
        if now >= self._close_at:
            self._close_at = now + CLOSE_INTERVAL_S
            self._peers.close_unneeded()

    def choose_links(self) -> set[str]:
        """Return the daemons that this daemon should have a link to.

        All daemons of a region link to the owners of its shards, and to each
        other while any of its shards has no owner. Owners also link to a few
        owners in each data centre of other regions; other daemons do so while
        their region has no owner at all.
        """
        now = self._clock()
        shards_here = self._layout.list_region_shards(self._data_centre)
        owners = [self._find_owner(shard_id) for shard_id in shards_here]
        needed = {owner for owner in owners if owner}
        if None in owners:
            needed.update(self._list_in_region())
        if self._daemon_id in owners or not any(owners):
            for centre in self._list_remote_centres():
                needed.update(self._choose_remote(centre))
        needed.discard(self._daemon_id)
        return {
            daemon_id
            for daemon_id in needed
            if daemon_id in self.known and self.known[daemon_id].retry_at <= now
        }

    def is_link_needed(self, daemon_id: str) -> bool:
        """Return whether either end of a link to a daemon needs it.

        Both ends apply the same rule: a link is needed if either end owns a
        shard. Two other daemons need a link only while a shard of the region
        has no owner, or for the search of owners in other regions.
        """
        owners = {
            entry.daemon_id for entry in self._shard_directory.entries.values()
        }
        return (
            daemon_id in owners
            or self._daemon_id in owners
            or daemon_id in self.choose_links()
        )

    def is_in_region(self, daemon_id: str) -> bool:
        """Return whether a daemon is known and belongs to this region."""
        known = self.known.get(daemon_id)
        return known is not None and self._is_same_region(
            known.info.data_centre
        )

    def list_linked_in_region(self) -> list[str]:
        """Return the daemons of this region with an open link."""
        return [d for d in self._peers.list_linked() if self.is_in_region(d)]

    def connect(self, daemon_id: str) -> bool:
        """Connect to a known daemon; return whether there is a link.

        An unreachable daemon is recorded as lost and removed from the directory
        of shard owners. Otherwise a daemon that learned of this owner only from
        others would wait for it and never search for the next owner.
        """
        known = self.known.get(daemon_id)
        if known is None:
            return False
        info = known.info
        if self._peers.connect(daemon_id, info.address, info.peer_port):
            return True
        if self._peers.is_linked(daemon_id):
            # The other daemon made a link while this attempt failed.
            return True
        self.record_lost(daemon_id)
        directory.forget_daemon(self._shard_directory, daemon_id)
        return False

    def _is_same_region(self, centre: str) -> bool:
        return self._layout.is_same_region(self._data_centre, centre)

    def _list_in_region(self) -> list[str]:
        return [
            daemon_id
            for daemon_id, known in self.known.items()
            if self._is_same_region(known.info.data_centre)
        ]

    def _list_remote_centres(self) -> list[str]:
        """Return the data centres of other regions."""
        centres = self._layout.list_data_centres()
        return [
            centre for centre in centres if not self._is_same_region(centre)
        ]

    def _find_owner(self, shard_id: str) -> str | None:
        entry = self._shard_directory.entries.get(shard_id)
        return entry.daemon_id if entry else None

    def _choose_remote(self, centre: str) -> list[str]:
        """Return owners in a data centre, or one daemon that may know them.

        All daemons of this region rank the owners differently, which spreads
        the links.
        """
        owners = {
            self._find_owner(shard_id)
            for shard_id in self._layout.shard_ids
            if directory.get_data_centre(shard_id) == centre
        }
        owners.discard(None)
        if owners:
            ranked = hashing.rank_daemons(self._daemon_id, owners)
            return ranked[:LINKS_PER_REMOTE_CENTRE]
        now = self._clock()
        others = [
            daemon_id
            for daemon_id, known in self.known.items()
            if known.info.data_centre == centre and known.retry_at <= now
        ]
        return random.sample(others, min(1, len(others)))
