"""Judge workers by the outcomes of their runs.

Answers workers that fail, hang or slow down while they look sound: one failure
among sound workers is rare, so the first one already moves work away for a
moment, and a worker that goes on failing is tried again ever more seldom.
"""

from collections.abc import Iterable

from pollenladder.fleet import entities

FIRST_QUARANTINE_S = 0.4
MAX_QUARANTINE_S = 4.0
HANG_QUARANTINE_S = 1.5
# A job that failed on so many workers is to blame itself.
BLAMED_JOB_WORKERS = 2
FAILED_JOBS_KEPT_S = 3.0
# A worker that takes so many times the expected time gets no new work.
SLOW_FACTOR = 2.5
SLOW_QUARANTINE_S = 1.0
SLOWNESS_LEARNING_RATE = 0.3
MAX_SLOWNESS = 10.0


def record_success(own: entities.Health, slowness: float, now: float) -> None:
    """Learn from a run that was done.

    Args:
        own: The worker's health.
        slowness: Measured by expected run time.
        now: Monotonic time in seconds.
    """
    own.failures = 0
    own.on_probation = False
    slowness = min(slowness, MAX_SLOWNESS)
    own.slowness += SLOWNESS_LEARNING_RATE * (slowness - own.slowness)
    if own.slowness > SLOW_FACTOR:
        own.quarantined_until = now + SLOW_QUARANTINE_S
        own.on_probation = True


def record_failure(own: entities.Health, job_id: str, now: float) -> None:
    """Learn from a run that failed, or a start that was turned away."""
    own.failures += 1
    own.failed_jobs[job_id] = now
    own.on_probation = True
    pause_s = FIRST_QUARANTINE_S * 2 ** (own.failures - 1)
    own.quarantined_until = now + min(pause_s, MAX_QUARANTINE_S)


def record_stall(own: entities.Health, slowness: float, now: float) -> None:
    """Learn from a run that made too little progress and was stopped."""
    own.slowness = max(own.slowness, min(slowness, MAX_SLOWNESS))
    own.failures += 1
    own.on_probation = True
    pause_s = HANG_QUARANTINE_S * 2 ** (own.failures - 1)
    own.quarantined_until = now + min(pause_s, MAX_QUARANTINE_S)


def forgive(own: entities.Health, job_id: str) -> None:
    """Take back what a job did that fails on every worker."""
    if own.failed_jobs.pop(job_id, None) is None:
        return
    own.failures = max(0, own.failures - 1)
    if not own.failures:
        own.quarantined_until = 0.0
        own.on_probation = False


def count_failed(
    workers: Iterable[entities.Worker], job_id: str, now: float
) -> int:
    """Count the workers on which a job failed lately."""
    since = now - FAILED_JOBS_KEPT_S
    return sum(
        worker.health.failed_jobs.get(job_id, since) > since
        for worker in workers
    )


def may_take_work(worker: entities.Worker, now: float) -> bool:
    """Return whether a worker is sound enough for another run."""
    if now < worker.health.quarantined_until:
        return False
    return not (worker.health.on_probation and worker.runs)
