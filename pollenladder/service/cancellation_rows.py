"""The rows in the platform's store that tell owners of cancelled jobs.

They are written by daemons that could not tell all others, and deleted by owners.
"""

from collections.abc import Callable
import dataclasses

import gevent

from pollenladder.core import clocks
from pollenladder.jobs import cancellations
from pollenladder.platform import exceptions
from pollenladder.platform import names
from pollenladder.platform import rows
from pollenladder.platform import store as stores
from pollenladder.service import row_decoding

# Longest wait of one call for changes.
FEED_WAIT_S = 2.0
RETRY_S = 0.2
# Interval in which a daemon that owns nothing checks whether it has become an owner.
IDLE_S = 0.2


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the cancellation rows call.

    Attributes:
        is_owner: Returns whether this daemon owns any workers.
        cancel_job: Cancels a job here and tells all linked daemons.
    """

    is_owner: Callable[[], bool]
    cancel_job: Callable[[str], object]


class CancellationRows:
    """Writes cancellations to the store, and follows them as an owner."""

    def __init__(
        self, store: stores.Store, callbacks: Callbacks, clock: clocks.Clock
    ):
        self._store = store
        self._callbacks = callbacks
        self._clock = clock
        self._decoder = row_decoding.RowDecoder(clock)
        self._version: int | None = None
        self._read_at: dict[str, float] = {}

    def write(self, job_id: str) -> None:
        """Write that a job was cancelled.

        Raises:
            exceptions.StoreError: The row may not have been written.
        """
        self._store.put(rows.CANCELLATIONS_TABLE, job_id, rows.EMPTY_VALUE)

    def run(self) -> None:
        """Follow the rows while this daemon is an owner, forever."""
        while True:
            if not self._callbacks.is_owner():
                self._version = None
                gevent.sleep(IDLE_S)
                continue
            try:
                self.read_once()
                self._delete_old()
            except exceptions.HistoryLostError:
                self._version = None
            except exceptions.StoreError:
                # The feed of the workers reports outages.
                gevent.sleep(RETRY_S)

    def read_once(self) -> None:
        """Read the changes, or all rows, and cancel the jobs that they name."""
        table = rows.CANCELLATIONS_TABLE
        if self._version is None:
            self._read_at.clear()
            snapshot = self._store.read_table(table)
        else:
            snapshot = self._store.wait_for_changes(
                table, self._version, FEED_WAIT_S
            )
        for row in snapshot.rows:
            self._handle_row(row)
        self._version = max(snapshot.version, self._version or 0)

    def _handle_row(self, row: stores.Row) -> None:
        if row.is_removed:
            self._read_at.pop(row.key, None)
            return
        try:
            job_id = names.check_id(row.key)
        except ValueError as error:
            self._decoder.log_rejected(row, error)
            return
        self._read_at[job_id] = self._clock()
        self._callbacks.cancel_job(job_id)

    def _delete_old(self) -> None:
        """Delete the rows of jobs that no daemon needs to know any more."""
        limit = self._clock() - cancellations.RETENTION_S
        old = [job_id for job_id, at in self._read_at.items() if at < limit]
        for job_id in old:
            self._store.delete(rows.CANCELLATIONS_TABLE, job_id)
            del self._read_at[job_id]
