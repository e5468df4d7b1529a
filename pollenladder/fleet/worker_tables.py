"""The workers in the store's table, as read by one daemon."""

from collections.abc import Mapping
from collections.abc import Set
import dataclasses

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import worker_lists

# A row is removed once its worker has left, or after three intervals without a
# report. If fewer intervals have passed, the worker has left; half of one is left
# for the clocks.
MAX_INTERVALS_TO_LEAVE = 2.5


@dataclasses.dataclass(frozen=True)
class RowChanges:
    """What a read of the workers' table has shown, by worker id.

    Attributes:
        listed: The workers that rows named. Some rows may have been removed, or
            have become undecodable, later in the same read.
        removed: Whether the row is still missing, for each row that was removed.
        undecodable: Whether the row still cannot be decoded, for each row of
            which a version could not be decoded.
    """

    listed: Mapping[str, fleet.Listing]
    removed: Mapping[str, bool] = dataclasses.field(default_factory=dict)
    undecodable: Mapping[str, bool] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Dropped:
    """The workers that are no longer listed and may still execute runs, by id.

    Attributes:
        expired: The workers whose rows have expired or can no longer be decoded.
        unexplained: The draining workers whose rows were removed, and of which it is
            not known whether they have left.
    """

    expired: tuple[str, ...] = ()
    unexplained: tuple[str, ...] = ()


class WorkerTable:
    """The listed workers, and those whose rows have disappeared.

    After an outage of the store, workers whose rows are missing are kept for
    `worker_lists.STORE_RETURN_GRACE_S`.

    That a worker drains does not show that it has ended: it may only have lost
    the store. If its row is removed, that the worker has left is shown by how
    soon after its last report it was removed. This daemon may read too seldom
    to know that; then its peers may.

    A row that cannot be decoded names no worker. A listed worker whose row can
    no longer be decoded is dropped as if its row had expired, because it may
    still execute runs.
    """

    def __init__(
        self, history: worker_lists.ListHistory, report_interval_s: float
    ):
        """Start with no workers.

        Args:
            history: How long the list has been known.
            report_interval_s: The interval in which workers write their rows, in
                seconds; 0 if it is not known.
        """
        self._history = history
        self._max_leave_s = MAX_INTERVALS_TO_LEAVE * report_interval_s
        self._workers: dict[str, fleet.Listing] = {}
        # Whether the worker had left, for each row that is missing.
        self._missing: dict[str, bool] = {}
        # When draining workers last reported, at the earliest, by worker id.
        self._reported_after: dict[str, float] = {}
        # When the read began that last showed no row of a worker that had left.
        self._left_at: dict[str, float] = {}
        # The rows that could not be decoded when they were last read.
        self._undecodable: set[str] = set()
        self._updated_at = float("-inf")
        self._read_at = float("-inf")

    def list_workers(self) -> tuple[fleet.Listing, ...]:
        """Return the listed workers."""
        return tuple(self._workers.values())

    def update(
        self,
        found: RowChanges,
        is_full_read: bool,
        now: float,
    ) -> Dropped:
        """Apply rows that were read.

        Args:
            found: The rows.
            is_full_read: Whether the whole table was read.
            now: Monotonic time in seconds.

        Returns:
            The workers that were dropped and are not known to have left.
        """
        self._workers.update(found.listed)
        if not is_full_read:
            self._record_reports(found.listed)
        undecodable = _select(found.undecodable)
        removed = found.removed.keys() - self._find_never_listed(found, now)
        missing = _select(found.removed) & removed
        if is_full_read:
            missing |= self._workers.keys() - found.listed.keys() - undecodable
            self._undecodable.clear()
        left = {w for w in missing | removed if self._has_left(w, now)}
        self._report_missing((missing | removed) - left, now)
        self._undecodable -= found.listed.keys() | found.removed.keys()
        self._undecodable |= undecodable
        self._updated_at = now
        self._read_at = self._history.read_at
        for worker_id in found.listed.keys() | undecodable:
            self._missing.pop(worker_id, None)
        for worker_id in missing:
            self._missing.setdefault(worker_id, worker_id in left)
        dropped = self._drop_undecodable(undecodable, now)
        if self._history.keeps_missing(now):
            return Dropped(tuple(dropped))
        missed = self._drop_missing(now)
        expired = sorted([*dropped, *missed.expired])
        return Dropped(tuple(expired), missed.unexplained)

    def _record_reports(self, changed: Mapping[str, fleet.Listing]) -> None:
        """Record that rows have changed since the last read was begun."""
        for worker_id, listing in changed.items():
            if listing.is_draining:
                self._reported_after[worker_id] = self._read_at
            else:
                self._reported_after.pop(worker_id, None)

    def _has_left(self, worker_id: str, now: float) -> bool:
        """Return whether a worker whose row was removed is known to have left.

        A worker that is not listed may have appeared and expired between two
        reads, unless there was no time for that.
        """
        listing = self._workers.get(worker_id)
        if listing is None:
            since = self._left_at.get(worker_id, float("-inf"))
        elif listing.is_draining:
            since = self._reported_after.get(worker_id, float("-inf"))
        else:
            return False
        return now < since + self._max_leave_s

    def _report_missing(self, worker_ids: Set[str], now: float) -> None:
        """Tell the peers about rows that may have expired.

        Peers that read the table after an outage do not list what is kept here.
        Otherwise they find out themselves about the draining workers.
        """
        if not self._history.keeps_missing(now):
            worker_ids = {w for w in worker_ids if not self._is_draining(w)}
        if worker_ids:
            self._history.record_missing(now)

    def _is_draining(self, worker_id: str) -> bool:
        listing = self._workers.get(worker_id)
        return listing is not None and listing.is_draining

    def _find_never_listed(self, found: RowChanges, now: float) -> set[str]:
        """Return the rows of which no version has named a worker.

        Between two reads that are further apart, a row may have named a worker
        unseen.
        """
        if now > self._updated_at + worker_lists.MAX_READ_GAP_S:
            self._undecodable.clear()
        undecodable = self._undecodable | found.undecodable.keys()
        return undecodable - self._workers.keys()

    def _drop_undecodable(self, undecodable: set[str], now: float) -> list[str]:
        """Drop the listed workers whose rows can no longer be decoded."""
        dropped = sorted(undecodable & self._workers.keys())
        if dropped:
            self._history.record_expired(now)
        for worker_id in dropped:
            self._forget(worker_id)
        return dropped

    def _drop_missing(self, now: float) -> Dropped:
        """Drop the workers whose rows are missing; return those that may live on."""
        self._forget_old_departures(now)
        alive = [w for w, has_left in self._missing.items() if not has_left]
        expired = tuple(w for w in alive if not self._is_draining(w))
        unexplained = tuple(w for w in alive if self._is_draining(w))
        if expired:
            self._history.record_expired(now)
        if unexplained:
            self._history.record_unexplained(now)
        for worker_id, has_left in self._missing.items():
            if has_left:
                self._left_at[worker_id] = self._history.read_at
            self._forget(worker_id)
        self._missing.clear()
        return Dropped(expired, unexplained)

    def _forget_old_departures(self, now: float) -> None:
        for worker_id, at in list(self._left_at.items()):
            if now >= at + self._max_leave_s:
                del self._left_at[worker_id]

    def _forget(self, worker_id: str) -> None:
        self._workers.pop(worker_id, None)
        self._reported_after.pop(worker_id, None)


def _select(states: Mapping[str, bool]) -> set[str]:
    return {worker_id for worker_id, applies in states.items() if applies}
