"""Choose the workers that tell a crashed worker from a partitioned network.

A worker whose process has ended refuses connections, and so does each worker behind
some partitions, although its process runs. Other workers of its data centre are
witnesses: if they accept new connections, only the process has ended. Replies over
open connections are no evidence, as those may outlast a partition.
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

    The tasks of an only worker can't be lost with a second one before it has
    answered again, so a refusal that is taken for a crash by mistake does no harm.
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
