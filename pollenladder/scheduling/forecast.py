"""Foretell when the tasks of a job could start and end.

Answers admission at the worst load: a job that cannot be served in time is told
so when it arrives, not after it has waited.
"""

import heapq

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import outlooks
from pollenladder.scheduling import placement
from pollenladder.scheduling import progress
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

NEVER_S = 1e9
MIN_RUN_S = 0.001
# A worker that a new owner has just begun to look at is seen within this time.
FIRST_LOOK_S = 0.03


# What is foretold is kept for so long a worker of the region, at most so long.
FRESH_S_PER_WORKER = 0.0002
MAX_FRESH_S = 0.05


def foretell_wait_s(
    region: tables.Region, job: tables.Job, now: float
) -> float:
    """Return when the last waiting task of a job could start, from now.

    All that waits and may start is put on the places of the usable workers in
    the order in which it is served. The job need not be among it.

    Returns:
        Seconds; `NEVER_S` if there is no place.
    """
    tasks = len(job.list_waiting())
    if not region.waiting and _has_room_now(region, job, tasks, now):
        return 0.0
    outlook = _find_outlook(region, job, now)
    at = outlook.find_last_start(
        placement.get_urgency(job), tasks, job.expected_s
    )
    return NEVER_S if at is None else max(0.0, at - now)


def measure_excess(job: tables.Job, wait_s: float, now: float) -> float:
    """Return by how much a job that starts after a wait is too late.

    Returns:
        A part of its run time; not positive if it would be in time.
    """
    run_s = max(job.expected_s, MIN_RUN_S)
    return (now + wait_s - job.latest_start_at) / run_s


def record_admitted(region: tables.Region, job: tables.Job, now: float) -> None:
    """Let a job that was just admitted count in what is foretold."""
    for (service, _), outlook in region.start_forecasts.items():
        if service == job.submission.service:
            _add_job(region, outlook, job, now)


def _find_outlook(
    region: tables.Region, job: tables.Job, now: float
) -> outlooks.Outlook:
    """Return the outlook for tasks of a job's size, worked out lately."""
    service = job.submission.service
    sizes = region.capacities.get(service, ())
    key = (service, tuple(size.count(job.resources) for size in sizes))
    _forget_old_outlooks(region, now)
    outlook = region.start_forecasts.get(key)
    if outlook is None:
        outlook = _build_outlook(region, job, now)
        region.start_forecasts[key] = outlook
    return outlook


def _forget_old_outlooks(region: tables.Region, now: float) -> None:
    fresh_s = min(MAX_FRESH_S, FRESH_S_PER_WORKER * len(region.workers))
    old = [
        key
        for key, outlook in region.start_forecasts.items()
        if not 0.0 <= now - outlook.made_at <= fresh_s
    ]
    for key in old:
        del region.start_forecasts[key]


def _build_outlook(
    region: tables.Region, job: tables.Job, now: float
) -> outlooks.Outlook:
    """Put all waiting tasks of a service on places for tasks of one size."""
    places = [now + wait_s for wait_s in _list_slots(region, job, now)]
    heapq.heapify(places)
    outlook = outlooks.Outlook(now, [], [0], [], places)
    for waiting in placement.sort_waiting(region):
        if waiting.submission.service == job.submission.service:
            _add_job(region, outlook, waiting, now)
    return outlook


def _add_job(
    region: tables.Region,
    outlook: outlooks.Outlook,
    job: tables.Job,
    now: float,
) -> None:
    """Put in the tasks of a job that may start; the others take no place yet."""
    waiting = job.list_waiting()
    tasks = len(waiting)
    held_back = sum(now < task.not_before for task in waiting)
    if held_back and not runs.knows_all_runs(region, now):
        tasks -= held_back
    if tasks:
        urgency = placement.get_urgency(job)
        outlook.add_job(urgency, tasks, job.expected_s)


def _has_room_now(
    region: tables.Region, job: tables.Job, tasks: int, now: float
) -> bool:
    """Return whether so many tasks of a job have room at once."""
    missing = tasks
    for worker in placement.list_with_room(region, job, now):
        missing -= worker.free.count(job.resources)
        if missing <= 0:
            return True
    return False


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


def _list_slots(
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
        and not worker.missed_polls
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
