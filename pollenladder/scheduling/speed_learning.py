"""Learn the speeds of workers from completed jobs.

Each run is compared with the runs of the same job on other workers, after the
job is complete. A comparison at the end of each run would be biased, because
the runs that have completed by then are the fast ones.
"""

import math
import statistics

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.fleet import speeds
from pollenladder.jobs import estimates
from pollenladder.scheduling import tables

# Number of recorded jobs after which speeds are centred again.
CENTRE_INTERVAL_JOBS = 64


def record_job(region: tables.Region, job: tables.Job) -> None:
    """Update the speeds of the workers that ran the tasks of a job.

    A worker whose runs show that it has become slow is left to `health`.
    """
    if not region.features.speeds or not job.is_complete():
        return
    measured = [task for task in job.tasks if task.took_s > 0]
    works = {
        task.index: math.log(task.took_s) + _get_log_speed(region, task)
        for task in measured
    }
    observations = []
    for task in measured:
        siblings = [
            works[other.index]
            for other in measured
            if other.worker_id != task.worker_id
        ]
        work, weight = _choose_reference(job, siblings)
        observations.append((task, work - math.log(task.took_s), weight))
    for task, log_speed, weight in observations:
        worker = region.workers.get(task.worker_id)
        if worker is None or _is_slow(worker.health.slowness):
            continue
        speeds.record_run(worker.speed, log_speed, weight)
    region.jobs_until_centred -= 1
    if region.jobs_until_centred <= 0:
        region.jobs_until_centred = CENTRE_INTERVAL_JOBS
        _centre_services(region)


def record_duration(
    region: tables.Region,
    job: tables.Job,
    run: fleet.Run,
    measured_s: float,
) -> None:
    """Update the expected run times of a queue with a completed run."""
    submission = job.submission
    work_s = measured_s * region.get_speed(run.worker_id)
    declared_s = submission.estimate_s
    estimates.record_run(region.estimates, submission.queue, declared_s, work_s)
    if region.features.speeds:
        estimates.record_duration(
            region.estimates, submission.queue, declared_s, work_s
        )


def _get_log_speed(region: tables.Region, task: tables.Task) -> float:
    worker = region.workers.get(task.worker_id)
    return worker.speed.log_speed if worker else 0.0


def _is_slow(slowness: float) -> bool:
    return slowness >= health.SLOWNESS_THRESHOLD


def _choose_reference(
    job: tables.Job, siblings: list[float]
) -> tuple[float, float]:
    """Return the logarithm of a task's work, and the weight of the comparison.

    A comparison with n siblings has a variance in proportion to 1 + 1/n. Without
    siblings and without a declared run time, there is nothing to compare with.
    """
    if siblings:
        count = len(siblings)
        return statistics.median(siblings), count / (count + 1)
    if job.submission.estimate_s <= 0:
        return 0.0, 0.0
    return math.log(job.expected_s), speeds.DECLARED_WEIGHT


def _centre_services(region: tables.Region) -> None:
    by_service: dict[str, list] = {}
    for worker in region.workers.values():
        by_service.setdefault(worker.listing.service, []).append(worker.speed)
    for group in by_service.values():
        speeds.centre(group)
    _report_changes(region)
    region.fastest_speed = max(
        (region.get_speed(worker_id) for worker_id in region.workers),
        default=1.0,
    )


def _report_changes(region: tables.Region) -> None:
    """Log the speeds that differ by more than the dead band from before."""
    for worker_id, worker in region.workers.items():
        speed = region.get_speed(worker_id)
        before = worker.speed.reported
        if abs(math.log(speed / before)) > speeds.DEAD_BAND:
            worker.speed.reported = speed
            region.log_event(
                "worker_speed_changed",
                worker=worker_id,
                speed=round(speed, 2),
                before=round(before, 2),
            )
