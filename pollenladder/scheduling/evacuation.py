"""Apply evacuations of data centres to the workers and jobs of an owner.

Workers of an evacuated data centre get no new runs; their active runs end by
themselves. If a group has no other workers for a service, the jobs of that
service that have not begun are refused, so that their gateways send them to
other groups. Jobs that have begun may start their remaining tasks for a short
time and are then given up.
"""

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import candidates
from pollenladder.scheduling import intake
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import placement
from pollenladder.scheduling import tables


def apply(region: tables.Region, now: float) -> None:
    """Apply a changed set of evacuated data centres."""
    mark_workers(region)
    end_unservable_jobs(region, now)
    _refuse_unplaceable_jobs(region, now)
    placement.place(region, now)


def mark_workers(region: tables.Region) -> None:
    """Mark the workers of evacuated data centres, and their services."""
    evacuated = frozenset(region.evacuations.known.data_centres)
    usable = set()
    unusable = set()
    for worker in region.workers.values():
        is_evacuated = worker.listing.data_centre in evacuated
        if is_evacuated != worker.is_evacuated:
            worker.is_evacuated = is_evacuated
            region.record_worker_change(worker)
            # Forecasts contain the slots of the worker.
            region.start_forecasts.clear()
        if worker.is_listed:
            services = unusable if is_evacuated else usable
            services.add(worker.listing.service)
    region.evacuated_services = frozenset(unusable - usable)


def end_unservable_jobs(region: tables.Region, now: float) -> None:
    """End the jobs that have no workers left because of evacuations.

    A job that may have begun under an earlier owner is kept while workers may
    still have its runs.
    """
    if not region.evacuated_services:
        return
    for job_id in list(region.waiting):
        job = region.jobs.get(job_id)
        if job is None:
            continue
        if job.submission.service not in region.evacuated_services:
            continue
        if not job.has_begun and not job.submission.may_have_begun:
            _refuse(region, job, jobs.Reason.NO_WORKERS, now)
        elif not candidates.may_finish(region, now) and all(
            now >= task.not_before for task in job.list_waiting_tasks()
        ):
            outcome = jobs.Outcome.GIVEN_UP
            _end(region, job, outcome, jobs.Reason.NO_WORKERS, now)


def _refuse_unplaceable_jobs(region: tables.Region, now: float) -> None:
    """Refuse waiting jobs that only evacuated workers were suitable for."""
    if not region.evacuations.known.data_centres:
        return
    for job_id in list(region.waiting):
        job = region.jobs[job_id]
        if job.has_begun or job.submission.may_have_begun:
            continue
        reason = intake.find_permanent_obstacle(region, job)
        if reason is not None:
            _refuse(region, job, reason, now)


def _refuse(
    region: tables.Region, job: tables.Job, reason: jobs.Reason, now: float
) -> None:
    """Refuse an admitted job that has not begun."""
    job_ends.record_refusal(region, job)
    _end(region, job, jobs.Outcome.REFUSED, reason, now)


def _end(
    region: tables.Region,
    job: tables.Job,
    outcome: jobs.Outcome,
    reason: jobs.Reason,
    now: float,
) -> None:
    # An evacuation is no overload, so the job does not count as late there.
    job.had_to_wait = False
    retry_after_s = job_ends.MAX_RETRY_AFTER_S
    job_ends.end_job(region, job, outcome, reason, now, retry_after_s)
