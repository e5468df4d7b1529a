"""Whether a job ends because workers crashed or were lost under one of its tasks.

Such a job is given up, which leaves open what has happened. It never counts as failed:
that another process answers in place of a worker's proves that a process has ended, but
neither that the task was still running then, nor that it was the cause.
"""

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import crash_records
from pollenladder.scheduling import effects
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import tables

# A task is started no more once it is suspected of as many crashes.
MAX_SUSPICIONS = 2
# A task is started no more once as many workers were lost under it, whatever the cause.
MAX_LOST_WORKERS = 3


def give_up(
    region: tables.Region, job: tables.Job, task: tables.Task, now: float
) -> None:
    """End a job if one of its tasks must not be started again."""
    if job.submission.job_id not in region.jobs:
        return
    if not _must_not_start(region, job.submission.queue, task.crashes, now):
        return
    region.count_failure(effects.Failure.JOB_GIVEN_UP)
    outcome = jobs.Outcome.GIVEN_UP
    reason = jobs.Reason.TASK_CRASHED_WORKERS
    job_ends.end_job(region, job, outcome, reason, now)


def is_given_up(
    region: tables.Region, submission: jobs.Submission, now: float
) -> bool:
    """Return whether a job that is submitted again must not be started."""
    kept = region.crashes.find_counts(submission.job_id)
    return any(
        _must_not_start(region, submission.queue, counts, now)
        for counts in kept.values()
    )


def _must_not_start(
    region: tables.Region,
    queue: str,
    counts: crash_records.CrashCounts,
    now: float,
) -> bool:
    if counts.suspicions >= MAX_SUSPICIONS:
        return True
    if counts.lost_workers >= MAX_LOST_WORKERS:
        return True
    is_crashing = region.crashes.is_crashing(queue, now)
    return bool(counts.suspicions) and is_crashing
