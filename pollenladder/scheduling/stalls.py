"""Move runs that make too little progress to another worker.

Answers workers on which tasks stand still or take many times as long: a run is
stopped once its own progress says that a fresh one elsewhere ends sooner.
"""

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.scheduling import placement
from pollenladder.scheduling import progress
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# A run is stalled if it takes so many times as long as others of its job, or,
# if there are none elsewhere, as was declared; declared times are far off.
SIBLING_FACTOR = 2.2
DECLARED_FACTOR = 5.0
# No run is judged before this much time, in seconds.
MIN_JUDGED_S = 0.06
# What a stop and another start cost, in seconds.
MOVE_COST_S = 0.03


def move_stalled(
    region: tables.Region, worker: fleet.Worker, now: float
) -> None:
    """Stop the runs of a worker that had better begin anew elsewhere."""
    for run in list(worker.runs.values()):
        job, task = runs.find_task(region, run)
        if job is None or task is None:
            continue
        slowness = measure_slowness(region, job, run, now)
        if slowness < 1.0:
            continue
        if not _has_room_elsewhere(region, worker, job, now):
            continue
        health.record_stall(worker.health, SIBLING_FACTOR * slowness, now)
        task.avoided.add(run.worker_id)
        runs.stop(region, run, now)
        region.log_event(
            "run_moved",
            job=job.submission.job_id,
            task=run.task,
            run=run.number,
            worker=run.worker_id,
            percent=run.percent,
            elapsed_s=round(now - run.confirmed_at, 3),
            expected_s=round(run.expected_s, 3),
        )


def measure_slowness(
    region: tables.Region, job: tables.Job, run: fleet.Run, now: float
) -> float:
    """Return by how much a run is over what would be worth a move.

    Returns:
        At 1 and above the run is taken to be stalled.
    """
    if run.state is not fleet.RunState.RUNNING:
        return 0.0
    elapsed_s = now - run.confirmed_at
    if elapsed_s < MIN_JUDGED_S:
        return 0.0
    usual_s = progress.predict_by_siblings_s(region, job, run.worker_id)
    limit = SIBLING_FACTOR if usual_s else DECLARED_FACTOR
    usual_s = usual_s or job.expected_s
    if elapsed_s < 0.5 * usual_s:
        return 0.0
    total_s = progress.predict_total_s(run)
    if total_s is None:
        # Hardly begun: it stands still, or takes many times as long.
        total_s = 100.0 / progress.MIN_PERCENT * elapsed_s
    remaining_s = total_s - elapsed_s
    if remaining_s < usual_s + MOVE_COST_S:
        return 0.0
    return total_s / usual_s / limit


def _has_room_elsewhere(
    region: tables.Region, worker: fleet.Worker, job: tables.Job, now: float
) -> bool:
    return any(
        other is not worker
        for other in placement.list_with_room(region, job, now)
    )
