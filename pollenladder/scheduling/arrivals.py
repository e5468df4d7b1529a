"""Decide whether a job that arrives is admitted.

Under overload, admission pressure asks for a margin, and from large jobs for more
of it. This must not leave workers idle: at the crest of a load wave, pressure is
still high when capacity is free again. A job whose tasks can all start at once is
therefore admitted whatever the pressure.
"""

import dataclasses

from pollenladder.scheduling import admission
from pollenladder.scheduling import deferral
from pollenladder.scheduling import forecast
from pollenladder.scheduling import tables

# A job is hopeless if its last task starts later than this multiple of the time that
# its caller waits. Forecasts are rough, as declared run times are.
HOPELESS_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """The decision on a job that arrives.

    Attributes:
        wait_s: Forecast time until its last task starts, in seconds.
        is_admitted: Whether the job is admitted, possibly as a deferred one.
    """

    wait_s: float
    is_admitted: bool


def decide(region: tables.Region, job: tables.Job, now: float) -> Decision:
    """Decide on a job, and update the state of admission control."""
    state = region.admission
    wait_s = 0.0
    has_room = forecast.can_start_at_once(region, job, now)
    if not has_room:
        wait_s = forecast.forecast_wait_s(region, job, now)
    job.had_to_wait = wait_s > 0.0
    if not job.had_to_wait:
        admission.record_in_time(state)
    queue = job.submission.queue
    work = _compute_work(job)
    limit = admission.choose_max_lateness(state, queue, work)
    if has_room:
        limit = max(limit, admission.RELAXED_LATENESS)
    if _is_hopeless(job, wait_s, now):
        return Decision(wait_s, is_admitted=False)
    lateness = forecast.compute_lateness(job, wait_s, now)
    # A job that may have begun is never refused as not run.
    is_admitted = lateness <= limit or job.submission.may_have_begun
    admission.record_decision(state, queue, work, is_admitted)
    if is_admitted or not deferral.may_be_deferred(job):
        return Decision(wait_s, is_admitted)
    return _decide_deferral(region, job, wait_s, now)


def _is_hopeless(job: tables.Job, wait_s: float, now: float) -> bool:
    """Return whether a job cannot end before its caller stops waiting.

    A job of many waves of tasks may be in time by its objective, which grows with the
    waves. A job that may have begun is never refused as not run.
    """
    if job.submission.may_have_begun:
        return False
    return wait_s > HOPELESS_FACTOR * (job.deadline_at - now)


def _decide_deferral(
    region: tables.Region, job: tables.Job, wait_s: float, now: float
) -> Decision:
    """Decide on a job that cannot be in time.

    Args:
        region: The region.
        job: The job. It is marked as deferred if it is admitted.
        wait_s: Forecast wait if it were not deferred.
        now: Monotonic time in seconds.
    """
    job.is_deferred = True
    deferred_wait_s = forecast.forecast_wait_s(region, job, now)
    if deferral.is_worthwhile(region, job, deferred_wait_s, now):
        return Decision(deferred_wait_s, is_admitted=True)
    job.is_deferred = False
    return Decision(wait_s, is_admitted=False)


def _compute_work(job: tables.Job) -> float:
    """Return the expected work of a job, in core-seconds."""
    cores = job.resources.cpu_milli / 1000
    return len(job.tasks) * job.expected_s * cores
