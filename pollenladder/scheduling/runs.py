"""The life of a run: started, confirmed, lost, stopped, ended.

A task gets another run only when its last one is known to be over: its worker
has said so, or its lease must have lapsed by the worker's own clock.
"""

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import tables

# A worker's clock may be so much slower than ours.
MAX_CLOCK_DRIFT = 0.02
LAPSE_MARGIN_S = 0.05
STOP_RETRY_S = 0.15
# How much a worker that turned a start away for want of room is left alone.
NO_ROOM_PAUSE_S = 0.03
# A run number that a worker calls old is left this far behind.
RUN_NUMBER_STEP = 16
# Two owners hear of each other well within this time.
SETTLING_S = 0.25
# An earlier owner's runs get so long to be claimed with their jobs.
ORPHAN_GRACE_S = 0.3


def find_task(
    region: tables.Region, run: fleet.Run
) -> tuple[tables.Job | None, tables.Task | None]:
    """Return the job and the task that a run belongs to, if they want it."""
    job = region.jobs.get(jobs.read_job_id(run.task))
    if job is None or run.is_orphan:
        return None, None
    index = read_index(run.task)
    if not 0 <= index < len(job.tasks):
        return None, None
    task = job.tasks[index]
    is_wanted = (
        task.state is tables.TaskState.PLACED
        and task.worker_id == run.worker_id
    )
    return (job, task) if is_wanted else (None, None)


def read_index(task_name: str) -> int:
    """Return a task's place in its job, or -1 if the name is foreign."""
    text = task_name.rsplit(".", 1)[-1]
    return int(text) if text.isdecimal() else -1


def knows_all_runs(region: tables.Region, now: float) -> bool:
    """Return whether no worker can hold a run that this owner does not see."""
    if now < region.owned_since + SETTLING_S:
        # The owner before may yet outbid this one, and has the same jobs.
        return False
    if not region.is_worker_list_current or now <= region.unseen_until:
        return False
    return all(
        worker.is_synced and worker.is_reachable
        for worker in region.workers.values()
        if worker.is_listed
    )


def get_lease_expiry(region: tables.Region, now: float) -> float:
    """Return when no run of another owner of a job handed on now is at work."""
    lease_s = region.max_lease_s * (1 + MAX_CLOCK_DRIFT) + LAPSE_MARGIN_S
    return now + region.handover_delay_s + lease_s


def has_runs(region: tables.Region, job_id: str) -> bool:
    """Return whether a worker has a run of a job, wanted or not."""
    return job_id in region.runs


def adopt_orphan(
    region: tables.Region, job: tables.Job, task: tables.Task
) -> bool:
    """Give a task the run that a worker already has of it, if any."""
    name = jobs.format_task_name(job.submission.job_id, task.index)
    own = region.runs.get(job.submission.job_id, ())
    run = next((run for run in own if run.task == name), None)
    if run is None:
        return False
    task.next_run = max(task.next_run, run.number + 1)
    run.is_orphan = False
    run.expected_s = job.expected_s
    _take_room(region, job, run)
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


def _take_room(region: tables.Region, job: tables.Job, run: fleet.Run) -> None:
    """Let a run that came before its job take the room that it needs."""
    worker = region.workers[run.worker_id]
    region.remove_run(worker, run)
    run.resources = job.resources
    region.add_run(worker, run)


def abandon(
    region: tables.Region, job: tables.Job, task: tables.Task, now: float
) -> None:
    """Stop the run of a task that nobody wants any more."""
    name = jobs.format_task_name(job.submission.job_id, task.index)
    worker = region.workers.get(task.worker_id)
    run = worker.runs.get(name) if worker else None
    if run is None:
        return
    run.is_orphan = True
    stop(region, run, now)


def stop(region: tables.Region, run: fleet.Run, now: float) -> None:
    """Order a run to stop; it keeps its room until its end is known."""
    run.state = fleet.RunState.STOPPING
    run.next_stop_at = now + STOP_RETRY_S
    region.effects.append(tables.StopRun(run.worker_id, run.task, run.number))


def release(
    region: tables.Region, worker: fleet.Worker, run: fleet.Run, reason: str
) -> None:
    """Forget a run that is over; its task waits again if it is wanted."""
    job, task = find_task(region, run)
    region.remove_run(worker, run)
    if job is None or task is None:
        return
    task.state = tables.TaskState.WAITING
    task.worker_id = ""
    region.waiting.add(job.submission.job_id)
    region.log_event(
        "task_requeued",
        job=job.submission.job_id,
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        reason=reason,
    )


def blame(
    worker: fleet.Worker, run: fleet.Run, region: tables.Region, now: float
) -> None:
    """Count a failed run against its worker, or against its job."""
    job_id = jobs.read_job_id(run.task)
    health.record_failure(worker.health, job_id, now)
    count = health.count_failed(region.workers.values(), job_id, now)
    is_job_to_blame = count >= health.BLAMED_JOB_WORKERS
    if is_job_to_blame:
        for other in region.workers.values():
            health.forgive(other.health, job_id)
    region.log_event(
        "run_failed",
        job=job_id,
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        failures_in_row=worker.health.failures,
        blamed="job" if is_job_to_blame else "worker",
    )
