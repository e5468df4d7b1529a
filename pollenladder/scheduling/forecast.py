"""Foretell when the tasks of a job could start and end.

Answers admission at the worst load: a job that cannot be served in time is told
so when it arrives, not after it has waited.
"""

import heapq

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import placement
from pollenladder.scheduling import progress
from pollenladder.scheduling import tables

NEVER_S = 1e9


def predict_wait_s(region: tables.Region, job: tables.Job, now: float) -> float:
    """Return when the last task of a job could start, in seconds from now.

    Waiting jobs that are more urgent go first. Workers count as places of the
    size of the job's own tasks.
    """
    places = _list_places(region, job, now)
    if not places:
        return NEVER_S
    heapq.heapify(places)
    urgency = placement.get_urgency(job)
    for other in placement.sort_waiting(region):
        if other is job or placement.get_urgency(other) > urgency:
            continue
        if other.submission.service != job.submission.service:
            continue
        for _ in other.list_waiting():
            heapq.heapreplace(places, places[0] + other.expected_s)
    wait_s = 0.0
    for _ in job.list_waiting():
        wait_s = places[0]
        heapq.heapreplace(places, places[0] + job.expected_s)
    return wait_s


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
