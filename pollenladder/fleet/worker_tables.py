"""The workers in the store's table, as read by one daemon."""

from collections.abc import Mapping
import dataclasses

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import worker_lists


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


class WorkerTable:
    """The listed workers, and those whose rows have disappeared.

    After an outage of the store, workers whose rows are missing are kept for
    `worker_lists.STORE_RETURN_GRACE_S`.

    A row that cannot be decoded names no worker. A listed worker whose row can
    no longer be decoded is dropped as if its row had expired, because it may
    still execute runs.
    """

    def __init__(self, history: worker_lists.ListHistory):
        self._history = history
        self._workers: dict[str, fleet.Listing] = {}
        self._missing: set[str] = set()
        # When the rows of draining workers were dropped, by worker id.
        self._drained_at: dict[str, float] = {}
        # The rows that could not be decoded when they were last read.
        self._undecodable: set[str] = set()
        self._updated_at = float("-inf")

    def list_workers(self) -> tuple[fleet.Listing, ...]:
        """Return the listed workers."""
        return tuple(self._workers.values())

    def update(
        self,
        found: RowChanges,
        is_full_read: bool,
        now: float,
    ) -> list[str]:
        """Apply rows that were read.

        Args:
            found: The rows.
            is_full_read: Whether the whole table was read.
            now: Monotonic time in seconds.

        Returns:
            The ids of the workers that were dropped without having announced
            that they leave, or whose rows can no longer be decoded.
        """
        self._workers.update(found.listed)
        undecodable = _select(found.undecodable)
        removed = found.removed.keys() - self._find_never_listed(found, now)
        missing = _select(found.removed) & removed
        if is_full_read:
            missing |= self._workers.keys() - found.listed.keys() - undecodable
            self._undecodable.clear()
        if any(not self._is_drained(w) for w in missing | removed):
            self._history.record_missing(now)
        self._undecodable -= found.listed.keys() | found.removed.keys()
        self._undecodable |= undecodable
        self._updated_at = now
        self._missing -= found.listed.keys() | undecodable
        self._missing |= missing
        dropped = self._drop_undecodable(undecodable, now)
        if self._history.keeps_missing(now):
            return dropped
        return sorted(dropped + self._drop_missing(now))

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
            del self._workers[worker_id]
        return dropped

    def _drop_missing(self, now: float) -> list[str]:
        oldest = now - worker_lists.EXPIRED_WORKER_S
        for worker_id, at in list(self._drained_at.items()):
            if at <= oldest:
                del self._drained_at[worker_id]
        expired = [w for w in self._missing if not self._is_drained(w)]
        if expired:
            self._history.record_expired(now)
        drained = self._missing.difference(expired)
        self._drained_at.update(dict.fromkeys(drained, now))
        for worker_id in self._missing:
            self._workers.pop(worker_id, None)
        self._missing.clear()
        return expired

    def _is_drained(self, worker_id: str) -> bool:
        """Return whether a worker had announced that it leaves.

        A worker that was never listed here may have appeared and expired
        between two reads.
        """
        listing = self._workers.get(worker_id)
        if listing is None:
            return worker_id in self._drained_at
        return listing.is_draining


def _select(states: Mapping[str, bool]) -> set[str]:
    return {worker_id for worker_id, applies in states.items() if applies}
