"""Learn about workers and queues from completed runs."""

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.scheduling import long_tails
from pollenladder.scheduling import neighbours
from pollenladder.scheduling import progress
from pollenladder.scheduling import speed_learning
from pollenladder.scheduling import tables


def learn_from_run(
    region: tables.Region,
    worker: fleet.Worker,
    job: tables.Job,
    task: tables.Task,
    run: fleet.Run,
    now: float,
) -> None:
    """Learn about the worker and the queue from a completed run."""
    measured_s = now - (run.confirmed_at or run.sent_at)
    _record_success(region, worker, job, run, measured_s, now)
    is_worker_slow = worker.health.slowness >= health.SLOWNESS_THRESHOLD
    if run.is_start_known and not is_worker_slow:
        speed_learning.record_duration(region, job, run, measured_s)
    # The start of an adopted run is not known, so its run time teaches nothing.
    if run.is_start_known:
        task.took_s = measured_s
    speed_learning.record_job(region, job)
    neighbours.record_end(region, worker, job, run, now, region.get_speed)


def _record_success(
    region: tables.Region,
    worker: fleet.Worker,
    job: tables.Job,
    run: fleet.Run,
    measured_s: float,
    now: float,
) -> None:
    """Update a worker's health with the run time of a completed run.

    The run is compared with runs of the same job on other workers, or with the
    expected run time if there are none and the caller has declared one. Both are
    corrected by the speed of the worker.
    """
    usual_s = progress.predict_by_siblings_s(region, job, run.worker_id)
    if usual_s:
        usual_s /= region.get_speed(run.worker_id)
        usual_s *= neighbours.measure_slowdown(region, worker, run, now)
    if not usual_s and job.submission.estimate_s > 0:
        usual_s = run.expected_s
    slowness = measured_s / usual_s if usual_s else 1.0
    slowness = long_tails.bound_slowness(region, job, slowness)
    health.record_success(worker.health, slowness, now)
