"""Choose the workers that tell a crashed worker from a partitioned network.

A worker whose process has ended refuses connections, and so does each worker behind
some partitions, although its process runs. Other workers of its data centre are
witnesses: if they refuse new connections too, the network is the cause. If they accept
some, it may still be a partition of the single worker, so that alone proves nothing.
Replies over open connections are no evidence, as those may outlast a partition.
"""

import zlib

from pollenladder.fleet import entities as fleet
from pollenladder.scheduling import tables

MAX_WITNESSES = 2


def choose(region: tables.Region, worker: fleet.Worker) -> list[fleet.Worker]:
    """Return reachable workers of the same data centre, at most `MAX_WITNESSES`."""
    witnesses = [
        other
        for other in region.workers.values()
        if other is not worker
        and other.is_listed
        and other.is_reachable
        and other.listing.data_centre == worker.listing.data_centre
    ]
    witnesses.sort(key=lambda other: _rank(worker, other))
    return witnesses[:MAX_WITNESSES]


def has_others(region: tables.Region, worker: fleet.Worker) -> bool:
    """Return whether any other worker is listed, in whatever data centre.

    An only worker has nothing to be compared with. Its tasks can't be lost with a
    second one before it answers again, which takes a wrong suspicion back.
    """
    return any(
        other.is_listed
        for other in region.workers.values()
        if other is not worker
    )


def _rank(worker: fleet.Worker, other: fleet.Worker) -> int:
    """Spread the checks over the data centre, in the same order each time."""
    pair = worker.listing.worker_id + other.listing.worker_id
    return zlib.crc32(pair.encode())
