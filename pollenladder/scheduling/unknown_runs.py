"""Runs of an earlier owner that this one may not know.

A task of a job that was forwarded to another owner before may be active on a worker
that this owner does not list, or has not polled. It starts here once it is proved
that it is not, or that every lease of an earlier owner has expired.
"""

from collections.abc import Callable
import dataclasses

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempts
from pollenladder.scheduling import run_ends
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# Two owners receive each other's heartbeats well within this time.
OWNER_SETTLING_S = 0.25
# A job that is forwarded again to an owner that has been the owner for longer
# comes from another owner that was active at the same time, or its gateway had
# lost the link.
RECENT_CLAIM_S = 2.0


def prove_no_run(
    region: tables.Region,
    job: tables.Job,
    task: tables.Task,
    knows_all_runs: Callable[[], bool],
    now: float,
) -> run_ends.Proof | None:
    """Return the proof that no earlier owner's run of a task is left, or None.

    Args:
        region: The region.
        job: The job.
        task: A task of the job that waits.
        knows_all_runs: Returns whether the runs of all workers are known.
        now: Monotonic time in seconds.
    """
    if not task.not_before:
        return run_ends.FIRST_OWNER
    if now >= task.not_before:
        return run_ends.LEASE_EXPIRED
    if may_have_unknown_runs(region, job) or not knows_all_runs():
        return None
    return run_ends.ON_NO_WORKER


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


def record_end(region: tables.Region, job: tables.Job, now: float) -> None:
    """Record that a job ends while its tasks wait for an earlier owner's runs."""
    waiting = job.list_waiting_tasks()
    until = max((task.not_before for task in waiting), default=now)
    if now < until:
        region.unknown_runs_until[job.submission.job_id] = until


def may_be_left(region: tables.Region, job_id: str, now: float) -> bool:
    """Return whether runs may be left that an ended job has waited for."""
    return now < region.unknown_runs_until.get(job_id, now)


def forget_over(region: tables.Region, now: float) -> None:
    """Forget the ended jobs of which no run can be left any more."""
    for job_id, until in list(region.unknown_runs_until.items()):
        if now >= until:
            del region.unknown_runs_until[job_id]


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
    lease_s = region.max_lease_s * (1 + runs.MAX_CLOCK_DRIFT)
    lease_s += runs.LEASE_EXPIRY_MARGIN_S
    return now + region.handover_delay_s + lease_s
