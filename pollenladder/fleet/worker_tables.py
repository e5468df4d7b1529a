"""The workers in the store's table, as read by one daemon."""

from collections.abc import Mapping

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import worker_lists


class WorkerTable:
    """The listed workers, and those whose rows have disappeared.

    After an outage of the store, workers whose rows are missing are kept for
    `worker_lists.STORE_RETURN_GRACE_S`.
    """

    def __init__(self, history: worker_lists.ListHistory):
        self._history = history
        self._workers: dict[str, fleet.Listing] = {}
        self._missing: set[str] = set()
        # When the rows of draining workers were dropped, by worker id.
        self._drained_at: dict[str, float] = {}

    def list_workers(self) -> tuple[fleet.Listing, ...]:
        """Return the listed workers."""
        return tuple(self._workers.values())

    def update(
        self,
        listed: Mapping[str, fleet.Listing],
        removed: Mapping[str, bool],
        is_full_read: bool,
        now: float,
    ) -> list[str]:
        """Apply rows that were read.

        Args:
            listed: The workers whose rows were read, by id. Some may have been
                removed later.
            removed: Whether the row is still missing, for each worker whose row
                was removed.
            is_full_read: Whether the whole table was read.
            now: Monotonic time in seconds.

        Returns:
            The ids of the workers that were dropped without having announced
            that they leave.
        """
        self._workers.update(listed)
        missing = {w for w, is_missing in removed.items() if is_missing}
        if is_full_read:
            missing |= self._workers.keys() - listed.keys()
        if any(not self._is_drained(w) for w in missing | removed.keys()):
            self._history.record_missing(now)
        self._missing -= listed.keys()
        self._missing |= missing
        if self._history.keeps_missing(now):
            return []
        return self._drop_missing(now)

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
        return sorted(expired)

    def _is_drained(self, worker_id: str) -> bool:
        """Return whether a worker had announced that it leaves.

        A worker that was never listed here may have appeared and expired
        between two reads.
        """
        listing = self._workers.get(worker_id)
        if listing is None:
            return worker_id in self._drained_at
        return listing.is_draining
