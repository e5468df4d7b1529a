"""How a job ends because workers crashed or were lost under one of its tasks.

A task that is suspected of `MAX_SUSPICIONS` crashes is started no more. Its job has
failed only if all of these crashes are proved, as nobody can take that back. Else it is
given up, which leaves open what has happened, so that the caller may submit it again.
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
    outcome = _choose_outcome(region, job.submission.queue, task.crashes, now)
    if outcome is None:
        return
    region.count_failure(effects.Failure.JOB_GIVEN_UP)
    reason = jobs.Reason.TASK_CRASHED_WORKERS
    job_ends.end_job(region, job, outcome, reason, now)


def find_outcome(
    region: tables.Region, submission: jobs.Submission, now: float
) -> jobs.Outcome | None:
    """Return how a job ends that is submitted again, or None if it may start."""
    found = [
        _choose_outcome(region, submission.queue, counts, now)
        for counts in region.crashes.find_counts(submission.job_id).values()
    ]
    if jobs.Outcome.FAILED in found:
        return jobs.Outcome.FAILED
    if jobs.Outcome.GIVEN_UP in found:
        return jobs.Outcome.GIVEN_UP
    return None


def _choose_outcome(
    region: tables.Region,
    queue: str,
    counts: crash_records.CrashCounts,
    now: float,
) -> jobs.Outcome | None:
    """Return how a job ends because of one of its tasks, or None."""
    if counts.proved >= MAX_SUSPICIONS:
        return jobs.Outcome.FAILED
    if counts.suspicions >= MAX_SUSPICIONS:
        return jobs.Outcome.GIVEN_UP
    if counts.lost_workers >= MAX_LOST_WORKERS:
        return jobs.Outcome.GIVEN_UP
    if counts.suspicions and region.crashes.is_crashing(queue, now):
        return jobs.Outcome.GIVEN_UP
    return None
