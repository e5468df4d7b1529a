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
# A worker that a new owner has just begun to look at is seen within this time.
FIRST_LOOK_S = 0.03


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
    if waiting == [model] and _has_room_now(region, model, now):
        excess = (now - model.latest_start_at) / _bound_run_s(model)
        return [Forecast(model, 0.0, excess)]
    places = _list_places(region, model, now)
    heapq.heapify(places)
    found = []
    for job in waiting:
        wait_s = _put(places, job)
        late_s = now + wait_s - job.latest_start_at
        excess = late_s / _bound_run_s(job)
        found.append(Forecast(job, wait_s, excess))
    return found


def _bound_run_s(job: tables.Job) -> float:
    return max(job.expected_s, MIN_RUN_S)


def _has_room_now(region: tables.Region, job: tables.Job, now: float) -> bool:
    """Return whether all tasks of a job that wait have room at once."""
    missing = len(job.list_waiting())
    for worker in placement.list_with_room(region, job, now):
        missing -= worker.free.count(job.resources)
        if missing <= 0:
            return True
    return False


def _put(places: list[float], job: tables.Job) -> float:
    """Put the waiting tasks of a job on places; return when the last starts.

    Args:
        places: A heap of when each place is free.
        job: The job.
    """
    if not places:
        return NEVER_S
    at = 0.0
    for _ in job.list_waiting():
        at = heapq.heapreplace(places, places[0] + job.expected_s)
    return at


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
    region: tables.Region, service: str, needed: jobs.Resources, enough: int
) -> int:
    """Return how many tasks of one size all listed workers hold together.

    Args:
        region: The tables.
        service: Whose workers.
        needed: What a task takes.
        enough: No more are counted once there are so many.
    """
    count = 0
    for worker in region.workers.values():
        if worker.is_listed and worker.listing.service == service:
            count += worker.listing.capacity.count(needed)
        if count >= enough:
            break
    return count


def _list_places(
    region: tables.Region, job: tables.Job, now: float
) -> list[float]:
    """Return after how long each place of the usable workers is free."""
    places: list[float] = []
    for worker in region.workers.values():
        if worker.listing.service != job.submission.service:
            continue
        if placement.is_usable(worker, now):
            places += _list_worker_places(region, worker, job.resources, now)
        elif _is_about_to_be_seen(worker):
            count = worker.listing.capacity.count(job.resources)
            places += [FIRST_LOOK_S] * count
    return places


def _is_about_to_be_seen(worker: fleet.Worker) -> bool:
    """Return whether the first look at a worker is on its way."""
    return (
        worker.is_listed
        and not worker.listing.is_draining
        and not worker.is_synced
        and not worker.missed_looks
    )


def _list_worker_places(
    region: tables.Region,
    worker: fleet.Worker,
    needed: jobs.Resources,
    now: float,
) -> list[float]:
    """Return after how long each place of one worker is free."""
    free = worker.free
    places = [0.0] * free.count(needed)
    for end in _predict_ends(region, worker):
        free = free.plus(end.resources)
        gained = free.count(needed) - len(places)
        if gained:
            places += [max(end.at - now, end.least_s)] * gained
    return places


def _predict_ends(
    region: tables.Region, worker: fleet.Worker
) -> list[tables.PredictedEnd]:
    """Return when the runs of a worker are expected to end, in order."""
    worker_id = worker.listing.worker_id
    found = region.predicted_ends.get(worker_id)
    if found is None:
        found = [
            tables.PredictedEnd(*progress.predict_end(run), run.resources)
            for run in worker.runs.values()
        ]
        found.sort(key=lambda end: end.at)
        region.predicted_ends[worker_id] = found
    return found
