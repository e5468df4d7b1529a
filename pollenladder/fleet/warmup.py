"""Limit the use of workers that are slow for some time after their start.

A cold worker takes at most a share of its capacity, which grows linearly from
`MIN_SHARE` to all of it. Otherwise, a data centre that is returned to use would
be flooded, because all of its workers are idle and cold.
"""

from pollenladder.fleet import entities
from pollenladder.jobs import entities as jobs

# Share of the capacity that a worker takes just after its start.
MIN_SHARE = 0.25


def update(
    worker: entities.Worker, cold_left_s: float, cold_start_s: float, now: float
) -> None:
    """Record for how much longer a worker is cold.

    Args:
        worker: The worker.
        cold_left_s: For how much longer the worker is cold, as it has just
            reported, in seconds.
        cold_start_s: For how long the workers of the service are cold after
            their start, in seconds; 0 if there is no limit.
        now: Monotonic time in seconds.
    """
    worker.cold_start_s = cold_start_s
    worker.warm_at = now + cold_left_s


def compute_share(worker: entities.Worker, now: float) -> float:
    """Return the share of its capacity that a worker may take, 0.25 to 1."""
    if now >= worker.warm_at or worker.cold_start_s <= 0.0:
        return 1.0
    cold = min(1.0, (worker.warm_at - now) / worker.cold_start_s)
    return 1.0 - (1.0 - MIN_SHARE) * cold


def compute_free(worker: entities.Worker, now: float) -> jobs.Resources:
    """Return the free resources of a worker that new runs may take now.

    Components may be negative.
    """
    share = compute_share(worker, now)
    if share >= 1.0:
        return worker.free
    return worker.free.subtract(_scale(worker.listing.capacity, 1.0 - share))


def _scale(resources: jobs.Resources, share: float) -> jobs.Resources:
    """Return a share of resources, rounded down.

    A worker's accelerators are not limited, because they cannot be divided.
    """
    return jobs.Resources(
        int(resources.cpu_milli * share), int(resources.memory_mb * share)
    )
