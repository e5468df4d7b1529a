"""Find the workers that may be given a task now."""

from collections.abc import Iterator

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.fleet import warmup
from pollenladder.scheduling import exposure
from pollenladder.scheduling import tables


def iterate_fitting(
    region: tables.Region, job: tables.Job, now: float
) -> Iterator[fleet.Worker]:
    """Yield the available workers that fit a task, the least free CPU first."""
    for worker_id in region.free_capacity.iterate_with_cpu(
        job.submission.service, job.resources.cpu_milli
    ):
        worker = region.workers[worker_id]
        if is_candidate(region, job, worker, now):
            yield worker
    if may_use_evacuated(region, job):
        yield from _list_finishing(region, job, now)


def is_candidate(
    region: tables.Region, job: tables.Job, worker: fleet.Worker, now: float
) -> bool:
    """Return whether a task of a job may start on a worker now."""
    return (
        job.resources.fits_in(warmup.compute_free(worker, now))
        and is_available(worker, now)
        and is_allowed(region, job.submission.allowed_regions, worker)
        and exposure.permits(region, job.submission, worker, now)
    )


def may_use_evacuated(region: tables.Region, job: tables.Job) -> bool:
    """Return whether a job may be finished on evacuated workers for a time."""
    return job.has_begun and job.submission.service in region.evacuated_services


def _list_finishing(
    region: tables.Region, job: tables.Job, now: float
) -> list[fleet.Worker]:
    """Return the evacuated workers on which a job's tasks may still start.

    These are the ones that fit a task, sorted by their free CPU.
    """
    finish_until = region.evacuations.finish_until
    found = [
        worker
        for worker in region.workers.values()
        if worker.is_evacuated
        and now < finish_until.get(worker.listing.data_centre, 0.0)
        and worker.listing.service == job.submission.service
        and job.resources.fits_in(worker.free)
        and is_allowed(region, job.submission.allowed_regions, worker)
        and not worker.isolated_task
        and can_run(worker, now)
    ]
    found.sort(key=lambda worker: worker.free.cpu_milli)
    return found


def may_finish(region: tables.Region, now: float) -> bool:
    """Return whether begun jobs may still start tasks on evacuated workers."""
    finish_until = region.evacuations.finish_until
    return any(now < until for until in finish_until.values())


def is_allowed(
    region: tables.Region, allowed: tuple[str, ...], worker: fleet.Worker
) -> bool:
    """Return whether a worker is in one of the allowed regions."""
    return not allowed or region.regions.allow(
        allowed, worker.listing.data_centre
    )


def is_available(worker: fleet.Worker, now: float) -> bool:
    """Return whether a worker may be given a run now."""
    return not worker.has_foreign_runs() and is_usable(worker, now)


def is_usable(worker: fleet.Worker, now: float) -> bool:
    """Return whether a worker may be given a run once all of its runs are claimed."""
    return (
        not worker.is_evacuated
        and not worker.isolated_task
        and _is_ready(worker, now)
    )


def can_run(worker: fleet.Worker, now: float) -> bool:
    """Return whether a worker may run a task, evacuated or not.

    A start extends the leases of all runs, which must not be extended while one of
    them is unclaimed. The resources of such a run are not known, either.
    """
    return not worker.has_foreign_runs() and _is_ready(worker, now)


def _is_ready(worker: fleet.Worker, now: float) -> bool:
    return (
        worker.is_listed
        and worker.is_synced
        and worker.is_reachable
        and not worker.listing.is_draining
        and now >= worker.busy_until
        and health.can_accept_run(worker, now)
    )
