"""The rows in the platform's store by which owners show that they are alive."""

from collections.abc import Callable
import dataclasses

import gevent

from pollenladder.core import clocks
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from pollenladder.platform import store as stores
from pollenladder.service import row_decoding

OWNERSHIP_INTERVAL_S = 0.5
# If the owner's row has not changed for this long, there is no live owner.
OWNER_ROW_STALE_S = 2.5


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the owner rows call.

    Attributes:
        on_epoch: Called with a group and the epoch in its owner's row.
        on_failure: Called with a table and an error when a call to the store
            failed.
        get_epochs: Returns the epoch of this daemon's ownership of each group
            that it owns.
        list_ownerless: Returns the groups of which this daemon follows no
            owner.
    """

    on_epoch: Callable[[str, int], None]
    on_failure: Callable[[str, Exception], None]
    get_epochs: Callable[[], dict[str, int]]
    list_ownerless: Callable[[], list[str]]


@dataclasses.dataclass(slots=True)
class OwnerRow:
    """The row of a group's owner, as it was last read.

    Attributes:
        version: The row's version in the store; 0 if there is no row.
        unchanged_since: When the row was first read with this version.
        read_at: When the row was last read.
    """

    version: int
    unchanged_since: float
    read_at: float


class OwnerRows:
    """Writes the rows of the owned groups, and watches those without owner."""

    def __init__(
        self,
        store: stores.Store,
        own_id: str,
        callbacks: Callbacks,
        clock: clocks.Clock,
    ):
        self._store = store
        self._own_id = own_id
        self._callbacks = callbacks
        self._clock = clock
        self._decoder = row_decoding.RowDecoder(clock)
        self._rows: dict[str, OwnerRow] = {}

    def run(self) -> None:
        """Refresh the rows of the owned groups, and watch others, forever.

        A daemon watches the rows of the groups of which it follows no owner.
        """
        while True:
            gevent.sleep(OWNERSHIP_INTERVAL_S)
            try:
                self._refresh()
            except exceptions.StoreError as error:
                self._callbacks.on_failure(rows.OWNERSHIP_TABLE, error)

    def _refresh(self) -> None:
        for group, epoch in self._callbacks.get_epochs().items():
            value = rows.encode_ownership(self._own_id, epoch)
            self._store.put(rows.OWNERSHIP_TABLE, group, value)
        ownerless = self._callbacks.list_ownerless()
        for group in self._rows.keys() - set(ownerless):
            del self._rows[group]
        if not ownerless:
            return
        found = {
            row.key: row
            for row in self._store.read_table(rows.OWNERSHIP_TABLE).rows
        }
        for group in ownerless:
            row = found.get(group)
            self.record_row(group, row.version if row else 0)
            if row is not None:
                self._handle_row(row)

    def _handle_row(self, row: stores.Row) -> None:
        epoch = self._decoder.decode(row, rows.decode_ownership)
        if epoch is not None:
            self._callbacks.on_epoch(row.key, epoch)

    def record_row(self, group: str, version: int) -> None:
        """Record the version of a group's owner row that was just read."""
        now = self._clock()
        before = self._rows.get(group)
        if before is None or before.version != version:
            self._rows[group] = OwnerRow(version, now, now)
        else:
            before.read_at = now

    def is_stale(self, group: str) -> bool:
        """Return whether no owner has written its row for `OWNER_ROW_STALE_S`.

        The result is False if the row has not been read recently.
        """
        row = self._rows.get(group)
        if row is None:
            return False
        now = self._clock()
        is_recent = now < row.read_at + 2 * OWNERSHIP_INTERVAL_S
        return is_recent and now > row.unchanged_since + OWNER_ROW_STALE_S
