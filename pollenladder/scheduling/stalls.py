"""Move runs that make too little progress to another worker.

Answers workers on which tasks stand still or take many times as long: a run is
stopped once its own progress says that a fresh one elsewhere ends sooner.
"""

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.scheduling import placement
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# A run this many times slower than expected is a candidate.
STALL_FACTOR = 3.0
# No run is judged before this much time, in seconds.
MIN_JUDGED_S = 0.08
# With less than this done, a run is taken to stand still.
STILL_PERCENT = 2.0
# What a stop and another start cost, in seconds.
MOVE_COST_S = 0.03


def move_stalled(
    region: tables.Region, worker: fleet.Worker, now: float
) -> None:
    """Stop the runs of a worker that had better begin anew elsewhere."""
    for run in list(worker.runs.values()):
        slowness = measure_slowness(run, now)
        if slowness < STALL_FACTOR or not _is_worth_moving(run, now):
            continue
        job, task = runs.find_task(region, run)
        if job is None or task is None:
            continue
        if not _has_room_elsewhere(region, worker, job, now):
            continue
        health.record_stall(worker.health, slowness, now)
        task.avoided.add(run.worker_id)
        runs.stop(region, run, now)
        region.note(
            "run_moved",
            job=job.submission.job_id,
            task=run.task,
            run=run.number,
            worker=run.worker_id,
            percent=run.percent,
            elapsed_s=round(now - run.confirmed_at, 3),
            expected_s=round(run.expected_s, 3),
        )


def measure_slowness(run: fleet.Run, now: float) -> float:
    """Return how many times as long as expected a run will take, at least."""
    if run.state is not fleet.RunState.RUNNING or not run.expected_s:
        return 0.0
    elapsed_s = now - run.confirmed_at
    if elapsed_s < max(MIN_JUDGED_S, 0.5 * run.expected_s):
        return 0.0
    if run.percent < STILL_PERCENT:
        return health.MAX_SLOWNESS
    return 100.0 * elapsed_s / run.percent / run.expected_s


def _is_worth_moving(run: fleet.Run, now: float) -> bool:
    if run.percent < STILL_PERCENT:
        return True
    elapsed_s = now - run.confirmed_at
    remaining_s = elapsed_s * (100.0 / run.percent - 1.0)
    return remaining_s > run.expected_s + MOVE_COST_S


def _has_room_elsewhere(
    region: tables.Region, worker: fleet.Worker, job: tables.Job, now: float
) -> bool:
    return any(
        other is not worker
        and other.listing.service == job.submission.service
        and job.resources.fits(other.get_free())
        for other in placement.list_usable(region, now)
    )
