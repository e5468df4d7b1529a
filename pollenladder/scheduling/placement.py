"""Place waiting tasks on workers with enough free capacity.

Workers may be full, and jobs may have very different widths. Jobs that have
begun come first, because their completed tasks are worthless until the others
complete too. The other jobs follow by the time at which they must start to end
in time, the earliest first, and then those that the loss of a worker has made late.
Each task goes to the worker with the least free
capacity that fits it. This keeps capacity free for wide tasks, which need many
cores.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import functools
import itertools

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import warmup
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_records
from pollenladder.scheduling import candidates
from pollenladder.scheduling import deferral
from pollenladder.scheduling import delays
from pollenladder.scheduling import effects
from pollenladder.scheduling import exposure
from pollenladder.scheduling import isolation
from pollenladder.scheduling import neighbours
from pollenladder.scheduling import run_ends
from pollenladder.scheduling import speed_matching
from pollenladder.scheduling import start_forecasts
from pollenladder.scheduling import tables
from pollenladder.scheduling import unknown_runs

# Cost of a worker's slowness, in thousandths of a core per unit of
# `Health.slowness` above 1. Of two workers with equal free capacity, the faster
# one is chosen.
SLOWNESS_COST_MILLI = 20_000
# Candidates that are examined for a task that interferes with others: those
# with the least free CPU, and those with the most, which have few neighbours.
# Bounds the cost of a placement, as the search can't end at the first worker
# whose free CPU exceeds the best cost if all of them have neighbours.
MAX_CANDIDATES = 16
# The same if no worker may have the speed that a task needs.
MAX_SPEED_CANDIDATES = 64
MOST_FREE_CANDIDATES = 4
# Tasks of a job that are started in one round. Each order to a worker takes memory until
# it is answered, and a job of very many small tasks may fit on the workers as a whole.
MAX_STARTS = 128

# What tasks needed that found no worker, by service, allowed regions, and the queue
# if that may not use all workers.
Unplaceable = dict[tuple[str, tuple[str, ...], str], list[jobs.Resources]]


def place(region: tables.Region, now: float) -> None:
    """Start all waiting tasks that workers have capacity for.

    A job whose placement fails unexpectedly is left out from now on, and ended by
    `job_ends.end_failed_jobs`.
    """
    region.decide(effects.Decision.PLACEMENT, "", _place_all, region, now)


def _place_all(region: tables.Region, now: float) -> None:
    if region.is_awaiting_worker_list(now):
        return
    if not region.evacuations.is_current(now):
        # A data centre may have been taken out of use during a pause.
        return
    waiting, deferred = _list_placeable(region)
    if not waiting and not deferred:
        return
    # Cached because the check visits all workers.
    knows_all_runs = functools.cache(
        lambda: unknown_runs.knows_all_runs(region, now)
    )
    unplaceable: Unplaceable = {}
    for job in waiting:
        try:
            _place_unless_hopeless(
                region, job, unplaceable, knows_all_runs, now
            )
        except Exception as error:
            _set_aside(region, job, error)
    for job in deferred:
        try:
            if _may_start_deferred(region, job, now):
                _place_job(region, job, knows_all_runs, now)
        except Exception as error:
            _set_aside(region, job, error)


def _set_aside(
    region: tables.Region, job: tables.Job, error: Exception
) -> None:
    """Leave a job out of later placements, because its own has failed."""
    job_id = job.submission.job_id
    region.waiting.discard(job_id)
    region.failed_jobs.add(job_id)
    decision = effects.Decision.JOB_PLACEMENT
    region.effects.append(effects.DecisionFailed(decision, job_id, error))


def _place_unless_hopeless(
    region: tables.Region,
    job: tables.Job,
    unplaceable: Unplaceable,
    knows_all_runs: Callable[[], bool],
    now: float,
) -> None:
    """Place a job, unless one that needs no more has just found no worker.

    Args:
        region: The region.
        job: The job.
        unplaceable: What other tasks needed in vain.
        knows_all_runs: Returns whether the runs of all workers are known.
        now: Monotonic time in seconds.
    """
    submission = job.submission
    limited = exposure.get_limited_queue(region, submission, now)
    key = (submission.service, submission.allowed_regions, limited)
    unplaced = unplaceable.setdefault(key, [])
    if not job.has_lost_workers and _needs_as_much(job.resources, unplaced):
        return
    if not _place_job(region, job, knows_all_runs, now):
        unplaced.append(job.resources)


def _may_start_deferred(
    region: tables.Region, job: tables.Job, now: float
) -> bool:
    """Return whether a deferred job leaves enough for jobs that can be in time.

    It starts as a whole: once begun, its remaining tasks would come first.
    """
    if not deferral.has_spare_capacity(region, job):
        return False
    missing = len(job.list_waiting_tasks())
    for worker in candidates.iterate_fitting(region, job, now):
        usable = warmup.compute_free(worker, now)
        missing -= usable.count_fitting(job.resources)
        if missing <= 0:
            return True
    return False


def sort_waiting(region: tables.Region) -> list[tables.Job]:
    """Return the waiting jobs, the most urgent first."""
    waiting = [region.jobs[job_id] for job_id in region.waiting]
    waiting.sort(key=get_urgency)
    return waiting


def _list_placeable(
    region: tables.Region,
) -> tuple[list[tables.Job], list[tables.Job]]:
    """Return the waiting jobs that may fit a worker, the most urgent first.

    Deferred jobs are returned separately, and only those of services for which
    no other job waits.
    """
    largest = region.free_capacity.get_largest()
    waiting: list[tables.Job] = []
    deferred: list[tables.Job] = []
    busy_services: set[str] = set()
    for job_id in region.waiting:
        job = region.jobs[job_id]
        submission = job.submission
        is_deferred = job.is_deferred and not job.has_begun
        if not is_deferred:
            busy_services.add(submission.service)
        if (
            submission.cpu_milli <= largest.get(submission.service, 0)
            or candidates.may_use_evacuated(region, job)
            or job.has_lost_workers
        ):
            (deferred if is_deferred else waiting).append(job)
    waiting.sort(key=get_urgency)
    deferred = [
        job for job in deferred if job.submission.service not in busy_services
    ]
    deferred.sort(key=get_urgency)
    return waiting, deferred


def get_urgency(job: tables.Job) -> start_forecasts.Urgency:
    """Return a job's sort key; smaller keys are more urgent."""
    if job.is_overdue:
        return (start_forecasts.Rank.OVERDUE, job.latest_start_at)
    if job.has_begun:
        return (start_forecasts.Rank.BEGUN, job.latest_start_at)
    if job.is_deferred:
        return (start_forecasts.Rank.DEFERRED, job.latest_start_at)
    return (start_forecasts.Rank.IN_TIME, job.latest_start_at)


