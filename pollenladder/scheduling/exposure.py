"""Limit how many workers the tasks of one queue can take down together.

Once tasks of a queue are known to crash workers, its jobs are refused while a share of
its service's workers is down because of them. Its tasks are also kept off some workers,
because tasks that have started may still crash theirs. Without these limits, a queue
with many such tasks would take down all workers, and no other queue would be served.
"""

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import tables

# Share of a service's workers that may be down because of one queue before its jobs
# are refused.
MAX_DOWN_SHARE = 1 / 3
# Share of a service's workers that a queue that crashes workers may use at a time,
# including those that are down because of it.
MAX_EXPOSED_SHARE = 2 / 3


def permits(
    region: tables.Region,
    submission: jobs.Submission,
    worker: fleet.Worker,
    now: float,
) -> bool:
    """Return whether a worker may be given a task of a job's queue."""
    queue = submission.queue
    if not region.crashes.is_crashing(queue, now):
        return True
    exposed = region.crashes.exposed.get(queue, {})
    if worker.listing.worker_id in exposed:
        return True
    down = region.crashes.down.get(queue, {})
    limit = _compute_limit(region, submission.service, MAX_EXPOSED_SHARE)
    return len(exposed.keys() | down.keys()) < limit


def get_limited_queue(
    region: tables.Region, submission: jobs.Submission, now: float
) -> str:
    """Return a job's queue if it may not use all workers, else ""."""
    is_limited = region.crashes.is_crashing(submission.queue, now)
    return submission.queue if is_limited else ""


def is_exhausted(
    region: tables.Region, submission: jobs.Submission, now: float
) -> bool:
    """Return whether a queue has taken down as many workers as it may."""
    queue = submission.queue
    if not region.crashes.is_crashing(queue, now):
        return False
    down = region.crashes.down.get(queue, {})
    limit = _compute_limit(region, submission.service, MAX_DOWN_SHARE)
    return len(down) >= limit


def estimate_wait_s(region: tables.Region, queue: str, now: float) -> float:
    """Return when the first worker that is down should be back, in seconds."""
    down = region.crashes.down.get(queue)
    if not down:
        return 0.0
    return max(0.0, min(down.values()) + region.crashes.outage_s - now)


def _compute_limit(region: tables.Region, service: str, share: float) -> int:
    return max(1, int(share * region.worker_counts.get(service, 0)))
