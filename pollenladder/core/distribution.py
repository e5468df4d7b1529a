"""Decide who reads the declarations, and spread them to peers."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from pollenladder.core import clocks
from pollenladder.core import mesh as meshes
from pollenladder.core import polling
from pollenladder.dispatch import directory
from pollenladder.dispatch import tables


@dataclasses.dataclass(frozen=True)
class Outlets:
    """Functions by which declarations spread.

    Attributes:
        send: Send a message to another daemon; return whether it was queued.
        list_linked: Return the daemons with an open link.
        is_linked: Return whether a daemon has an open link.
        get_version: Return the version in force here; 0 if none is.
        choose_push: Return what brings a version that is behind up to date.
        choose_share: Return what a peer with a version is sent after a change.
    """

    send: Callable[[str, object], bool]
    list_linked: Callable[[], Iterable[str]]
    is_linked: Callable[[str], bool]
    get_version: Callable[[], int]
    choose_push: Callable[[int], polling.Push | None]
    choose_share: Callable[[int], polling.Push | None]


class Declaring:
    """The spread of declarations from and to this daemon."""

    def __init__(
        self,
        data_centre: str,
        shard_tables: dict[str, tables.Shard],
        shard_directory: directory.Directory,
        mesh: meshes.Mesh,
        outlets: Outlets,
        clock: clocks.Clock,
    ):
        self._data_centre = data_centre
        self._first_shard_id = f"{data_centre}/0"
        self._shards = shard_tables
        self._shard_directory = shard_directory
        self._mesh = mesh
        self._outlets = outlets
        self._clock = clock

    def is_reader(self) -> bool:
        """Return whether this daemon reads the declarations itself."""
        if self._is_first_owner() or not self._outlets.get_version():
            return True
        entry = self._shard_directory.entries.get(self._first_shard_id)
        # An owner known by hearsay alone pushes nothing here.
        return entry is None or not self._outlets.is_linked(entry.daemon_id)

    def share(self) -> None:
        """Send a change to the linked peers that may lack it."""
        for daemon_id in self._outlets.list_linked():
            known = self._mesh.known.get(daemon_id)
            version = known.version if known and known.version else 0
            push = self._outlets.choose_share(version)
            if push:
                self._outlets.send(daemon_id, push)

    def answer(self, daemon_id: str, version: int) -> None:
        """Send a peer that told its version what it lacks."""
        push = self._outlets.choose_push(version)
        if push and self._is_sharer(daemon_id):
            self._outlets.send(daemon_id, push)

    def _is_sharer(self, peer_id: str) -> bool:
        """Return whether a peer that is behind gets declarations from here."""
        known = self._mesh.known.get(peer_id)
        is_local = (
            known is not None and known.info.data_centre == self._data_centre
        )
        return self._is_first_owner() or not is_local

    def _is_first_owner(self) -> bool:
        shard = self._shards.get(self._first_shard_id)
        return shard is not None and shard.ownership_is_held(self._clock())