def _needs_as_much(
    needed: jobs.Resources, others: Sequence[jobs.Resources]
) -> bool:
    """Return whether `needed` covers at least one of the others."""
    return any(other.fits_in(needed) for other in others)


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
    for task in waiting[:MAX_STARTS]:
        proof = unknown_runs.prove_no_run(
            region, job, task, knows_all_runs, now
        )
        if proof is None:
            continue
        if task.needs_isolation:
            _place_alone(region, job, task, proof, now)
            continue
        if neighbours.must_separate(region, job.submission.queue, now):
            worker, is_changed = _choose_separate_worker(region, job, task, now)
        else:
            worker, is_changed = _choose_worker(region, job, task, now), False
        if worker is None:
            return False
        neighbours.record_placement(region, job, worker, is_changed, now)
        _start(region, job, task, worker, proof, now)
    if not job.list_waiting_tasks():
        region.waiting.discard(job.submission.job_id)
    return True


def _place_alone(
    region: tables.Region,
    job: tables.Job,
    task: tables.Task,
    proof: run_ends.Proof,
    now: float,
) -> None:
    """Start a suspected task if there is an idle worker for it."""

    def can_run(worker: fleet.Worker) -> bool:
        return (
            not worker.is_evacuated
            and candidates.can_run(worker, now)
            and candidates.is_allowed(
                region, job.submission.allowed_regions, worker
            )
            and exposure.permits(region, job.submission, worker, now)
        )

    fitting = candidates.iterate_fitting(region, job, now)
    worker = isolation.choose_worker(region, job, task, fitting, can_run)
    if worker is not None:
        _start(region, job, task, worker, proof, now)
        worker.isolated_task = jobs.format_task_name(
            job.submission.job_id, task.index
        )


