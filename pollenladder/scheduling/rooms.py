"""Workers in the order of their free processor, kept up as runs come and go.

Answers regions of hundreds of workers, most of them full: whoever looks for a
place sees the few workers with room, the tightest first, and none of the others.
"""

import bisect
from collections.abc import Iterator

from pollenladder.fleet import entities as fleet


class Rooms:
    """The workers of each service, by free thousandths of a core."""

    def __init__(self):
        self._order: dict[str, list[tuple[int, str]]] = {}
        self._places: dict[str, tuple[str, int]] = {}

    def record(self, worker: fleet.Worker) -> None:
        """Note what room a worker has now; one that leaves has none."""
        worker_id = worker.listing.worker_id
        if not worker.is_listed or worker.listing.is_draining:
            self.forget(worker_id)
            return
        place = (worker.listing.service, worker.free.cpu_milli)
        if self._places.get(worker_id) == place:
            return
        self.forget(worker_id)
        self._places[worker_id] = place
        service, cpu_milli = place
        order = self._order.setdefault(service, [])
        bisect.insort(order, (cpu_milli, worker_id))

    def forget(self, worker_id: str) -> None:
        """Note that a worker is gone."""
        place = self._places.pop(worker_id, None)
        if place is None:
            return
        service, cpu_milli = place
        order = self._order[service]
        del order[bisect.bisect_left(order, (cpu_milli, worker_id))]

    def find_largest(self) -> dict[str, int]:
        """Return the most that any worker of each service has free."""
        return {
            service: order[-1][0]
            for service, order in self._order.items()
            if order
        }

    def list_with_room(self, service: str, cpu_milli: int) -> Iterator[str]:
        """Yield the workers with so much free or more, the tightest first.

        Nothing may be recorded meanwhile.
        """
        order = self._order.get(service, [])
        first = bisect.bisect_left(order, (cpu_milli, ""))
        for index in range(first, len(order)):
            yield order[index][1]
