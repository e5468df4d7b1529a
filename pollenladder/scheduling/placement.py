"""Give waiting tasks to workers with room for them.

Answers full workers and jobs of many widths: begun jobs come first, as their
finished tasks are worth nothing without the others; then the job that can wait
the least. Each task goes where it leaves the least room, so that wide tasks
still find some.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import functools

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# Of workers with equal room a faster one is better.
SLOWNESS_COST_MILLI = 20_000


def place(region: tables.Region, now: float) -> None:
    """Start as many waiting tasks as there is room for."""
    if region.is_awaiting_list(now):
        return
    waiting = _list_with_chance(region)
    if not waiting:
        return
    sees_all = functools.cache(lambda: runs.knows_all_runs(region, now))
    full: dict[str, list[jobs.Resources]] = {}
    for job in waiting:
        # What is as large as a task without a place needs no search.
        without_place = full.setdefault(job.submission.service, [])
        if _is_as_large(job.resources, without_place):
            continue
        if not _place_job(region, job, sees_all, now):
            without_place.append(job.resources)


def sort_waiting(region: tables.Region) -> list[tables.Job]:
    """Return the jobs that wait, the most urgent first."""
    waiting = [region.jobs[job_id] for job_id in region.waiting]
    waiting.sort(key=get_urgency)
    return waiting


def _list_with_chance(region: tables.Region) -> list[tables.Job]:
    """Return the waiting jobs that some worker may have room for, in order."""
    largest = region.rooms.find_largest()
    waiting = []
    for job_id in region.waiting:
        job = region.jobs[job_id]
        submission = job.submission
        if submission.cpu_milli <= largest.get(submission.service, 0):
            waiting.append(job)
    waiting.sort(key=get_urgency)
    return waiting


def get_urgency(job: tables.Job) -> tuple[bool, float]:
    """Return the key by which jobs are served, the smallest first."""
    return (not job.has_begun, job.latest_start_at)


def _is_as_large(
    needed: jobs.Resources, others: Sequence[jobs.Resources]
) -> bool:
    """Return whether one of the others fits into what is needed."""
    return any(other.fits(needed) for other in others)


def list_with_room(
    region: tables.Region, job: tables.Job, now: float
) -> Iterator[fleet.Worker]:
    """Yield the workers that may be given a task, the fullest first."""
    needed = job.resources
    service = job.submission.service
    for worker_id in region.rooms.list_with_room(service, needed.cpu_milli):
        worker = region.workers[worker_id]
        if needed.fits(worker.free) and is_usable(worker, now):
            yield worker


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
    sees_all: Callable[[], bool],
    now: float,
) -> bool:
    """Start what can be started of a job; return whether there was room."""
    waiting = job.list_waiting()
    for task in waiting:
        if now < task.not_before and not sees_all():
            continue
        worker = _choose_worker(region, job, task, now)
        if worker is None:
            return False
        _start(region, job, task, worker, now)
    if not job.list_waiting():
        region.waiting.discard(job.submission.job_id)
    return True


def _choose_worker(
    region: tables.Region,
    job: tables.Job,
    task: tables.Task,
    now: float,
) -> fleet.Worker | None:
    """Return the worker that a task fits best, or None."""
    best = None
    best_cost = float("inf")
    for worker in list_with_room(region, job, now):
        if worker.free.cpu_milli >= best_cost:
            # All others leave even more.
            break
        cost = _weigh(worker, task)
        if cost < best_cost:
            best, best_cost = worker, cost
    return best


def _weigh(worker: fleet.Worker, task: tables.Task) -> float:
    """Return what speaks against a worker, in thousandths of a core."""
    slowness = max(0.0, worker.health.slowness - 1.0)
    cost = worker.free.cpu_milli + SLOWNESS_COST_MILLI * slowness
    if worker.listing.worker_id in task.avoided:
        cost += worker.listing.capacity.cpu_milli
    return cost


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
    region.add_run(worker, run)
    task.state = tables.TaskState.PLACED
    task.worker_id = run.worker_id
    task.next_run += 1
    job.has_begun = True
    region.effects.append(
        tables.StartRun(
            run.worker_id, run.task, run.number, job.submission.spec
        )
    )
