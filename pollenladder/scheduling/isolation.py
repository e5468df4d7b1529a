"""Run tasks that may have crashed a worker alone on a worker.

Several tasks may run on a worker that crashes. The suspected ones are started again
without neighbours, so that one that crashes its worker again takes no other task down. If no worker is idle, one is reserved, and gets no new tasks
until its runs have ended.
"""

from collections.abc import Callable
from collections.abc import Iterable

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import tables

# Share of a service's workers that may be reserved at a time while they still run
# other tasks.
MAX_RESERVED_SHARE = 0.125


def choose_worker(
    region: tables.Region,
    job: tables.Job,
    task: tables.Task,
    candidates: Iterable[fleet.Worker],
    can_run: Callable[[fleet.Worker], bool],
) -> fleet.Worker | None:
    """Return an idle worker for a suspected task, or reserve one.

    Args:
        region: The region.
        job: The task's job.
        task: The task.
        candidates: The available workers that fit the task.
        can_run: Returns whether the task may start on a worker apart from its
            free capacity.

    Returns:
        The worker, or None if the task has to wait.
    """
    name = jobs.format_task_name(job.submission.job_id, task.index)
    idle = [worker for worker in candidates if not worker.runs]
    reserved = _find_reserved(region, name)
    if reserved is not None:
        if not reserved.runs and _fits(job, reserved) and can_run(reserved):
            return reserved
        if not idle and _may_become_idle(job, reserved):
            return None
        reserved.isolated_task = ""
    if idle:
        return min(
            idle,
            key=lambda worker: (
                worker.listing.worker_id in task.avoided_workers,
                worker.free.cpu_milli,
            ),
        )
    _reserve(region, job, name, can_run)
    return None


def cancel(region: tables.Region, job: tables.Job) -> None:
    """Cancel the reservations for tasks of a job that have no run there.

    A run that is active ends its reservation when it is over.
    """
    if not job.has_lost_workers:
        return
    for task in job.tasks:
        name = jobs.format_task_name(job.submission.job_id, task.index)
        reserved = _find_reserved(region, name)
        if reserved is not None and name not in reserved.runs:
            reserved.isolated_task = ""


def _find_reserved(region: tables.Region, name: str) -> fleet.Worker | None:
    for worker in region.workers.values():
        if worker.isolated_task == name:
            return worker
    return None


def _fits(job: tables.Job, worker: fleet.Worker) -> bool:
    return job.resources.fits_in(worker.listing.capacity)


def _may_become_idle(job: tables.Job, worker: fleet.Worker) -> bool:
    """Return whether it is worth waiting for a reserved worker."""
    return (
        worker.is_listed
        and worker.is_reachable
        and not worker.is_evacuated
        and not worker.listing.is_draining
        and _fits(job, worker)
    )


def _reserve(
    region: tables.Region,
    job: tables.Job,
    name: str,
    can_run: Callable[[fleet.Worker], bool],
) -> None:
    """Reserve the worker whose runs should end first."""
    service = job.submission.service
    workers = [
        worker
        for worker in region.workers.values()
        if worker.listing.service == service
    ]
    reserved = sum(bool(w.isolated_task and w.runs) for w in workers)
    if reserved >= max(1, int(MAX_RESERVED_SHARE * len(workers))):
        return
    usable = [
        worker
        for worker in workers
        if not worker.isolated_task and _fits(job, worker) and can_run(worker)
    ]
    if not usable:
        return
    chosen = min(usable, key=_predict_idle_at)
    chosen.isolated_task = name
    region.log_event(
        "worker_reserved",
        job=job.submission.job_id,
        task=name,
        worker=chosen.listing.worker_id,
        runs=len(chosen.runs),
    )


def _predict_idle_at(worker: fleet.Worker) -> float:
    return max(
        (run.sent_at + run.expected_s for run in worker.runs.values()),
        default=0.0,
    )
