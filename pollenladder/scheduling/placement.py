"""Place waiting tasks on workers with enough free capacity.

Workers may be full, and jobs may have very different widths. Jobs that have
begun come first, because their completed tasks are worthless until the others
complete too. The other jobs follow by the time at which they must start to end
in time, the earliest first. Each task goes to the worker with the least free
capacity that fits it. This keeps capacity free for wide tasks, which need many
cores.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import functools
import itertools

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import neighbours
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# Cost of a worker's slowness, in thousandths of a core per unit of
# `Health.slowness` above 1. Of two workers with equal free capacity, the faster
# one is chosen.
SLOWNESS_COST_MILLI = 20_000
# Candidates that are examined for a task that interferes with others: those
# with the least free CPU, and those with the most, which have few neighbours.
# Bounds the cost of a placement, as the search can't end at the first worker
# whose free CPU exceeds the best cost if all of them have neighbours.
MAX_CANDIDATES = 16
MOST_FREE_CANDIDATES = 4


def place(region: tables.Region, now: float) -> None:
    """Start all waiting tasks that workers have capacity for."""
    if region.is_awaiting_worker_list(now):
        return
    waiting = _list_placeable(region)
    if not waiting:
        return
    # Cached because the check visits all workers.
    knows_all_runs = functools.cache(lambda: runs.knows_all_runs(region, now))
    unplaceable: dict[str, list[jobs.Resources]] = {}
    for job in waiting:
        # Skip a job whose tasks need at least as much as a task that has found
        # no worker in this call.
        unplaced = unplaceable.setdefault(job.submission.service, [])
        if _needs_as_much(job.resources, unplaced):
            continue
        if not _place_job(region, job, knows_all_runs, now):
            unplaced.append(job.resources)


def sort_waiting(region: tables.Region) -> list[tables.Job]:
    """Return the waiting jobs, the most urgent first."""
    waiting = [region.jobs[job_id] for job_id in region.waiting]
    waiting.sort(key=get_urgency)
    return waiting


def _list_placeable(region: tables.Region) -> list[tables.Job]:
    """Return the waiting jobs that may fit a worker, the most urgent first."""
    largest = region.free_capacity.get_largest()
    waiting = []
    for job_id in region.waiting:
        job = region.jobs[job_id]
        submission = job.submission
        if submission.cpu_milli <= largest.get(submission.service, 0):
            waiting.append(job)
    waiting.sort(key=get_urgency)
    return waiting


def get_urgency(job: tables.Job) -> tuple[bool, float]:
    """Return a job's sort key; smaller keys are more urgent."""
    return (not job.has_begun, job.latest_start_at)


def _needs_as_much(
    needed: jobs.Resources, others: Sequence[jobs.Resources]
) -> bool:
    """Return whether `needed` covers at least one of the others."""
    return any(other.fits_in(needed) for other in others)


def iterate_candidates(
    region: tables.Region, job: tables.Job, now: float
) -> Iterator[fleet.Worker]:
    """Yield the available workers that fit a task, the least free CPU first."""
    needed = job.resources
    service = job.submission.service
    for worker_id in region.free_capacity.iterate_with_cpu(
        service, needed.cpu_milli
    ):
        worker = region.workers[worker_id]
        if needed.fits_in(worker.free) and is_available(worker, now):
            yield worker


def is_available(worker: fleet.Worker, now: float) -> bool:
    """Return whether a worker may be given a run now."""
    return (
        worker.is_listed
        and worker.is_synced
        and worker.is_reachable
        and not worker.listing.is_draining
        and now >= worker.busy_until
        and health.can_accept_run(worker, now)
    )


