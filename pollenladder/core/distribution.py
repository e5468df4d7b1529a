"""Distribution of the declarations among the daemons.

It decides which daemons read the declarations from the platform, and sends
newer versions to peers.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from pollenladder.core import clocks
from pollenladder.core import mesh as meshes
from pollenladder.core import polling
from pollenladder.dispatch import directory
from pollenladder.dispatch import tables


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """Functions that the distribution of declarations calls.

    Attributes:
        send: Send a message to another daemon; return whether it was queued.
        list_linked: Return the daemons with an open link.
        is_linked: Return whether a daemon has an open link.
        get_version: Return the version in force on this daemon; 0 if none is.
        choose_update: Return the update for a peer that has reported its
            version, or None.
        choose_broadcast: Return the update for a peer whose last known version
            may be outdated, or None.
    """

    send: Callable[[str, object], bool]
    list_linked: Callable[[], Iterable[str]]
    is_linked: Callable[[str], bool]
    get_version: Callable[[], int]
    choose_update: Callable[[int], polling.Update | None]
    choose_broadcast: Callable[[int], polling.Update | None]


class DeclarationDistributor:
    """Sends declarations to peers that have an older version."""

    def __init__(
        self,
        data_centre: str,
        shard_tables: dict[str, tables.Shard],
        shard_directory: directory.Directory,
        mesh: meshes.Mesh,
        callbacks: Callbacks,
        clock: clocks.Clock,
    ):
        self._data_centre = data_centre
        self._first_shard_id = f"{data_centre}/0"
        self._shards = shard_tables
        self._shard_directory = shard_directory
        self._mesh = mesh
        self._callbacks = callbacks
        self._clock = clock

    def is_reader(self) -> bool:
        """Return whether this daemon has to read the declarations itself.

        It does as the owner of its data centre's first shard, while it has no
        declarations, and while that owner is unknown or has no link here.
        """
        if self._is_first_owner() or not self._callbacks.get_version():
            return True
        entry = self._shard_directory.entries.get(self._first_shard_id)
        # An owner known only from another daemon's digest, without a link,
        # cannot push declarations to this daemon.
        return entry is None or not self._callbacks.is_linked(entry.daemon_id)

    def broadcast(self) -> None:
        """Send a change to the linked peers that may not have it."""
        for daemon_id in self._callbacks.list_linked():
            known = self._mesh.known.get(daemon_id)
            version = known.version if known and known.version else 0
            update = self._callbacks.choose_broadcast(version)
            if update:
                self._callbacks.send(daemon_id, update)

    def update_peer(self, daemon_id: str, version: int) -> None:
        """Send the newest declarations to a peer that reported its version."""
        update = self._callbacks.choose_update(version)
        if update and self._is_source_of(daemon_id):
            self._callbacks.send(daemon_id, update)

    def _is_source_of(self, peer_id: str) -> bool:
        """Return whether a peer gets its declarations from this daemon.

        The owner of the first shard updates the peers of its data centre; any
        daemon may update peers of other data centres.
        """
        known = self._mesh.known.get(peer_id)
        is_local = (
            known is not None and known.info.data_centre == self._data_centre
        )
        return self._is_first_owner() or not is_local

    def _is_first_owner(self) -> bool:
        """Return whether this daemon owns its data centre's first shard."""
        shard = self._shards.get(self._first_shard_id)
        return shard is not None and shard.ownership_is_held(self._clock())
