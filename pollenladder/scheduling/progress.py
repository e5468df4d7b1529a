"""Tell from progress how long the tasks of a job really take.

Answers declared run times that are far off: the tasks of one job are alike, so
what one of them takes says more than what was declared, and a worker is judged
by how its run compares with those of the same job elsewhere.
"""

import statistics

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import tables

# Progress is told in whole percent; less than this says too little.
MIN_PERCENT = 5.0
OVERDUE_SHARE = 0.25


def predict_total_s(run: fleet.Run) -> float | None:
    """Return how long a run will have taken by its own progress, if known."""
    if run.percent < MIN_PERCENT or not run.confirmed_at:
        return None
    return 100.0 * (run.seen_at - run.confirmed_at) / run.percent


def predict_by_siblings_s(
    region: tables.Region, job: tables.Job, worker_id: str = ""
) -> float | None:
    """Return what tasks of a job take, by those that are under way or done.

    Args:
        region: The tables.
        job: The job.
        worker_id: Tasks on this worker are left out.
    """
    totals = []
    for task in job.tasks:
        if task.worker_id == worker_id and worker_id:
            continue
        if task.took_s:
            totals.append(task.took_s)
            continue
        run = find_run(region, job, task)
        total_s = predict_total_s(run) if run else None
        if total_s is not None:
            totals.append(total_s)
    return statistics.median(totals) if totals else None


def find_run(
    region: tables.Region, job: tables.Job, task: tables.Task
) -> fleet.Run | None:
    """Return the run of a task that has been placed, or None."""
    worker = region.workers.get(task.worker_id)
    if worker is None or task.state is not tables.TaskState.PLACED:
        return None
    name = jobs.format_task_name(job.submission.job_id, task.index)
    return worker.runs.get(name)


def predict_end(run: fleet.Run) -> tuple[float, float]:
    """Return when a run is expected to end, and its least remaining time.

    Returns:
        Monotonic time in seconds. Once that has passed, the run is expected to
        go on for the least remaining time from any moment, in seconds.
    """
    began_at = run.confirmed_at or run.sent_at
    total_s = predict_total_s(run)
    if total_s is not None:
        return began_at + total_s, 0.0
    # One that is overdue is expected to go on for a part of its time.
    return began_at + run.expected_s, OVERDUE_SHARE * run.expected_s
