"""Index of workers by free CPU, updated whenever runs start or end.

A region may have hundreds of workers, most of them full. A search therefore
visits only the workers with enough free CPU, in ascending order of free CPU.
"""

import bisect
from collections.abc import Iterator

from pollenladder.fleet import entities as fleet


class FreeCapacityIndex:
    """The workers of each service, sorted by free thousandths of a core."""

    def __init__(self):
        self._sorted: dict[str, list[tuple[int, str]]] = {}
        self._entries: dict[str, tuple[str, int]] = {}
        self._capacities: dict[str, int] = {}
        # Sums of free CPU and of CPU capacity, by service.
        self._totals: dict[str, tuple[int, int]] = {}

    def update(self, worker: fleet.Worker) -> None:
        """Update a worker's entry.

        Unlisted, draining and evacuated workers have none.
        """
        worker_id = worker.listing.worker_id
        if (
            not worker.is_listed
            or worker.listing.is_draining
            or worker.is_evacuated
        ):
            self.remove(worker_id)
            return
        entry = (worker.listing.service, worker.free.cpu_milli)
        capacity_milli = worker.listing.capacity.cpu_milli
        if (
            self._entries.get(worker_id) == entry
            and self._capacities[worker_id] == capacity_milli
        ):
            return
        self.remove(worker_id)
        self._entries[worker_id] = entry
        self._capacities[worker_id] = capacity_milli
        self._add(worker.listing.service, worker.free.cpu_milli, capacity_milli)
        service, cpu_milli = entry
        order = self._sorted.setdefault(service, [])
        bisect.insort(order, (cpu_milli, worker_id))

    def remove(self, worker_id: str) -> None:
        """Remove a worker's entry, if there is one."""
        entry = self._entries.pop(worker_id, None)
        if entry is None:
            return
        service, cpu_milli = entry
        self._add(service, -cpu_milli, -self._capacities.pop(worker_id))
        order = self._sorted[service]
        del order[bisect.bisect_left(order, (cpu_milli, worker_id))]

    def _add(self, service: str, free_milli: int, capacity_milli: int) -> None:
        free, capacity = self._totals.get(service, (0, 0))
        self._totals[service] = (free + free_milli, capacity + capacity_milli)

    def get_totals(self, service: str) -> tuple[int, int]:
        """Return a service's free CPU and CPU capacity on all workers."""
        return self._totals.get(service, (0, 0))

    def get_largest(self) -> dict[str, int]:
        """Return the largest free CPU of any worker, by service."""
        return {
            service: order[-1][0]
            for service, order in self._sorted.items()
            if order
        }

    def list_most_free(self, service: str, count: int) -> list[str]:
        """Return the ids of the workers with the most free CPU."""
        return [name for _, name in self._sorted.get(service, [])[-count:]]

    def iterate_with_cpu(self, service: str, cpu_milli: int) -> Iterator[str]:
        """Yield the ids of workers with enough free CPU, the least free first.

        The index must not be updated during the iteration.
        """
        order = self._sorted.get(service, [])
        first = bisect.bisect_left(order, (cpu_milli, ""))
        for index in range(first, len(order)):
            yield order[index][1]
