"""Decide whether a lack of capacity delayed a job.

Admission pressure must follow the load alone. On slow workers, or in a queue with a
long tail, many jobs end after their objective although every task started on time.
They are no sign of overload and must not make admission refuse other jobs.
"""

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import tables


def record_first_start(job: tables.Job, task: tables.Task, now: float) -> None:
    """Record the start of a task's first run.

    Later runs are not recorded: they replace a run that a fault of its worker
    has ended.
    """
    if not task.has_started:
        task.has_started = True
        job.last_first_start_at = now


def was_delayed(job: tables.Job, outcome: jobs.Outcome) -> bool | None:
    """Return whether a job that had to wait was delayed by a lack of capacity.

    Args:
        job: The job, which has ended.
        outcome: How it ended.

    Returns:
        None if the outcome does not tell: the job was deferred, which was
        decided when it could not start in time, it was cancelled or failed, or
        some of its tasks were held back because an earlier owner may have
        started them.
    """
    if job.is_deferred or outcome in (
        jobs.Outcome.CANCELLED,
        jobs.Outcome.FAILED,
    ):
        return None
    if not _have_all_started(job):
        return None if job.submission.may_have_begun else True
    return job.last_first_start_at > job.latest_start_at


def _have_all_started(job: tables.Job) -> bool:
    return all(
        task.has_started or task.state is not tables.TaskState.WAITING
        for task in job.tasks
    )
