"""Predict run times from the progress that workers report.

Declared run times may be far off. The tasks of one job are alike, so
the progress of its other tasks predicts a run better than the declared run
time. The health of a worker is rated by comparing its run with runs of the same
job on other workers.
"""

import statistics

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import tables

# Workers report whole percents, so lower values are too coarse for a
# prediction.
MIN_PERCENT = 5.0
# Remaining time assumed for an overdue run, as a share of its expected run
# time.
OVERDUE_SHARE = 0.25


def predict_total_s(run: fleet.Run) -> float | None:
    """Return a run's total run time by its own progress, or None if unknown.

    A poll may report progress before the start is confirmed.
    """
    if run.percent < MIN_PERCENT or not run.confirmed_at:
        return None
    if run.percent_at <= run.confirmed_at:
        return None
    return 100.0 * (run.percent_at - run.confirmed_at) / run.percent


def predict_by_siblings_s(
    region: tables.Region, job: tables.Job, worker_id: str = ""
) -> float | None:
    """Return the median run time of a job's tasks on an average worker.

    Includes completed tasks and running tasks with enough progress, each
    corrected by the speed of its worker.

    Args:
        region: The region.
        job: The job.
        worker_id: Tasks on this worker are excluded.

    Returns:
        Seconds, or None if no task can be included.
    """
    totals = []
    for task in job.tasks:
        if task.worker_id == worker_id and worker_id:
            continue
        speed = region.get_speed(task.worker_id)
        if task.took_s:
            totals.append(task.took_s * speed)
            continue
        run = find_run(region, job, task)
        total_s = predict_total_s(run) if run else None
        if total_s is not None:
            totals.append(total_s * speed)
    return statistics.median(totals) if totals else None


def find_run(
    region: tables.Region, job: tables.Job, task: tables.Task
) -> fleet.Run | None:
    """Return the run of a placed task, or None."""
    worker = region.workers.get(task.worker_id)
    if worker is None or task.state is not tables.TaskState.PLACED:
        return None
    name = jobs.format_task_name(job.submission.job_id, task.index)
    return worker.runs.get(name)


def predict_end(run: fleet.Run) -> tuple[float, float]:
    """Return when a run is expected to end, and its minimum remaining time.

    Returns:
        Monotonic time of the end, in seconds, and the remaining time in seconds
        that is assumed at any moment after the expected end has passed.
    """
    began_at = run.confirmed_at or run.sent_at
    total_s = predict_total_s(run)
    if total_s is not None:
        return began_at + total_s, 0.0
    return began_at + run.expected_s, OVERDUE_SHARE * run.expected_s
