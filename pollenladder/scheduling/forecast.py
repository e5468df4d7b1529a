"""Forecast when the tasks of a job can start.

Admission uses the forecast under overload. A job that cannot be served in time
is refused on arrival, instead of after a wait.
"""

import heapq

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import warmup
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import candidates
from pollenladder.scheduling import exposure
from pollenladder.scheduling import placement
from pollenladder.scheduling import progress
from pollenladder.scheduling import start_forecasts
from pollenladder.scheduling import tables
from pollenladder.scheduling import unknown_runs

# Forecast wait if there is no slot at all.
NEVER_S = 1e9
# Avoids a division by an expected run time of zero.
MIN_RUN_S = 0.001
# Time that a new owner is assumed to need for the first poll of a worker.
FIRST_POLL_S = 0.03
# Time that gateways are assumed to need to claim the runs that a new owner has found.
CLAIM_S = 0.1
# The time for which a forecast is reused is the product of this and the number
# of the region's workers, but at most `MAX_FORECAST_AGE_S`.
FORECAST_AGE_S_PER_WORKER = 0.0002
MAX_FORECAST_AGE_S = 0.05


def forecast_wait_s(
    region: tables.Region, job: tables.Job, now: float
) -> float:
    """Return the time until the last waiting task of a job is forecast to start.

    All waiting tasks that may start are assigned to the slots of the available
    workers by urgency. The job itself need not be among the waiting jobs.

    Returns:
        Seconds; `NEVER_S` if there is no slot.
    """
    tasks = len(job.list_waiting_tasks())
    if not region.waiting and _has_capacity_now(region, job, tasks, now):
        return 0.0
    forecast = _get_forecast(region, job, now)
    at = forecast.find_last_start(
        placement.get_urgency(job), tasks, job.expected_s
    )
    return NEVER_S if at is None else max(0.0, at - now)


def can_start_at_once(
    region: tables.Region, job: tables.Job, now: float
) -> bool:
    """Return whether workers have room now for all waiting tasks of a job.

    Jobs that wait do not matter: what is still free is too little for them.
    """
    if region.is_awaiting_worker_list(now):
        return False
    tasks = len(job.list_waiting_tasks())
    return _has_capacity_now(region, job, tasks, now)


def compute_lateness(job: tables.Job, wait_s: float, now: float) -> float:
    """Return how late a job is if its last task starts after `wait_s` seconds.

    Returns:
        Lateness divided by the expected run time of a task; zero or negative if
        the job is in time.
    """
    run_s = max(job.expected_s, MIN_RUN_S)
    return (now + wait_s - job.latest_start_at) / run_s


def add_admitted_job(
    region: tables.Region, job: tables.Job, now: float
) -> None:
    """Add a newly admitted job to the current forecasts of its service."""
    for (service, *_), forecast in region.start_forecasts.items():
        if service == job.submission.service:
            _add_job(region, forecast, job, now)


def remove_job(region: tables.Region, job: tables.Job) -> None:
    """Remove a job that leaves the queue from the current forecasts."""
    urgency = placement.get_urgency(job)
    tasks = len(job.list_waiting_tasks())
    for (service, *_), forecast in region.start_forecasts.items():
        if service == job.submission.service:
            forecast.remove_job(urgency, tasks)


def _get_forecast(
    region: tables.Region, job: tables.Job, now: float
) -> start_forecasts.StartForecast:
    """Return a current forecast for tasks of a job's size.

    Two task sizes share a forecast if equally many tasks of either size fit on
    an idle worker, for each capacity that workers of the service have. Jobs with
    other allowed regions, and those of a queue that may not use all workers, have
    forecasts of their own, which contain all waiting jobs and may thus be too late.
    """
    service = job.submission.service
    sizes = region.capacities.get(service, ())
    counts = tuple(size.count_fitting(job.resources) for size in sizes)
    limited = exposure.get_limited_queue(region, job.submission, now)
    key = (service, counts, job.submission.allowed_regions, limited)
    _delete_old_forecasts(region, now)
    forecast = region.start_forecasts.get(key)
    if forecast is None:
        forecast = _build_forecast(region, job, now)
        region.start_forecasts[key] = forecast
    return forecast


def _delete_old_forecasts(region: tables.Region, now: float) -> None:
    max_age_s = min(
        MAX_FORECAST_AGE_S, FORECAST_AGE_S_PER_WORKER * len(region.workers)
    )
    old = [
        key
        for key, forecast in region.start_forecasts.items()
        if not 0.0 <= now - forecast.created_at <= max_age_s
    ]
    for key in old:
        del region.start_forecasts[key]


def _build_forecast(
    region: tables.Region, job: tables.Job, now: float
) -> start_forecasts.StartForecast:
    """Assign all waiting tasks of a service to slots of one task size."""
    slot_times = [now + wait_s for wait_s in _list_slots(region, job, now)]
    heapq.heapify(slot_times)
    forecast = start_forecasts.StartForecast(now, [], [0], [], slot_times)
    for waiting in placement.sort_waiting(region):
        if waiting.submission.service == job.submission.service:
            _add_job(region, forecast, waiting, now)
    return forecast