def _choose_worker(
    region: tables.Region,
    job: tables.Job,
    task: tables.Task,
    now: float,
) -> fleet.Worker | None:
    """Return the worker with the lowest cost for a task, or None."""
    best = None
    best_cost = float("inf")
    needed_speed = speed_matching.compute_needed_speed(region, job, now)
    fitting = candidates.iterate_fitting(region, job, now)
    if needed_speed:
        fitting = _iterate_some_candidates(
            region, job, MAX_SPEED_CANDIDATES, now
        )
    for worker in fitting:
        if worker.free.cpu_milli >= best_cost:
            # The cost is at least the free CPU, which only grows from here.
            break
        cost = _compute_cost(region, worker, task, needed_speed)
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
    needed_speed = speed_matching.compute_needed_speed(region, job, now)
    best_cost = _compute_cost(region, usual, task, needed_speed)
    best_cost += interference_cost
    for worker in _iterate_some_candidates(region, job, MAX_CANDIDATES, now):
        if worker.free.cpu_milli >= best_cost:
            continue
        cost = _compute_cost(region, worker, task, needed_speed)
        cost += neighbours.compute_cost(region, worker, kind)
        if cost < best_cost:
            best, best_cost = worker, cost
    return best, best is not usual


def _iterate_some_candidates(
    region: tables.Region, job: tables.Job, limit: int, now: float
) -> Iterator[fleet.Worker]:
    """Yield up to `limit` candidates with the least, and some with the most CPU."""
    yield from itertools.islice(
        candidates.iterate_fitting(region, job, now), limit
    )
    most_free = region.free_capacity.list_most_free(
        job.submission.service, MOST_FREE_CANDIDATES
    )
    for worker_id in most_free:
        worker = region.workers[worker_id]
        if candidates.is_candidate(region, job, worker, now):
            yield worker


def _compute_cost(
    region: tables.Region,
    worker: fleet.Worker,
    task: tables.Task,
    needed_speed: float,
) -> float:
    """Return the cost of a worker for a task, in thousandths of a core.

    The cost is the worker's free CPU, plus a penalty if it is slow, and another
    one if it lacks the needed speed. The worker's whole CPU capacity is added
    if a run of the task has failed, stalled or been rejected on it.
    """
    slowness = max(0.0, worker.health.slowness - 1.0)
    cost = worker.free.cpu_milli + SLOWNESS_COST_MILLI * slowness
    speed = region.get_speed(worker.listing.worker_id)
    cost += speed_matching.compute_cost(needed_speed, speed)
    if worker.listing.worker_id in task.avoided_workers:
        cost += worker.listing.capacity.cpu_milli
    return cost


def _start(
    region: tables.Region,
    job: tables.Job,
    task: tables.Task,
    worker: fleet.Worker,
    proof: run_ends.Proof,
    now: float,
) -> None:
    """Start a task on a worker.

    Args:
        region: The region.
        job: The job.
        task: The task.
        worker: The worker.
        proof: What shows that no run of the task is left.
        now: Monotonic time in seconds.
    """
    kind = job.submission.queue
    slowdown = neighbours.predict_slowdown(region, worker, kind)
    run = fleet.Run(
        task=jobs.format_task_name(job.submission.job_id, task.index),
        number=task.next_run,
        worker_id=worker.listing.worker_id,
        resources=job.resources,
        state=fleet.RunState.STARTING,
        sent_at=now,
        expected_s=job.expected_s
        * slowdown
        / region.get_speed(worker.listing.worker_id),
        kind=kind,
    )
    region.add_run(worker, run)
    if proof is not run_ends.FIRST_OWNER:
        _log_cleared(region, run, proof)
    task.state = tables.TaskState.PLACED
    task.worker_id = run.worker_id
    task.next_run += 1
    job.has_begun = True
    delays.record_first_start(job, task, now)
    if job.record is not None:
        attempt_records.record_start(job.record, run)
    region.effects.append(
        effects.StartRun(
            run.worker_id, run.task, run.number, job.submission.spec
        )
    )


def _log_cleared(
    region: tables.Region, run: fleet.Run, proof: run_ends.Proof
) -> None:
    """Log why a task starts that an earlier owner may have started."""
    region.log_event(
        "task_cleared",
        job=jobs.parse_job_id(run.task),
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        reason=proof.reason,
    )