def _place_job(
    region: tables.Region,
    job: tables.Job,
    knows_all_runs: Callable[[], bool],
    now: float,
) -> bool:
    """Start a job's waiting tasks; return False if one fits no worker.

    A task is skipped while another owner's run of it may still be in progress.
    """
    waiting = job.list_waiting_tasks()
    for task in waiting:
        if now < task.not_before and (
            job.submission.may_run_elsewhere or not knows_all_runs()
        ):
            continue
        if neighbours.must_separate(region, job.submission.queue, now):
            worker, is_changed = _choose_separate_worker(region, job, task, now)
        else:
            worker, is_changed = _choose_worker(region, job, task, now), False
        if worker is None:
            return False
        neighbours.record_placement(region, job, worker, is_changed, now)
        _start(region, job, task, worker, now)
    if not job.list_waiting_tasks():
        region.waiting.discard(job.submission.job_id)
    return True


def _choose_worker(
    region: tables.Region,
    job: tables.Job,
    task: tables.Task,
    now: float,
) -> fleet.Worker | None:
    """Return the worker with the lowest cost for a task, or None."""
    best = None
    best_cost = float("inf")
    for worker in iterate_candidates(region, job, now):
        if worker.free.cpu_milli >= best_cost:
            # The cost is at least the free CPU, which only grows from here.
            break
        cost = _compute_cost(worker, task)
        if cost < best_cost:
            best, best_cost = worker, cost
    return best


def _choose_separate_worker(
    region: tables.Region,
    job: tables.Job,
    task: tables.Task,
    now: float,
) -> tuple[fleet.Worker | None, bool]:
    """Return the worker with the lowest cost including interference.

    Returns:
        The worker, or None if no worker fits; and whether it was chosen because
        of interference.
    """
    usual = best = _choose_worker(region, job, task, now)
    if usual is None:
        return None, False
    kind = job.submission.queue
    interference_cost = neighbours.compute_cost(region, usual, kind)
    if not interference_cost:
        return usual, False
    best_cost = _compute_cost(usual, task) + interference_cost
    for worker in _iterate_some_candidates(region, job, now):
        if worker.free.cpu_milli >= best_cost:
            continue
        cost = _compute_cost(worker, task)
        cost += neighbours.compute_cost(region, worker, kind)
        if cost < best_cost:
            best, best_cost = worker, cost
    return best, best is not usual


def _iterate_some_candidates(
    region: tables.Region, job: tables.Job, now: float
) -> Iterator[fleet.Worker]:
    """Yield some of the candidates, with the least and the most free CPU."""
    yield from itertools.islice(
        iterate_candidates(region, job, now), MAX_CANDIDATES
    )
    most_free = region.free_capacity.list_most_free(
        job.submission.service, MOST_FREE_CANDIDATES
    )
    for worker_id in most_free:
        worker = region.workers[worker_id]
        if job.resources.fits_in(worker.free) and is_available(worker, now):
            yield worker


def _compute_cost(worker: fleet.Worker, task: tables.Task) -> float:
    """Return the cost of a worker for a task, in thousandths of a core.

    The cost is the worker's free CPU, plus a penalty if it is slow. The
    worker's whole CPU capacity is added if a run of the task has failed,
    stalled or been rejected on it.
    """
    slowness = max(0.0, worker.health.slowness - 1.0)
    cost = worker.free.cpu_milli + SLOWNESS_COST_MILLI * slowness
    if worker.listing.worker_id in task.avoided_workers:
        cost += worker.listing.capacity.cpu_milli
    return cost


def _start(
    region: tables.Region,
    job: tables.Job,
    task: tables.Task,
    worker: fleet.Worker,
    now: float,
) -> None:
    kind = job.submission.queue
    slowdown = neighbours.predict_slowdown(region, worker, kind)
    run = fleet.Run(
        task=jobs.format_task_name(job.submission.job_id, task.index),
        number=task.next_run,
        worker_id=worker.listing.worker_id,
        resources=job.resources,
        state=fleet.RunState.STARTING,
        sent_at=now,
        expected_s=job.expected_s * slowdown,
        kind=kind,
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