def _add_job(
    region: tables.Region,
    forecast: start_forecasts.StartForecast,
    job: tables.Job,
    now: float,
) -> None:
    """Add a job's waiting tasks to a forecast.

    Tasks that another owner may still be running are not added, because they
    may not start yet.
    """
    waiting = job.list_waiting_tasks()
    tasks = len(waiting)
    held_back = sum(now < task.not_before for task in waiting)
    if held_back and (
        unknown_runs.may_have_unknown_runs(region, job)
        or not unknown_runs.knows_all_runs(region, now)
    ):
        tasks -= held_back
    if tasks:
        urgency = placement.get_urgency(job)
        forecast.add_job(urgency, tasks, job.expected_s)


def _has_capacity_now(
    region: tables.Region, job: tables.Job, tasks: int, now: float
) -> bool:
    """Return whether `tasks` tasks of a job can start at once."""
    missing = tasks
    for worker in candidates.iterate_fitting(region, job, now):
        free = warmup.compute_free(worker, now)
        missing -= free.count_fitting(job.resources)
        if missing <= 0:
            return True
    return False


def can_ever_fit(
    region: tables.Region,
    service: str,
    needed: jobs.Resources,
    allowed: tuple[str, ...] = (),
) -> bool:
    """Return whether the capacity of any listed worker suffices for a task.

    Evacuated workers and those outside the allowed regions do not count.
    """
    return any(
        worker.listing.service == service
        and needed.fits_in(worker.listing.capacity)
        for worker in region.workers.values()
        if worker.is_listed
        and not worker.is_evacuated
        and candidates.is_allowed(region, allowed, worker)
    )


def count_slots(
    region: tables.Region,
    service: str,
    needed: jobs.Resources,
    enough: int,
    allowed: tuple[str, ...] = (),
) -> int:
    """Return how many tasks of one size fit on all listed workers when idle.

    Evacuated workers do not count.

    Args:
        region: The region.
        service: The service whose workers are counted.
        needed: Resources that a task needs.
        enough: Counting stops at this number.
        allowed: The regions whose workers count; empty for all.
    """
    count = 0
    for worker in region.workers.values():
        if (
            worker.is_listed
            and not worker.is_evacuated
            and worker.listing.service == service
            and candidates.is_allowed(region, allowed, worker)
        ):
            count += worker.listing.capacity.count_fitting(needed)
        if count >= enough:
            break
    return count


def _list_slots(
    region: tables.Region, job: tables.Job, now: float
) -> list[float]:
    """Return the time until each slot is free, in seconds."""
    slots: list[float] = []
    for worker in region.workers.values():
        if worker.listing.service != job.submission.service:
            continue
        allowed = job.submission.allowed_regions
        if not candidates.is_allowed(region, allowed, worker):
            continue
        if not exposure.permits(region, job.submission, worker, now):
            continue
        if candidates.is_usable(worker, now):
            slots += _list_worker_slots(region, worker, job.resources, now)
        elif _is_awaiting_first_poll(worker):
            count = worker.listing.capacity.count_fitting(job.resources)
            slots += [FIRST_POLL_S] * count
    return slots


def _is_awaiting_first_poll(worker: fleet.Worker) -> bool:
    """Return whether the first poll of a worker is in progress."""
    return (
        worker.is_listed
        and not worker.listing.is_draining
        and not worker.is_evacuated
        and not worker.is_synced
        and not worker.missed_polls
    )


def _list_worker_slots(
    region: tables.Region,
    worker: fleet.Worker,
    needed: jobs.Resources,
    now: float,
) -> list[float]:
    """Return the time until each slot of one worker is free, in seconds.

    Some slots are free now; others become free when the worker's runs end. A
    cold worker offers the rest once it is warm.
    """
    free = warmup.compute_free(worker, now)
    slots = [0.0] * free.count_fitting(needed)
    for end in _predict_ends(region, worker):
        free = free.add(end.resources)
        gained = free.count_fitting(needed) - len(slots)
        if gained:
            slots += [max(end.at - now, end.min_remaining_s)] * gained
    if now < worker.warm_at:
        capacity = worker.listing.capacity
        held_back = capacity.count_fitting(needed) - len(slots)
        warm_s = max([worker.warm_at - now, *slots[-1:]])
        slots += [warm_s] * held_back
    if worker.has_foreign_runs():
        slots = [max(CLAIM_S, wait_s) for wait_s in slots]
    return slots


def _predict_ends(
    region: tables.Region, worker: fleet.Worker
) -> list[tables.PredictedEnd]:
    """Return the predicted ends of a worker's runs, the earliest first.

    They are cached until one of the runs changes.
    """
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
