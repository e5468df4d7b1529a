"""The runs that are lost with a worker, and which of them may have crashed it."""

import dataclasses

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import crash_records
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# Runs that were started within this time before the worker's last start are
# suspected.
SUSPECT_WINDOW_S = 0.03


@dataclasses.dataclass(frozen=True, slots=True)
class LostRun:
    """A run that was lost with its worker, and what it served.

    Attributes:
        run: The run.
        job_id: Its job's id.
        task_index: Index of its task in the job.
        queue: The job's queue.
        counts: The counts of the task, also after the job has ended.
        job: The job; None if it has ended.
    """

    run: fleet.Run
    job_id: str
    task_index: int
    queue: str
    counts: crash_records.CrashCounts
    job: tables.Job | None


def list_lost(
    region: tables.Region, worker: fleet.Worker, now: float
) -> list[LostRun]:
    """Return the runs on a worker whose loss is to be counted.

    Args:
        region: The region.
        worker: The worker.
        now: Monotonic time in seconds.
    """
    found = [_find_lost(region, run, now) for run in worker.runs.values()]
    return [lost for lost in found if lost is not None]


def _find_lost(
    region: tables.Region, run: fleet.Run, now: float
) -> LostRun | None:
    """Return a run with its job, or None if the run is not to be counted."""
    job, task = runs.find_task(region, run)
    if job is None or task is None:
        return _find_ended(region, run, now)
    return LostRun(
        run,
        job.submission.job_id,
        task.index,
        job.submission.queue,
        task.crashes,
        job,
    )


def _find_ended(
    region: tables.Region, run: fleet.Run, now: float
) -> LostRun | None:
    """Return a run of a job that has ended, if its queue is known.

    The job may be submitted again, and the run was not stopped yet.
    """
    job_id = jobs.parse_job_id(run.task)
    index = runs.parse_task_index(run.task)
    if job_id in region.jobs or index < 0:
        return None
    queue = run.kind or region.crashes.find_queue(job_id)
    if not queue:
        return None
    counts = region.crashes.open_counts(job_id, queue, index, now)
    return LostRun(run, job_id, index, queue, counts, None)


def choose_suspects(
    region: tables.Region,
    lost: list[LostRun],
    evidence: fleet.ProcessEnd,
    now: float,
) -> list[LostRun]:
    """Return the runs that may have crashed their worker.

    If tasks of a queue are known to crash workers, only those are suspected. An order
    to a worker that was lost in silence may not have arrived before the end of the
    process, so a run is suspected then only if its start was confirmed.
    """
    if evidence is fleet.ProcessEnd.REPLACED:
        lost = [loss for loss in lost if loss.run.confirmed_at]
    recent = list_recent([loss.run for loss in lost])
    suspects = [loss for loss in lost if loss.run in recent]
    known = [
        loss for loss in suspects if region.crashes.is_crashing(loss.queue, now)
    ]
    return known or suspects


def list_recent(found: list[fleet.Run]) -> list[fleet.Run]:
    """Return the last runs that a worker has started."""
    last_at = max((run.sent_at for run in found), default=0.0)
    return [run for run in found if run.sent_at >= last_at - SUSPECT_WINDOW_S]
