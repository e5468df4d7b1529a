"""Distinguish long tasks from slow workers.

The load that this answers: 3% of the tasks of a queue take 7 times as long as
declared, on any worker. Compared with siblings or the declared run time, their
runs look like runs on a worker that has become slow. A single such run is
therefore no evidence against its worker, unless it is longer than nearly all
runs of its queue. Two runs of different jobs on one worker are.

A task that stalls again on a second worker is long itself, and is not moved
once more. Apart from that, queues without a long tail are not affected.
"""

from collections.abc import Mapping

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.jobs import entities as jobs
from pollenladder.jobs import estimates
from pollenladder.scheduling import progress
from pollenladder.scheduling import tables

# Largest slowness recorded for one run of a queue with a long tail. It is just
# below that at which a single run leads to quarantine.
MAX_SLOWNESS = (
    1.0 + 0.95 * (health.SLOWNESS_THRESHOLD - 1) / health.SLOWNESS_LEARNING_RATE
)


def bound_slowness(
    region: tables.Region, job: tables.Job, slowness: float
) -> float:
    """Return the slowness to record for a completed run of a job."""
    queue = job.submission.queue
    if estimates.find_long_tail(region.estimates, queue) is None:
        return slowness
    return min(slowness, MAX_SLOWNESS)


def may_be_long(
    region: tables.Region,
    job: tables.Job,
    run: fleet.Run,
    total_s: float,
) -> bool:
    """Return whether a run's total run time is usual for its queue's tail."""
    submission = job.submission
    tail = estimates.find_long_tail(region.estimates, submission.queue)
    if tail is None or submission.estimate_s <= 0:
        return False
    work_s = total_s * region.get_speed(run.worker_id)
    return work_s <= tail.high * submission.estimate_s


def is_long_task(
    region: tables.Region, job: tables.Job, task: tables.Task, run: fleet.Run
) -> bool:
    """Return whether a task is long on any worker.

    This is so if its run makes slow but steady progress after a run on another
    worker was stopped as stalled. Its run time enters the distribution of its
    queue now, because the job may end before the run.
    """
    if not region.features.speeds or not task.stalls:
        return False
    total_s = progress.predict_total_s(run)
    if total_s is None:
        return False
    if task.stalls == 1:
        task.stalls += 1
        estimates.record_duration(
            region.estimates,
            job.submission.queue,
            job.submission.estimate_s,
            total_s * region.get_speed(run.worker_id),
        )
        region.log_event(
            "long_task_kept",
            job=job.submission.job_id,
            task=run.task,
            run=run.number,
            worker=run.worker_id,
            percent=run.percent,
        )
    return True


def is_corroborated(run: fleet.Run, slowness: Mapping[str, float]) -> bool:
    """Return whether a run of another job on the same worker is slow too.

    Args:
        run: A run that may be long.
        slowness: Predicted run time of each of the worker's runs relative to
            the limit for a stall, by task name.
    """
    job_id = jobs.parse_job_id(run.task)
    return any(
        value >= 1.0 and jobs.parse_job_id(task) != job_id
        for task, value in slowness.items()
    )
