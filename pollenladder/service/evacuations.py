"""Learn of evacuated data centres from the store and from other daemons."""

from collections.abc import Callable
import dataclasses
import logging

from pollenladder.cluster import messages
from pollenladder.core import clocks
from pollenladder.fleet import evacuations
from pollenladder.logs import lines as logs
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from pollenladder.platform import store as stores

LOGGER = logging.getLogger(__name__)

# Value of `source` in the event of a set that was read from the store.
STORE_SOURCE = "store"


class EvacuationRows:
    """The evacuated data centres in the operators' rows.

    This is the set as read from the store. The set in force differs if that of
    a peer is newer.
    """

    def __init__(self, on_rejected: Callable[[stores.Row, Exception], None]):
        """Start with an empty set.

        Args:
            on_rejected: Called with an invalid row and the error.
        """
        self._names: set[str] = set()
        self._on_rejected = on_rejected

    def apply(
        self, snapshot: stores.Snapshot, is_full_read: bool
    ) -> evacuations.EvacuatedSet:
        """Apply rows that were read, and return the resulting set."""
        if is_full_read:
            # Rows may have been deleted while no changes could be read.
            self._names.clear()
        for row in snapshot.rows:
            try:
                name = rows.decode_evacuation(row.key)
            except exceptions.BadDocumentError as error:
                self._on_rejected(row, error)
                continue
            if name is None:
                continue
            if row.is_removed:
                self._names.discard(name)
            else:
                self._names.add(name)
        names = tuple(sorted(self._names))
        return evacuations.EvacuatedSet(snapshot.version, names)


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the follower calls.

    Attributes:
        on_change: Called after the set of evacuated data centres has changed.
        set_gauge: Called with the number of evacuated data centres.
    """

    on_change: Callable[[], None]
    set_gauge: Callable[[float], None]


class Follower:
    """Passes what this daemon learns about evacuations to its decisions."""

    def __init__(
        self,
        known: evacuations.Evacuations,
        callbacks: Callbacks,
        clock: clocks.Clock,
    ):
        self._known = known
        self._callbacks = callbacks
        self._clock = clock

    def handle_read(
        self, found: evacuations.EvacuatedSet, began_at: float
    ) -> bool:
        """Handle a set that was read from the store.

        Args:
            found: The set.
            began_at: When the read began.

        Returns:
            Whether the set in force is confirmed.
        """
        now = self._clock()
        if self._known.record_read(found, began_at, now):
            self._report(STORE_SOURCE)
        return self._known.is_current(now)

    def handle_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat
    ) -> None:
        """Handle the set in the heartbeat of a peer."""
        if self._known.record_heartbeat(
            sender,
            heartbeat.evacuated,
            heartbeat.is_evacuated_current,
            self._clock(),
        ):
            self._report(sender)

    def handle_link_change(self, daemon_id: str, is_linked: bool) -> None:
        """Handle that the link to a peer was established or has ended."""
        if is_linked:
            self._known.record_link(daemon_id, self._clock())
        else:
            self._known.forget_link(daemon_id)

    def _report(self, source: str) -> None:
        found = self._known.known
        logs.log(
            LOGGER,
            "evacuation_changed",
            data_centres=found.data_centres,
            version=found.version,
            source=source,
        )
        self._callbacks.set_gauge(len(found.data_centres))
        self._callbacks.on_change()
