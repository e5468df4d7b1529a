"""Move stalled runs to other workers.

On some workers, tasks may hang or take many times as long as expected. A run is
stopped once its reported progress predicts that a new run on another worker
would end earlier.
"""

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.scheduling import candidates
from pollenladder.scheduling import long_tails
from pollenladder.scheduling import neighbours
from pollenladder.scheduling import progress
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# Ratio of a run's predicted run time to the usual one above which it is
# stalled. The usual run time is that of the job's tasks on other workers. If
# there are none, it is the longest usual one of the job, whose limit is higher
# because declared run times are far off.
SIBLING_FACTOR = 2.2
DECLARED_FACTOR = 5.0
# A run is not considered stalled before it has run for this time.
MIN_ELAPSED_S = 0.06
# Time lost by stopping a run and starting another one.
MOVE_COST_S = 0.03


def move_stalled_runs(
    region: tables.Region, worker: fleet.Worker, now: float
) -> None:
    """Stop a worker's stalled runs, so that their tasks restart elsewhere."""
    measured = {}
    for run in worker.runs.values():
        job, task = runs.find_task(region, run)
        if job is not None and task is not None:
            measured[run.task] = measure_slowness(region, job, run, now)
    for name, slowness in measured.items():
        run = worker.runs[name]
        job, task = runs.find_task(region, run)
        if slowness < 1.0 or job is None or task is None:
            continue
        total_s = predict_total_s(run, now)
        if long_tails.is_long_task(region, job, task, run):
            continue
        if long_tails.may_be_long(
            region, job, run, total_s
        ) and not long_tails.is_corroborated(run, measured):
            continue
        if not _is_other_worker_available(region, worker, job, now):
            continue
        health.record_stall(worker.health, SIBLING_FACTOR * slowness, now)
        task.avoided_workers.add(run.worker_id)
        task.stalls += 1
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
    """Return a run's predicted run time relative to the limit for a stall.

    Returns:
        At least 1 if the run is stalled. 0 if the run is not in progress, has
        not run for long enough, would end before a new run on another worker,
        or if no usual run time is known.
    """
    if run.state is not fleet.RunState.RUNNING:
        return 0.0
    elapsed_s = now - run.confirmed_at
    if elapsed_s < MIN_ELAPSED_S:
        return 0.0
    usual_s = progress.predict_by_siblings_s(region, job, run.worker_id)
    limit = SIBLING_FACTOR if usual_s else DECLARED_FACTOR
    new_run_s = usual_s or job.longest_usual_s
    if not new_run_s:
        return 0.0
    usual_s = new_run_s / region.get_speed(run.worker_id)
    if elapsed_s < 0.5 * new_run_s:
        return 0.0
    total_s = predict_total_s(run, now)
    remaining_s = total_s - elapsed_s
    if remaining_s < new_run_s + MOVE_COST_S:
        return 0.0
    slowness = total_s / usual_s / limit
    if slowness >= 1.0:
        # A disturbed run does not show that its worker is slow.
        worker = region.workers[run.worker_id]
        slowness /= neighbours.measure_slowdown(region, worker, run, now)
    return slowness


def predict_total_s(run: fleet.Run, now: float) -> float:
    """Return the total run time of a run in progress, in seconds.

    If progress is below `MIN_PERCENT`, the run hangs or is very slow. It is
    assumed to have just reached this percentage.
    """
    total_s = progress.predict_total_s(run)
    if total_s is not None:
        return total_s
    return 100.0 / progress.MIN_PERCENT * (now - run.confirmed_at)


def _is_other_worker_available(
    region: tables.Region, worker: fleet.Worker, job: tables.Job, now: float
) -> bool:
    return any(
        other is not worker
        for other in candidates.iterate_fitting(region, job, now)
    )
