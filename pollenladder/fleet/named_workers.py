"""The listed workers whose services the configuration names."""

from collections.abc import Iterable
from collections.abc import Set

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import services
from pollenladder.fleet import worker_lists


class NamedWorkers:
    """The workers that may be used.

    A worker is no longer among them if the configuration drops its service, or if
    another writer replaces its row with one of another service. It may still
    execute runs, so it counts as expired.

    Attributes:
        workers: The workers.
    """

    def __init__(self, history: worker_lists.ListHistory):
        self.workers: tuple[fleet.Listing, ...] = ()
        self._history = history

    def update(
        self, listings: Iterable[fleet.Listing], names: Set[str], now: float
    ) -> list[str]:
        """Select the workers of the named services.

        Args:
            listings: The listed workers.
            names: The names of the services.
            now: Monotonic time in seconds.

        Returns:
            The ids of the workers that are still listed, but whose services were
            named before and are not any more.
        """
        listed = tuple(listings)
        before = _list_ids(self.workers)
        self.workers = services.select_workers(listed, names)
        dropped = before & _list_ids(listed) - _list_ids(self.workers)
        if dropped:
            self._history.record_expired(now)
        return sorted(dropped)


def _list_ids(listings: Iterable[fleet.Listing]) -> set[str]:
    return {listing.worker_id for listing in listings}
