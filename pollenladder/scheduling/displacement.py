"""Remove waiting jobs that can no longer start in time.

In a burst, jobs that arrive later and are more urgent push back jobs that were
admitted before. At the latest start of such a job, no other group could serve it in
time either. A job that has not begun is therefore refused as soon as the forecast
shows that it was displaced, so that its gateway can ask a group that has room.
"""

import heapq

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import admission
from pollenladder.scheduling import deferral
from pollenladder.scheduling import forecast
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# A job is displaced if it is forecast to start later than this, as a share of its
# run time, at admission pressure 0 and 1. Without overload, a forecast improves
# as often as not; under overload, a job without a margin takes capacity from jobs
# that can be in time.
RELAXED_LATENESS = 0.5
STRICT_LATENESS = -0.25
# Pressure from which the strict limit applies.
FULL_PRESSURE = 0.5
# Most forecasts that are checked in one step, of the jobs with the least time left.
MAX_CHECKS = 64


def remove_late_jobs(region: tables.Region, now: float) -> None:
    """Refuse the waiting jobs that cannot start in time."""
    if not region.waiting:
        return
    waiting = [region.jobs[job_id] for job_id in region.waiting]
    overdue = [job for job in waiting if _is_overdue(region, job, now)]
    for job in overdue:
        if not _may_still_complete(job, now):
            wait_s = forecast.forecast_wait_s(region, job, now)
            _refuse(region, job, wait_s, now)
    if region.is_awaiting_worker_list(now):
        return
    candidates = [
        job
        for job in waiting
        if not _is_overdue(region, job, now) and _may_be_displaced(region, job)
    ]
    # The latest start of deferred jobs has passed, so they would come first.
    for job in heapq.nsmallest(
        MAX_CHECKS,
        candidates,
        key=lambda job: (job.is_deferred, job.latest_start_at),
    ):
        if job.is_deferred:
            _check_deferred(region, job, now)
        else:
            _check_displacement(region, job, now)


def _is_overdue(region: tables.Region, job: tables.Job, now: float) -> bool:
    latest_start_at = job.latest_start_at
    if job.is_deferred:
        latest_start_at = deferral.get_latest_start(region, job)
    return not job.has_begun and now > latest_start_at


def _may_still_complete(job: tables.Job, now: float) -> bool:
    """Return whether a job that may have begun elsewhere goes on waiting.

    It is given up once less than its expected run time is left before the
    deadline.
    """
    may_have_begun = job.submission.may_have_begun
    return may_have_begun and now < job.deadline_at - job.expected_s


def _may_be_displaced(region: tables.Region, job: tables.Job) -> bool:
    """Return whether no task of a job has a run, here or under another owner."""
    return not (
        job.has_begun
        or job.submission.may_have_begun
        or runs.has_runs(region, job.submission.job_id)
    )


def _check_deferred(region: tables.Region, job: tables.Job, now: float) -> None:
    """Refuse a deferred job once its result would come too late."""
    wait_s = forecast.forecast_wait_s(region, job, now)
    if forecast.NEVER_S > wait_s > deferral.get_latest_start(region, job) - now:
        _refuse(region, job, wait_s, now)


def _choose_max_lateness(region: tables.Region) -> float:
    strictness = min(1.0, region.admission.pressure / FULL_PRESSURE)
    return RELAXED_LATENESS + strictness * (STRICT_LATENESS - RELAXED_LATENESS)


def _check_displacement(
    region: tables.Region, job: tables.Job, now: float
) -> None:
    wait_s = forecast.forecast_wait_s(region, job, now)
    lateness = forecast.compute_lateness(job, wait_s, now)
    # Without any slot, the workers may be back before the latest start.
    if wait_s >= forecast.NEVER_S or lateness <= _choose_max_lateness(region):
        return
    region.log_event(
        "job_displaced",
        job=job.submission.job_id,
        queue=job.submission.queue,
        wait_s=round(wait_s, 4),
        left_s=round(job.latest_start_at - now, 4),
    )
    region.count("displaced")
    if not _defer(region, job, now):
        _refuse(region, job, wait_s, now)


def _defer(region: tables.Region, job: tables.Job, now: float) -> bool:
    """Defer a displaced job if that is worthwhile; return whether it was."""
    if not deferral.may_be_deferred(job):
        return False
    forecast.remove_job(region, job)
    job.is_deferred = True
    wait_s = forecast.forecast_wait_s(region, job, now)
    if not deferral.is_worthwhile(region, job, wait_s, now):
        job.is_deferred = False
        return False
    forecast.add_admitted_job(region, job, now)
    admission.record_late(region.admission)
    deferral.record(region, job, wait_s, now)
    return True


def _refuse(
    region: tables.Region, job: tables.Job, wait_s: float, now: float
) -> None:
    """Refuse an admitted job that has not begun here.

    A job that may have begun elsewhere is given up instead.
    """
    outcome = jobs.Outcome.REFUSED
    if job.submission.may_have_begun:
        outcome = jobs.Outcome.GIVEN_UP
    forecast.remove_job(region, job)
    job_ends.end_job(
        region,
        job,
        outcome,
        jobs.Reason.WAITED_TOO_LONG,
        now,
        job_ends.bound_retry_after(wait_s),
    )
    if outcome is jobs.Outcome.REFUSED:
        job_ends.record_refusal(region, job)
