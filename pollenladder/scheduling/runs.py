"""Life cycle of runs: started, confirmed, lost, stopped, ended.

A task gets another run only with a proof that its last run is over; see `run_ends`.
"""

import dataclasses
import math

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempts
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
# Two owners receive each other's heartbeats well within this time.
OWNER_SETTLING_S = 0.25
# Time for the jobs of an earlier owner's runs to arrive and claim them.
ORPHAN_GRACE_S = 0.3
# A job that is forwarded again to an owner that has been the owner for longer
# comes from another owner that was active at the same time, or its gateway had
# lost the link.
RECENT_CLAIM_S = 2.0


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


def knows_all_runs(region: tables.Region, now: float) -> bool:
    """Return whether no worker can hold a run that is unknown to this owner."""
    if now < region.owned_since + OWNER_SETTLING_S:
        # The previous owner, which has the same jobs, may still become the
        # owner again with a higher epoch.
        return False
    if not region.is_worker_list_current:
        return False
    if find_list_doubt(region, now):
        return False
    return all(
        worker.is_synced and worker.is_reachable
        for worker in region.workers.values()
        if worker.is_listed
    )


def find_list_doubt(region: tables.Region, now: float) -> str:
    """Return why unlisted workers may execute runs, or "" if none may."""
    if now < region.moved_workers_until:
        return "workers_moved"
    return region.list_history.find_doubt(now)


def may_have_unknown_runs(region: tables.Region, job: tables.Job) -> bool:
    """Return whether runs of a job may be active beyond all listed workers.

    The list may lack a worker that another owner has used before it handed the
    job over.
    """
    return (
        job.submission.may_run_elsewhere
        or region.list_history.read_at < job.list_needed_at
    )


def record_rejoined(
    region: tables.Region,
    job: tables.Job,
    submission: jobs.Submission,
    previous: attempts.Attempt | None,
    now: float,
) -> None:
    """Record that a job in progress was forwarded to this owner again.

    If the attempt was forwarded more than once since, or another attempt is
    forwarded, another owner may have started tasks that wait here.

    Args:
        region: The region.
        job: The job.
        submission: The job as it was forwarded again.
        previous: The attempt as it was forwarded before, or None.
        now: Monotonic time in seconds.
    """
    before = job.submission
    job.submission = dataclasses.replace(
        before,
        may_have_begun=True,
        may_run_elsewhere=before.may_run_elsewhere
        or submission.may_run_elsewhere,
        first_run=max(before.first_run, submission.first_run),
    )
    if previous is not None:
        next_first_run = previous.first_run + jobs.RUN_NUMBERS_PER_FORWARD
        if submission.first_run == next_first_run:
            return
    job.list_needed_at = now
    for task in job.tasks:
        task.next_run = max(task.next_run, submission.first_run)
        task.not_before = get_lease_expiry(region, now)


def log_held_back(region: tables.Region, job: tables.Job, now: float) -> None:
    """Log that waiting tasks may be active on workers that are not listed."""
    doubt = find_list_doubt(region, now)
    waiting = job.list_waiting_tasks()
    if not doubt or not waiting:
        return
    region.log_event(
        "tasks_held_back",
        job=job.submission.job_id,
        tasks=len(waiting),
        reason=doubt,
        wait_s=round(waiting[0].not_before - now, 3),
    )


def get_lease_expiry(region: tables.Region, now: float) -> float:
    """Return when all leases of another owner on a job must have expired.

    Args:
        region: The region.
        now: When the job was forwarded to this owner, monotonic, in seconds.
    """
    lease_s = region.max_lease_s * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
    return now + region.handover_delay_s + lease_s


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
