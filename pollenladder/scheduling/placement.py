"""Give waiting tasks to workers with room for them.

Answers full workers and jobs of many widths: begun jobs come first, as their
finished tasks are worth nothing without the others; then the job that can wait
the least. Each task goes where it leaves the least room, so that wide tasks
still find some.
"""

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# Of workers with equal room a faster one is better.
SLOWNESS_COST_MILLI = 20_000


def place(region: tables.Region, now: float) -> None:
    """Start as many waiting tasks as there is room for."""
    if not region.waiting:
        return
    usable = list_usable(region, now)
    sees_all = runs.sees_all(region, now)
    for job in sort_waiting(region):
        _place_job(region, job, usable, sees_all, now)


def sort_waiting(region: tables.Region) -> list[tables.Job]:
    """Return the jobs that wait, the most urgent first."""
    waiting = [region.jobs[job_id] for job_id in region.waiting]
    waiting.sort(key=get_urgency)
    return waiting


def get_urgency(job: tables.Job) -> tuple[bool, float]:
    """Return the key by which jobs are served, the smallest first."""
    return (not job.has_begun, job.latest_start_at)


def list_usable(region: tables.Region, now: float) -> list[fleet.Worker]:
    """Return the workers that may be given work."""
    return [w for w in region.workers.values() if is_usable(w, now)]


def is_usable(worker: fleet.Worker, now: float) -> bool:
    """Return whether a worker may be given work now."""
    return (
        worker.is_listed
        and worker.is_synced
        and worker.is_reachable
        and not worker.listing.is_draining
        and now >= worker.busy_until
        and health.may_take_work(worker, now)
    )


def _place_job(
    region: tables.Region,
    job: tables.Job,
    usable: list[fleet.Worker],
    sees_all: bool,
    now: float,
) -> None:
    waiting = job.list_waiting()
    for task in waiting:
        if now < task.not_before and not sees_all:
            continue
        worker = _choose_worker(job, task, usable, now)
        if worker is None:
            return
        _start(region, job, task, worker, now)
    if not job.list_waiting():
        region.waiting.discard(job.submission.job_id)


def _choose_worker(
    job: tables.Job,
    task: tables.Task,
    usable: list[fleet.Worker],
    now: float,
) -> fleet.Worker | None:
    """Return the worker that a task fits best, or None."""
    best = None
    best_score = 0.0
    for worker in usable:
        if worker.listing.service != job.submission.service:
            continue
        free = worker.get_free()
        if not job.resources.fits(free):
            continue
        if not health.may_take_work(worker, now):
            continue
        score = _score(worker, free, job.resources)
        if worker.listing.worker_id in task.avoided:
            score += worker.listing.capacity.cpu_milli
        if best is None or score < best_score:
            best, best_score = worker, score
    return best


def _score(
    worker: fleet.Worker, free: jobs.Resources, needed: jobs.Resources
) -> float:
    left = free.cpu_milli - needed.cpu_milli
    return left + SLOWNESS_COST_MILLI * max(0.0, worker.health.slowness - 1.0)


def _start(
    region: tables.Region,
    job: tables.Job,
    task: tables.Task,
    worker: fleet.Worker,
    now: float,
) -> None:
    run = fleet.Run(
        task=jobs.format_task_name(job.submission.job_id, task.index),
        number=task.next_run,
        worker_id=worker.listing.worker_id,
        resources=job.resources,
        state=fleet.RunState.STARTING,
        sent_at=now,
        expected_s=job.expected_s,
    )
    worker.add_run(run)
    task.state = tables.TaskState.PLACED
    task.worker_id = run.worker_id
    task.next_run += 1
    job.has_begun = True
    region.effects.append(
        tables.StartRun(
            run.worker_id, run.task, run.number, job.submission.spec
        )
    )
