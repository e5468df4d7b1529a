"""Foretell when the tasks of a job could start and end.

Answers admission at the worst load: a job that cannot be served in time is told
so when it arrives, not after it has waited.
"""

import dataclasses
import heapq

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import placement
from pollenladder.scheduling import progress
from pollenladder.scheduling import tables

NEVER_S = 1e9
MIN_RUN_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Forecast:
    """When a job could start.

    Attributes:
        job: The job.
        wait_s: When its last task could start, in seconds from now.
        excess: By how much it would then be too late to be in time, as a part
            of its run time; not positive if it would be in time.
    """

    job: tables.Job
    wait_s: float
    excess: float


def foretell(
    region: tables.Region, model: tables.Job, now: float
) -> list[Forecast]:
    """Foretell when each waiting job of a service could start.

    All are put on the places of the usable workers in the order in which they
    are served.

    Args:
        region: The tables.
        model: A job of the service; places are as large as its tasks.
        now: Monotonic time in seconds.
    """
    service = model.submission.service
    waiting = [
        job
        for job in placement.sort_waiting(region)
        if job.submission.service == service
    ]
    if not waiting:
        return []
    places = _list_places(region, model, now)
    heapq.heapify(places)
    found = []
    for job in waiting:
        wait_s, times = _try(places, job)
        late_s = now + wait_s - job.latest_start_at
        excess = late_s / max(job.expected_s, MIN_RUN_S)
        found.append(Forecast(job, wait_s, excess))
        for _ in times:
            heapq.heapreplace(places, places[0] + job.expected_s)
    return found


def _try(places: list[float], job: tables.Job) -> tuple[float, list[float]]:
    """Return when the last waiting task of a job could start, and all starts.

    Args:
        places: A heap of when each place is free.
        job: The job.
    """
    if not places:
        return NEVER_S, []
    count = len(job.list_waiting())
    if count == 1:
        return places[0], places[:1]
    times = heapq.nsmallest(count, places)
    while len(times) < count:
        times.append(times[len(times) - len(places)] + job.expected_s)
    return times[-1], times


def can_ever_fit(
    region: tables.Region, service: str, needed: jobs.Resources
) -> bool:
    """Return whether any listed worker is large enough for a task."""
    return any(
        worker.listing.service == service
        and needed.fits(worker.listing.capacity)
        for worker in region.workers.values()
        if worker.is_listed
    )


def count_room(
    region: tables.Region, service: str, needed: jobs.Resources
) -> int:
    """Return how many tasks of one size all listed workers hold together."""
    return sum(
        worker.listing.capacity.count(needed)
        for worker in region.workers.values()
        if worker.is_listed and worker.listing.service == service
    )


def _list_places(
    region: tables.Region, job: tables.Job, now: float
) -> list[float]:
    """Return after how long each place of the usable workers is free."""
    places: list[float] = []
    for worker in region.workers.values():
        if worker.listing.service != job.submission.service:
            continue
        if placement.is_usable(worker, now):
            places += _list_worker_places(worker, job.resources, now)
    return places


def _list_worker_places(
    worker: fleet.Worker, needed: jobs.Resources, now: float
) -> list[float]:
    """Return after how long each place of one worker is free."""
    free = worker.get_free()
    places = []
    while needed.fits(free):
        places.append(0.0)
        free = free.minus(needed)
    runs = sorted(
        worker.runs.values(), key=lambda run: progress.get_remaining_s(run, now)
    )
    for run in runs:
        free = free.plus(run.resources)
        while needed.fits(free):
            places.append(progress.get_remaining_s(run, now))
            free = free.minus(needed)
    return places
