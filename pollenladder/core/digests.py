"""Exchange of digests, by which daemons describe themselves to their peers.

A digest contains the version of the declarations, whether the daemon is
leaving, and the load of the shards that it owns. The first digest over a new
link also contains the daemons and shard owners that the sender knows.
"""

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

BROADCAST_INTERVAL_S = 10.0


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """Functions that the exchange of digests calls.

    Attributes:
        send: Send a message to another daemon; return whether it was queued.
        list_linked: Return the daemons with an open link.
        get_version: Return the version of the declarations in force on this
            daemon.
        is_draining: Return whether this daemon is leaving.
        on_version_received: Called with a daemon and the version of its
            declarations after each digest.
    """

    send: Callable[[str, object], bool]
    list_linked: Callable[[], Iterable[str]]
    get_version: Callable[[], int]
    is_draining: Callable[[], bool]
    on_version_received: Callable[[str, int], None]


class DigestExchange:
    """Sends this daemon's digest and records the digests of others."""

    def __init__(
        self,
        shard_tables: dict[str, tables.Shard],
        shard_directory: directory.Directory,
        mesh: meshes.Mesh,
        callbacks: Callbacks,
        clock: clocks.Clock,
    ):
        self._shards = shard_tables
        self._shard_directory = shard_directory
        self._mesh = mesh
        self._callbacks = callbacks
        self._clock = clock

    def run(self) -> None:
        """Send the digest to all linked peers periodically; never return.

        The interval is long because changes are sent immediately, and the
        heartbeats of a link show whether the peer is alive.
        """
        while True:
            gevent.sleep(BROADCAST_INTERVAL_S)
            self.broadcast()

    def send_full_digest(self, daemon_id: str) -> None:
        """Send the digest with all known daemons and owners to a new peer."""
        self._callbacks.send(daemon_id, self._build_digest(with_peers=True))

    def send(self, daemon_id: str) -> None:
        """Send the digest to one daemon."""
        self._callbacks.send(daemon_id, self._build_digest())

    def broadcast(self) -> None:
        """Send the digest to all linked daemons."""
        for daemon_id in self._callbacks.list_linked():
            self.send(daemon_id)

    def handle_digest(self, sender: str, digest: messages.Digest) -> None:
        """Record what a daemon reports of itself and of others."""
        for info in digest.peers:
            if info.daemon_id not in self._mesh.known:
                self._mesh.learn(info)
        self._record_leaving(sender, digest.leaving)
        self._mesh.record_version(sender, digest.version)
        if self._record_loads(sender, digest):
            # The owners determine which links are needed.
            gevent.spawn(self._mesh.step)
        self._callbacks.on_version_received(sender, digest.version)

    def _record_leaving(self, sender: str, leaving: bool) -> None:
        known = self._mesh.known.get(sender)
        if known:
            info = dataclasses.replace(known.info, leaving=leaving)
            self._mesh.learn(info)

    def _record_loads(self, sender: str, digest: messages.Digest) -> bool:
        """Record loads and owners; return whether a shard's owner changed.

        The digest lists all shards that the sender owns. Its other entries in
        the directory are out of date.
        """
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

    def _build_digest(self, with_peers: bool = False) -> messages.Digest:
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
            self._callbacks.get_version(),
            self._callbacks.is_draining(),
            tuple(spilling.describe_load(s, now) for s in owned),
            owners,
            peers,
        )
