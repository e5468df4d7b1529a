"""Tell peers of this daemon, and take in what they tell of themselves."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import gevent

from pollenladder.core import clocks
from pollenladder.core import mesh as meshes
from pollenladder.dispatch import directory
from pollenladder.dispatch import spilling
from pollenladder.dispatch import tables
from pollenladder.wire import messages

INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True)
class Outlets:
    """Functions that digests call.

    Attributes:
        send: Send a message to another daemon; return whether it was queued.
        list_linked: Return the daemons with an open link.
        get_version: Return the version of the declarations in force here.
        is_draining: Return whether this daemon is leaving.
        on_heard: A daemon told its version of the declarations.
    """

    send: Callable[[str, object], bool]
    list_linked: Callable[[], Iterable[str]]
    get_version: Callable[[], int]
    is_draining: Callable[[], bool]
    on_heard: Callable[[str, int], None]


class Digests:
    """What is told of this daemon, and the directory of what others tell."""

    def __init__(
        self,
        shard_tables: dict[str, tables.Shard],
        shard_directory: directory.Directory,
        mesh: meshes.Mesh,
        outlets: Outlets,
        clock: clocks.Clock,
    ):
        self._shards = shard_tables
        self._shard_directory = shard_directory
        self._mesh = mesh
        self._outlets = outlets
        self._clock = clock

    def run(self) -> None:
        """Tell all linked peers, rarely, as changes are told at once.

        That a peer lives is seen by the heartbeats of the link.
        """
        while True:
            gevent.sleep(INTERVAL_S)
            self.tell_all()

    def greet(self, daemon_id: str) -> None:
        """Tell a daemon that has a new link all that it may not know."""
        self._outlets.send(daemon_id, self._describe(with_peers=True))

    def tell(self, daemon_id: str) -> None:
        """Tell one daemon of this one."""
        self._outlets.send(daemon_id, self._describe())

    def tell_all(self) -> None:
        """Tell all linked daemons of this one."""
        for daemon_id in self._outlets.list_linked():
            self.tell(daemon_id)

    def take(self, sender: str, digest: messages.Digest) -> None:
        """Take in what a daemon tells of itself and of others."""
        for info in digest.peers:
            if info.daemon_id not in self._mesh.known:
                self._mesh.learn(info)
        self._learn_leaving(sender, digest.leaving)
        self._mesh.record_heard(sender, digest.version)
        if self._record_loads(sender, digest):
            gevent.spawn(self._mesh.step)
        self._outlets.on_heard(sender, digest.version)

    def _learn_leaving(self, sender: str, leaving: bool) -> None:
        known = self._mesh.known.get(sender)
        if known:
            info = dataclasses.replace(known.info, leaving=leaving)
            self._mesh.learn(info)

    def _record_loads(self, sender: str, digest: messages.Digest) -> bool:
        """Take in who owns what; return whether an owner has changed."""
        now = self._clock()
        owned = frozenset(load.shard_id for load in digest.loads)
        directory.forget_disowned_shards(self._shard_directory, sender, owned)
        changed = False
        for load in digest.loads:
            changed |= directory.record_load(
                self._shard_directory, sender, load, now
            )
        for owner in digest.owners:
            changed |= directory.record_owner(self._shard_directory, owner, now)
        return changed

    def _describe(self, with_peers: bool = False) -> messages.Digest:
        now = self._clock()
        owned = [s for s in self._shards.values() if s.ownership_is_held(now)]
        peers: tuple[messages.PeerInfo, ...] = ()
        owners: tuple[messages.ShardOwner, ...] = ()
        if with_peers:
            peers = tuple(known.info for known in self._mesh.known.values())
            owners = tuple(
                messages.ShardOwner(e.shard_id, e.daemon_id, e.epoch, e.slots)
                for e in self._shard_directory.entries.values()
            )
        return messages.Digest(
            self._outlets.get_version(),
            self._outlets.is_draining(),
            tuple(spilling.describe_load(s, now) for s in owned),
            owners,
            peers,
        )
