"""Rate the health of workers by the results of their runs.

Detects workers that fail, hang or slow down while they appear healthy. Healthy
workers rarely fail, so one failure is enough for a short quarantine. Each
further consecutive failure or stall doubles it, up to `MAX_QUARANTINE_S`.
"""

from collections.abc import Iterable

from pollenladder.fleet import entities

# Quarantine after the first failure.
FIRST_QUARANTINE_S = 0.4
MAX_QUARANTINE_S = 4.0
# Enough to reach `MAX_QUARANTINE_S` from any first quarantine.
MAX_QUARANTINE_DOUBLINGS = 10
# Quarantine after the first stall.
STALL_QUARANTINE_S = 1.5
# A job that failed on at least this many workers within `JOB_FAILURE_WINDOW_S`
# is considered the cause, and its failures don't count against the workers.
MIN_WORKERS_TO_BLAME_JOB = 2
JOB_FAILURE_WINDOW_S = 3.0
# Average slowness above which a worker is quarantined.
SLOWNESS_THRESHOLD = 2.5
SLOW_QUARANTINE_S = 1.0
# Weight of the newest run in the moving average of slowness.
SLOWNESS_LEARNING_RATE = 0.3
# Largest slowness that is recorded for one run.
MAX_SLOWNESS = 10.0


def record_success(
    worker_health: entities.Health, slowness: float, now: float
) -> None:
    """Update a worker's health after a run that completed.

    The worker is quarantined if its average slowness is too high.

    Args:
        worker_health: The worker's health.
        slowness: Measured run time divided by expected run time.
        now: Monotonic time in seconds.
    """
    worker_health.failures = 0
    worker_health.on_probation = False
    slowness = min(slowness, MAX_SLOWNESS)
    worker_health.slowness += SLOWNESS_LEARNING_RATE * (
        slowness - worker_health.slowness
    )
    if worker_health.slowness > SLOWNESS_THRESHOLD:
        worker_health.quarantined_until = now + SLOW_QUARANTINE_S
        worker_health.on_probation = True


def record_failure(
    worker_health: entities.Health, job_id: str, now: float
) -> None:
    """Quarantine a worker after a failed run or a start rejected as unhealthy.

    Args:
        worker_health: The worker's health.
        job_id: The job that the run belongs to.
        now: Monotonic time in seconds.
    """
    _delete_old_failures(worker_health, now)
    worker_health.failed_jobs.pop(job_id, None)
    worker_health.failed_jobs[job_id] = now
    _quarantine(worker_health, FIRST_QUARANTINE_S, now)


def record_stall(
    worker_health: entities.Health, slowness: float, now: float
) -> None:
    """Quarantine a worker after a run was stopped for lack of progress.

    Args:
        worker_health: The worker's health.
        slowness: Predicted run time divided by the usual run time of the job's
            tasks. Scaled down if only the declared run time is known, because
            declared run times are far off.
        now: Monotonic time in seconds.
    """
    worker_health.slowness = max(
        worker_health.slowness, min(slowness, MAX_SLOWNESS)
    )
    _quarantine(worker_health, STALL_QUARANTINE_S, now)


def _quarantine(
    worker_health: entities.Health, first_s: float, now: float
) -> None:
    """Quarantine a worker, for `first_s` after its first failure in a row."""
    doublings = min(worker_health.failures, MAX_QUARANTINE_DOUBLINGS)
    worker_health.failures += 1
    worker_health.on_probation = True
    quarantine_s = min(first_s * 2**doublings, MAX_QUARANTINE_S)
    worker_health.quarantined_until = now + quarantine_s


def _delete_old_failures(worker_health: entities.Health, now: float) -> None:
    # Entries are stored in order of insertion, the oldest first.
    for job_id, at in list(worker_health.failed_jobs.items()):
        if at > now - JOB_FAILURE_WINDOW_S:
            break
        del worker_health.failed_jobs[job_id]


def discount_job_failure(worker_health: entities.Health, job_id: str) -> None:
    """Remove a job's failure from a worker's health.

    Ends the quarantine if no other failures are left.
    """
    if worker_health.failed_jobs.pop(job_id, None) is None:
        return
    worker_health.failures = max(0, worker_health.failures - 1)
    if not worker_health.failures:
        worker_health.quarantined_until = 0.0
        worker_health.on_probation = False


def count_workers_failing_job(
    workers: Iterable[entities.Worker], job_id: str, now: float
) -> int:
    """Count the workers on which a job failed within `JOB_FAILURE_WINDOW_S`."""
    since = now - JOB_FAILURE_WINDOW_S
    # The default does not count: the job has not failed on that worker.
    return sum(
        worker.health.failed_jobs.get(job_id, since) > since
        for worker in workers
    )


def can_accept_run(worker: entities.Worker, now: float) -> bool:
    """Return whether a worker's health permits another run.

    A worker in quarantine accepts no run, and one on probation only one at a
    time.
    """
    if now < worker.health.quarantined_until:
        return False
    return not (worker.health.on_probation and worker.runs)
