"""Which daemons are known, and with which ones this daemon keeps a link."""

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

STEP_S = 0.5
RETRY_S = 1.0
UNLISTED_KEPT_S = 10.0
FAR_LINKS = 2
CLOSE_INTERVAL_S = 10.0


@dataclasses.dataclass
class KnownDaemon:
    """A daemon that was heard of.

    Attributes:
        info: Where it is.
        learned_at: When it was first heard of.
        is_listed: Whether the VM list shows it.
        is_lost: Whether it could not be reached and was not heard of since.
        retry_at: Until when no link to it is tried again.
        version: Its version of the declarations; None if unknown.
        heard_at: When it was last heard of.
    """

    info: messages.PeerInfo
    learned_at: float
    is_listed: bool = False
    is_lost: bool = False
    retry_at: float = float("-inf")
    version: int | None = None
    heard_at: float = float("-inf")


class Mesh:
    """The daemons that are known, and the loop that links to some of them.

    Attributes:
        known: Daemons by id, without this one.
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
        """Note a daemon; a later word on it replaces an earlier one.

        Where a daemon is reached from here, the VM list knows better than the
        daemon itself.
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

    def learn_hints(self, peers: Iterable[conf.Peer]) -> None:
        """Note the daemons that the settings name."""
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
        """Note what a daemon said of itself when a link was made."""
        info = messages.PeerInfo(
            hello.daemon_id,
            hello.data_centre,
            hello.address,
            hello.peer_port,
            hello.http_port,
            False,
        )
        self.learn(info)

    def list_vms(self, vms: Iterable[entities.Vm]) -> None:
        """Take in the VM list: its daemons."""
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
        self.keep_listed({vm.vm_id for vm in entry_vms})

    def keep_listed(self, daemon_ids: set[str]) -> None:
        """Forget daemons that are not in the VM list and have no link.

        One that never was listed may be new, as the list lags: it is kept for
        a while.
        """
        linked = set(self._peers.list_linked())
        now = self._clock()
        for daemon_id, known in list(self.known.items()):
            heard_at = max(known.learned_at, known.heard_at)
            is_old = known.is_listed or now - heard_at >= UNLISTED_KEPT_S
            gone = daemon_id not in daemon_ids and daemon_id not in linked
            if gone and (is_old or known.info.leaving):
                del self.known[daemon_id]

    def record_lost(self, daemon_id: str) -> None:
        """Take a daemon for unreachable for a while."""
        known = self.known.get(daemon_id)
        if known:
            known.is_lost = True
            known.retry_at = self._clock() + RETRY_S

    def record_linked(self, daemon_id: str) -> None:
        """Note that there is a link to a daemon, so it can be reached."""
        known = self.known.get(daemon_id)
        if known:
            known.is_lost = False
            known.retry_at = float("-inf")

    def record_heard(self, daemon_id: str, version: int) -> None:
        """Note that a daemon has said which version it has."""
        known = self.known.get(daemon_id)
        if known:
            known.version = version
            known.heard_at = self._clock()
            self.record_linked(daemon_id)

    def list_candidates(self) -> list[str]:
        """Return the daemons of this region that may own its shards."""
        return [
            daemon_id
            for daemon_id, known in self.known.items()
            if self._is_near(known.info.data_centre)
            and not known.info.leaving
            and not known.is_lost
        ]

    def list_unreachable(self) -> list[str]:
        """Return the data centres of which no daemon can be reached.

        Only owners keep links to other data centres, so only they notice.
        """
        reachable = {self._data_centre}
        for known in self.known.values():
            if not known.is_lost:
                reachable.add(known.info.data_centre)
        return sorted(set(self._layout.list_data_centres()) - reachable)

    def run(self) -> None:
        """Keep the links that are wanted, for ever."""
        while True:
            try:
                self.step()
            except Exception:
                LOGGER.exception("links")
            gevent.sleep(STEP_S)

    def step(self) -> None:
        """Connect to the daemons that a link is wanted with and is missing."""
        linked = set(self._peers.list_linked())
        for daemon_id in self.choose_links() - linked:
            gevent.spawn(self.connect, daemon_id)
        now = self._clock()
        if now >= self._close_at:
            self._close_at = now + CLOSE_INTERVAL_S
            self._peers.close_unwanted()

    def choose_links(self) -> set[str]:
        """Return the daemons that a link is wanted with.

        All in a region link to its owners, and to each other while it lacks
        one. Owners link to a few owners in each data centre of other regions;
        so do others while their own region has no owner.
        """
        now = self._clock()
        shards_here = self._layout.list_region_shards(self._data_centre)
        owners = [self._find_owner(shard_id) for shard_id in shards_here]
        wanted = {owner for owner in owners if owner}
        if None in owners:
            wanted.update(self._list_near())
        if self._daemon_id in owners or not any(owners):
            for centre in self._list_far():
                wanted.update(self._choose_far(centre))
        wanted.discard(self._daemon_id)
        return {
            daemon_id
            for daemon_id in wanted
            if daemon_id in self.known and self.known[daemon_id].retry_at <= now
        }

    def wants_link(self, daemon_id: str) -> bool:
        """Return whether a link to a daemon serves the shards of either end.

        Both ends judge alike: owners are linked with all, and others with
        each other only while a shard of the region has no owner.
        """
        owners = {
            entry.daemon_id for entry in self._shard_directory.entries.values()
        }
        return (
            daemon_id in owners
            or self._daemon_id in owners
            or daemon_id in self.choose_links()
        )

    def is_near(self, daemon_id: str) -> bool:
        """Return whether a daemon is known and of this region."""
        known = self.known.get(daemon_id)
        return known is not None and self._is_near(known.info.data_centre)

    def list_linked_near(self) -> list[str]:
        """Return the linked daemons of this region."""
        return [d for d in self._peers.list_linked() if self.is_near(d)]

    def connect(self, daemon_id: str) -> bool:
        """Link to a known daemon; return whether there is a link.

        One that cannot be reached is lost, and owns nothing as far as can be
        told from here: else a daemon that knew it as an owner by hearsay alone
        would wait for it, and never look for the next owner.
        """
        known = self.known.get(daemon_id)
        if known is None:
            return False
        info = known.info
        if self._peers.connect(daemon_id, info.address, info.peer_port):
            return True
        if self._peers.is_linked(daemon_id):
            # It made a link itself while this attempt failed.
            return True
        self.record_lost(daemon_id)
        directory.forget_daemon(self._shard_directory, daemon_id)
        return False

    def _is_near(self, centre: str) -> bool:
        return self._layout.is_same_region(self._data_centre, centre)

    def _list_near(self) -> list[str]:
        return [
            daemon_id
            for daemon_id, known in self.known.items()
            if self._is_near(known.info.data_centre)
        ]

    def _list_far(self) -> list[str]:
        """Return the data centres of other regions."""
        centres = self._layout.list_data_centres()
        return [centre for centre in centres if not self._is_near(centre)]

    def _find_owner(self, shard_id: str) -> str | None:
        entry = self._shard_directory.entries.get(shard_id)
        return entry.daemon_id if entry else None

    def _choose_far(self, centre: str) -> list[str]:
        """Return owners of a data centre, or some daemon that may know them."""
        owners = {
            self._find_owner(shard_id)
            for shard_id in self._layout.shard_ids
            if directory.get_data_centre(shard_id) == centre
        }
        owners.discard(None)
        if owners:
            ranked = hashing.rank_daemons(self._daemon_id, owners)
            return ranked[:FAR_LINKS]
        now = self._clock()
        others = [
            daemon_id
            for daemon_id, known in self.known.items()
            if known.info.data_centre == centre and known.retry_at <= now
        ]
        return random.sample(others, min(1, len(others)))
