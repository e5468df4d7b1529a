"""Life cycle of runs: started, confirmed, lost, stopped, ended.

A task gets another run only with a proof that its last run is over; see `run_ends`.
"""

import math

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_doubts
from pollenladder.scheduling import effects
from pollenladder.scheduling import run_ends
from pollenladder.scheduling import tables

# Share by which a worker's clock may run slower than the local clock. A lease
# lasts longer on a slower clock.
MAX_CLOCK_DRIFT = 0.02
LEASE_EXPIRY_MARGIN_S = 0.05
STOP_RETRY_S = 0.15
# A worker that rejected a start for lack of capacity gets no starts for this
# time.
NO_CAPACITY_PAUSE_S = 0.03
# Added to the next run number after a worker rejected a number as old.
RUN_NUMBER_STEP = 16
# Time for the jobs of an earlier owner's runs to arrive and claim them.
ORPHAN_GRACE_S = 0.3


def find_task(
    region: tables.Region, run: fleet.Run
) -> tuple[tables.Job | None, tables.Task | None]:
    """Return the job and task that a run serves, or (None, None)."""
    job = region.jobs.get(jobs.parse_job_id(run.task))
    if job is None or run.is_orphan:
        return None, None
    index = parse_task_index(run.task)
    if not 0 <= index < len(job.tasks):
        return None, None
    task = job.tasks[index]
    is_current = (
        task.state is tables.TaskState.PLACED
        and task.worker_id == run.worker_id
    )
    return (job, task) if is_current else (None, None)


def parse_task_index(task_name: str) -> int:
    """Return a task's index in its job, or -1 if the name contains none."""
    text = task_name.rsplit(".", 1)[-1]
    return int(text) if text.isdecimal() else -1


def has_runs(region: tables.Region, job_id: str) -> bool:
    """Return whether any worker has a run of a job, including orphans."""
    return job_id in region.runs


def adopt_orphan(
    region: tables.Region, job: tables.Job, task: tables.Task
) -> bool:
    """Assign to a task the run that a worker already has of it.

    Returns:
        Whether there was such a run.
    """
    name = jobs.format_task_name(job.submission.job_id, task.index)
    job_runs = region.runs.get(job.submission.job_id, ())
    run = next((run for run in job_runs if run.task == name), None)
    if run is None:
        return False
    task.next_run = max(task.next_run, run.number + 1)
    run.is_orphan = False
    run.ends_by = math.inf
    run.expected_s = job.expected_s / region.get_speed(run.worker_id)
    _assign_to_job(region, job, run)
    task.state = tables.TaskState.PLACED
    task.worker_id = run.worker_id
    job.has_begun = True
    attempt_doubts.record_adoption(region, job)
    region.log_event(
        "run_adopted",
        job=job.submission.job_id,
        task=name,
        run=run.number,
        worker=task.worker_id,
    )
    return True


def _assign_to_job(
    region: tables.Region, job: tables.Job, run: fleet.Run
) -> None:
    """Reserve a job's resources for a run that was seen before its job."""
    worker = region.workers[run.worker_id]
    region.remove_run(worker, run)
    run.kind = job.submission.queue
    run.resources = job.resources
    region.add_run(worker, run)


def abandon(
    region: tables.Region,
    job: tables.Job,
    task: tables.Task,
    reason: jobs.Reason,
    now: float,
) -> None:
    """Stop the run of a task whose job has ended.

    The run of a job that has moved to another owner gets time to be adopted.
    """
    name = jobs.format_task_name(job.submission.job_id, task.index)
    worker = region.workers.get(task.worker_id)
    run = worker.runs.get(name) if worker else None
    if run is None:
        return
    run.is_orphan = True
    run.ends_by = min(now, job.served_at) + region.run_limit_s
    run.claim_by = now
    if reason is jobs.Reason.MOVED:
        run.claim_by = now + ORPHAN_GRACE_S
    else:
        stop(region, run, now)


def stop(region: tables.Region, run: fleet.Run, now: float) -> None:
    """Order a run to stop; it keeps its resources until its end is known."""
    run.state = fleet.RunState.STOPPING
    run.next_stop_at = now + STOP_RETRY_S
    region.effects.append(effects.StopRun(run.worker_id, run.task, run.number))


def release(
    region: tables.Region,
    worker: fleet.Worker,
    run: fleet.Run,
    proof: run_ends.Proof,
) -> None:
    """Remove a run that is over, and requeue its task if its job needs it.

    The task starts again once no run of it is known on any worker.

    Args:
        region: The region.
        worker: The worker.
        run: The run.
        proof: What shows that the run is over.
    """
    job, task = find_task(region, run)
    region.remove_run(worker, run)
    if job is None or task is None:
        return
    task.state = tables.TaskState.WAITING
    task.worker_id = ""
    if adopt_orphan(region, job, task):
        # Another run of the task, which is being stopped.
        return
    region.waiting.add(job.submission.job_id)
    region.log_event(
        "task_requeued",
        job=job.submission.job_id,
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        reason=proof.reason,
    )


def attribute_failure(
    worker: fleet.Worker, run: fleet.Run, region: tables.Region, now: float
) -> None:
    """Record a failed run against its worker, unless the job is the cause.

    The job is considered the cause if it recently failed on several workers.
    """
    job_id = jobs.parse_job_id(run.task)
    health.record_failure(worker.health, job_id, now)
    count = health.count_workers_failing_job(
        region.workers.values(), job_id, now
    )
    is_job_to_blame = count >= health.MIN_WORKERS_TO_BLAME_JOB
    if is_job_to_blame:
        for other in region.workers.values():
            health.discount_job_failure(other.health, job_id)
    region.log_event(
        "run_failed",
        job=job_id,
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        failures_in_row=worker.health.failures,
        blamed="job" if is_job_to_blame else "worker",
    )
