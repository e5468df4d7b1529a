"""Follow the platform's store: configuration, workers, daemons, ownership."""

from collections.abc import Callable
import dataclasses
import logging

import gevent
from gevent import event

from pollenladder.cluster import groups
from pollenladder.cluster import roster as rosters
from pollenladder.core import clocks
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import evacuations
from pollenladder.fleet import worker_lists
from pollenladder.fleet import worker_tables
from pollenladder.jobs import entities as jobs
from pollenladder.logs import lines as logs
from pollenladder.platform import exceptions
from pollenladder.platform import rows
from pollenladder.platform import store as stores
from pollenladder.service import evacuations as evacuation_rows
from pollenladder.service import row_decoding
from pollenladder.service import worker_rows

LOGGER = logging.getLogger(__name__)

# Longest wait of one call for changes. A new call follows, so a change of the
# configuration is seen within 2 s even if the feed does not report it.
CONFIGURATION_WAIT_S = 1.2
# Pause between two reads of the workers' table by the owner.
OWNER_WORKERS_PAUSE_S = 0.4
# Shortest pause between two reads of a table by a daemon that is not the owner.
MIN_PAUSE_S = 2.0
# Limit on the reads of each table by all daemons that are not the owner.
MAX_READS_PER_S = 3.0
# Pause between the first reads of the table of daemons after a start.
DAEMONS_BOOT_PAUSE_S = 0.25
RETRY_S = 0.15
MAX_RETRY_S = 0.6


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the feeds call.

    Attributes:
        on_configuration: Called with each configuration that was read.
        on_workers: Called with the complete list of workers, and whether the
            whole table has just been read.
        on_member: Called with each other daemon that was found.
        on_layout: Called with the stored layout of groups and its version in
            the store.
        get_epochs: Returns the epoch of this daemon's ownership of each group
            that it owns.
        on_evacuated: Called with the evacuated data centres after each read of
            the operators' rows, and with the time when the read began. Returns
            whether the set is confirmed; if not, the next read does not wait.
    """

    on_configuration: Callable[[jobs.Configuration], None]
    on_workers: Callable[[tuple[fleet.Listing, ...], bool], None]
    on_member: Callable[[rosters.Member], None]
    on_layout: Callable[[groups.Layout, int], None]
    get_epochs: Callable[[], dict[str, int]]
    on_evacuated: Callable[[evacuations.EvacuatedSet, float], bool]


class Feeds:
    """The loops that follow the tables of the store.

    Attributes:
        list_history: How long the list of workers has been known.
        store_lost_at: When a call last failed after a successful one.
        has_read_daemons: Whether the table of daemons has been read.
    """

    def __init__(
        self,
        store: stores.Store,
        own: rosters.Member,
        callbacks: Callbacks,
        clock: clocks.Clock,
        list_history: worker_lists.ListHistory,
        report_interval_s: float,
    ):
        """Start without having read anything.

        Args:
            store: The store.
            own: This daemon.
            callbacks: The functions of other components.
            clock: Returns the monotonic time in seconds.
            list_history: How long the list of workers has been known.
            report_interval_s: The interval in which workers write their rows, in
                seconds; 0 if it is not known.
        """
        self.list_history = list_history
        self.store_lost_at = clock()
        self.has_read_daemons = False
        self._store = store
        self._own = own
        self._callbacks = callbacks
        self._clock = clock
        self._daemon_count = 1
        self._has_read_layout = False
        self._workers = worker_tables.WorkerTable(
            list_history, report_interval_s
        )
        self._workers_refresh = event.Event()
        self._daemons_refresh = event.Event()
        self._operator_rows = row_decoding.RowDecoder(clock)
        self._worker_rows = row_decoding.RowDecoder(clock)
        self._daemon_rows = row_decoding.RowDecoder(clock)
        self._read_began_at: dict[str, float] = {}
        self._is_set_confirmed = True
        self._evacuation_rows = evacuation_rows.EvacuationRows(
            self._operator_rows.log_rejected
        )

    @property
    def is_store_up(self) -> bool:
        """Whether the last call to the store succeeded."""
        return self.list_history.is_store_up

    def run_configuration(self) -> None:
        """Follow the configuration and the evacuations, forever."""
        self._follow_table(
            rows.OPERATOR_TABLE,
            self._handle_operator_rows,
            None,
            lambda: CONFIGURATION_WAIT_S if self._is_set_confirmed else 0.0,
        )

    def run_workers(self) -> None:
        """Follow the list of workers, forever."""
        self._follow_table(
            rows.WORKERS_TABLE,
            self._handle_workers,
            self._choose_pause_s,
            lambda: 0.0,
        )

    def run_daemons(self) -> None:
        """Register this daemon in the store and read the others, forever."""
        boot_reads = 4
        while True:
            try:
                found = self._store.read_table(rows.DAEMONS_TABLE)
                self._record_up(True)
                self._handle_members(found.rows)
                self.has_read_daemons = True
            except exceptions.StoreError as error:
                self.record_failure("daemons", error)
                gevent.sleep(MAX_RETRY_S)
                continue
            boot_reads -= 1
            pause_s = self._choose_daemons_pause_s(boot_reads > 0)
            self._daemons_refresh.wait(pause_s)
            self._daemons_refresh.clear()

    def _choose_daemons_pause_s(self, is_booting: bool) -> float:
        if is_booting or not self._has_read_layout:
            return DAEMONS_BOOT_PAUSE_S
        return choose_pause_s(self._daemon_count)

    def write_layout(self, layout: groups.Layout, row_version: int) -> None:
        """Store a layout, unless another one has been stored meanwhile.

        Args:
            layout: The new layout.
            row_version: The version of the row that it replaces; 0 if there was
                none.
        """
        try:
            self._store.replace(
                rows.DAEMONS_TABLE,
                rows.LAYOUT_KEY,
                rows.encode_layout(layout),
                row_version,
            )
            self.refresh_daemons()
        except exceptions.RowChangedError:
            self.refresh_daemons()
            logs.log(LOGGER, "layout_not_written", version=layout.version)
        except exceptions.StoreError as error:
            self.record_failure(rows.LAYOUT_KEY, error)

    def delete_daemon_row(self, daemon_id: str) -> None:
        """Delete the row of a daemon that is gone."""
        try:
            self._store.delete(rows.DAEMONS_TABLE, daemon_id)
        except exceptions.StoreError as error:
            self.record_failure("daemons", error)

    def reads_store(self, within_s: float) -> bool:
        """Return whether the store has answered within some seconds.

        Args:
            within_s: The number of seconds.
        """
        lost_s = self._clock() - self.store_lost_at
        return self.is_store_up or lost_s < within_s

    def refresh_workers(self) -> None:
        """Read the whole table of workers now."""
        self._workers_refresh.set()

    def refresh_daemons(self) -> None:
        """Read the table of daemons, with the layout, now."""
        self._daemons_refresh.set()

    def list_workers(self) -> tuple[fleet.Listing, ...]:
        """Return the listed workers."""
        return self._workers.list_workers()

    def _follow_table(
        self,
        table: str,
        handle: Callable[[stores.Snapshot, bool], None],
        choose_pause_s: Callable[[], float] | None,
        choose_wait_s: Callable[[], float],
    ) -> None:
        """Read a whole table, then its changes; read it whole after failures.

        Args:
            table: The table.
            handle: Called with the rows that were read, and whether they are
                the whole table.
            choose_pause_s: Returns the pause between two reads; None for no
                pause.
            choose_wait_s: Returns how long the next call waits for changes.
        """
        version = None
        # A whole read does not show rows that appeared and expired since the
        # last one, so the changes of the workers' table are read before it.
        reads_changes_first = table == rows.WORKERS_TABLE
        is_full_wanted = False
        retry_s = RETRY_S
        while True:
            try:
                if is_full_wanted and version is not None:
                    if reads_changes_first:
                        self._read_once(table, handle, version, 0.0)
                    version = None
                version = self._read_once(
                    table, handle, version, choose_wait_s()
                )
                is_full_wanted = False
                retry_s = RETRY_S
            except exceptions.HistoryLostError:
                logs.log(LOGGER, "history_lost", table=table, version=version)
                if table == rows.WORKERS_TABLE:
                    self.list_history.record_history_lost(self._clock())
                version = None
                continue
            except exceptions.StoreError as error:
                self.record_failure(table, error)
                # Only a full read shows the changes missed meanwhile.
                is_full_wanted = True
                gevent.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, 2 * retry_s)
                continue
            if choose_pause_s is not None and self._workers_refresh.wait(
                choose_pause_s()
            ):
                self._workers_refresh.clear()
                is_full_wanted = True

    def _read_once(
        self,
        table: str,
        handle: Callable[[stores.Snapshot, bool], None],
        version: int | None,
        wait_s: float,
    ) -> int:
        is_full_read = version is None
        began_at = self._clock()
        self._read_began_at[table] = began_at
        if is_full_read:
            snapshot = self._store.read_table(table)
        else:
            snapshot = self._store.wait_for_changes(table, version, wait_s)
        # Recorded first, because missing rows are kept after an outage.
        self._record_up(True)
        if table == rows.WORKERS_TABLE:
            self._record_read(snapshot.version, began_at, is_full_read)
        handle(snapshot, is_full_read)
        return max(snapshot.version, version or 0)

    def _record_read(
        self, version: int, began_at: float, is_full_read: bool
    ) -> None:
        read_at = self.list_history.read_at
        if self.list_history.record_read(version, began_at, is_full_read):
            gap_s = round(began_at - read_at, 3)
            logs.log(LOGGER, "worker_list_gap", gap_s=gap_s)

    def _record_up(self, is_up: bool) -> None:
        if is_up == self.is_store_up:
            return
        now = self._clock()
        self.list_history.record_store_state(is_up, now)
        calls = dict(self._store.calls)
        if is_up:
            logs.log(LOGGER, "store_regained", calls=calls)
        else:
            logs.log(LOGGER, "store_lost", calls=calls)
        if not is_up:
            self.store_lost_at = now

    def record_failure(self, what: str, error: Exception) -> None:
        """Record that a call to the store failed."""
        if self.is_store_up:
            logs.log(LOGGER, "store_failed", what=what, error=str(error))
        # Also before the first successful call, which then ends an outage.
        self.list_history.record_failure()
        self._record_up(False)

    def _handle_operator_rows(
        self, snapshot: stores.Snapshot, is_full_read: bool
    ) -> None:
        self._is_set_confirmed = self._callbacks.on_evacuated(
            self._evacuation_rows.apply(snapshot, is_full_read),
            self._read_began_at[rows.OPERATOR_TABLE],
        )
        for row in snapshot.rows:
            if row.key != rows.CONFIGURATION_KEY or row.is_removed:
                continue
            found = self._operator_rows.decode(row, rows.decode_configuration)
            if found is not None:
                self._callbacks.on_configuration(found)

    def _handle_workers(
        self, snapshot: stores.Snapshot, is_full_read: bool
    ) -> None:
        dropped = self._workers.update(
            worker_rows.decode_changes(snapshot, self._worker_rows),
            is_full_read,
            self._clock(),
        )
        for worker_id in dropped.expired:
            logs.log(LOGGER, "worker_lapsed", worker=worker_id)
        for worker_id in dropped.unexplained:
            logs.log(LOGGER, "worker_end_unknown", worker=worker_id)
        self._callbacks.on_workers(self.list_workers(), is_full_read)

    def _choose_pause_s(self) -> float:
        if self._callbacks.get_epochs():
            return OWNER_WORKERS_PAUSE_S
        return choose_pause_s(self._daemon_count)

    def _handle_members(self, found: tuple[stores.Row, ...]) -> None:
        daemons = 1
        is_registered = False
        layout_row = None
        for row in found:
            if row.key == rows.LAYOUT_KEY:
                layout_row = row
                continue
            member = self._daemon_rows.decode(row, rows.decode_member)
            if member == self._own:
                is_registered = True
            elif member is not None:
                daemons += 1
                self._callbacks.on_member(member)
        self._daemon_count = daemons
        if not is_registered:
            entry = rows.encode_member(self._own)
            self._store.put(rows.DAEMONS_TABLE, self._own.daemon_id, entry)
        self._handle_layout(layout_row)

    def _handle_layout(self, row: stores.Row | None) -> None:
        if row is None:
            self._callbacks.on_layout(groups.Layout(), 0)
            return
        # Whoever is to choose the layout replaces a row that is not valid.
        layout = (
            self._daemon_rows.decode(row, rows.decode_layout) or groups.Layout()
        )
        self._has_read_layout = layout.version > 0
        self._callbacks.on_layout(layout, row.version)


def choose_pause_s(daemons: int) -> float:
    """Return the pause between two reads of a table, in seconds.

    It applies to daemons that are not the owner. Workers renew their rows each
    second, so even a read of the changes returns most of the rows.

    Args:
        daemons: The number of daemons, including this one.
    """
    return max(MIN_PAUSE_S, daemons / MAX_READS_PER_S)
