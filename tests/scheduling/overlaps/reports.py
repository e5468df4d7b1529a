"""The reports of the workers to the store, and the rows made from them."""

from collections.abc import Iterable
import dataclasses

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import worker_tables
from tests.scheduling.overlaps import networks
from tests.scheduling.overlaps import stores
from tests.scheduling.overlaps import workers as simulated_workers

# Shorter than on a platform, as histories are short.
REPORT_INTERVAL_S = 0.6
# A row is removed after this time without a report.
EXPIRY_S = 3 * REPORT_INTERVAL_S


@dataclasses.dataclass(frozen=True)
class _Change:
    """A change of a row; the listing is None if the row was removed."""

    version: int
    worker_id: str
    listing: fleet.Listing | None


class Reports:
    """What the workers report, and how long their rows last.

    Attributes:
        silent: The workers that cannot reach the store, with the number of faults.
    """

    def __init__(
        self,
        network: networks.Network,
        rows: stores.Rows,
        workers: dict[str, simulated_workers.Worker],
        listings: Iterable[fleet.Listing],
    ):
        self.silent: dict[str, int] = {}
        self._network = network
        self._schedule = network.schedule
        self._rows = rows
        self._workers = workers
        self._listings = {found.worker_id: found for found in listings}
        self._changes: list[_Change] = []
        self._latest: dict[str, _Change] = {}
        for worker_id in self._listings:
            self._write(worker_id)
            first_s = self._schedule.random.uniform(0.0, REPORT_INTERVAL_S)
            self._schedule.call_later(first_s, None, self._run, worker_id)

    def read(self, after: int, is_full: bool) -> worker_tables.RowChanges:
        """Return the rows that have changed after a version, or all of them."""
        if is_full:
            found = list(self._latest.values())
        else:
            found = [c for c in self._changes if c.version > after]
        removed = {} if is_full else self._list_removed(found)
        return worker_tables.RowChanges(
            {c.worker_id: c.listing for c in found if c.listing is not None},
            removed,
        )

    def _list_removed(self, found: list[_Change]) -> dict[str, bool]:
        return {
            change.worker_id: self._latest[change.worker_id].listing is None
            for change in found
            if change.listing is None
        }

    def drain(self, worker_id: str) -> None:
        """Let a worker report that it drains."""
        self._set_draining(worker_id, True)

    def leave(self, worker_id: str) -> None:
        """End a draining worker; its row is removed if it reaches the store."""
        worker = self._workers[worker_id]
        if not self._listings[worker_id].is_draining or not worker.is_up:
            return
        worker.kill()
        if self._reaches_store(worker_id):
            self._remove(worker_id)

    def come_back(self, worker_id: str) -> None:
        """Start a process at the id of a worker that has left."""
        if not self._workers[worker_id].is_up:
            self._workers[worker_id].start()
        self._set_draining(worker_id, False)

    def _set_draining(self, worker_id: str, is_draining: bool) -> None:
        self._listings[worker_id] = dataclasses.replace(
            self._listings[worker_id], is_draining=is_draining
        )
        self._report(worker_id)

    def _run(self, worker_id: str) -> None:
        self._report(worker_id)
        self._schedule.call_later(REPORT_INTERVAL_S, None, self._run, worker_id)

    def _report(self, worker_id: str) -> None:
        if self._workers[worker_id].is_up and self._reaches_store(worker_id):
            self._write(worker_id)

    def _reaches_store(self, worker_id: str) -> bool:
        return not self.silent.get(worker_id) and self._network.is_open(
            worker_id, stores.STORE_ID
        )

    def _write(self, worker_id: str) -> None:
        change = self._change(worker_id, self._listings[worker_id])
        self._schedule.call_later(EXPIRY_S, None, self._expire, change)

    def _expire(self, change: _Change) -> None:
        if self._latest[change.worker_id] is change:
            self._remove(change.worker_id)

    def _remove(self, worker_id: str) -> None:
        if self._latest[worker_id].listing is not None:
            self._change(worker_id, None)

    def _change(self, worker_id: str, listing: fleet.Listing | None) -> _Change:
        self._rows.version += 1
        change = _Change(self._rows.version, worker_id, listing)
        self._changes.append(change)
        self._latest[worker_id] = change
        return change
