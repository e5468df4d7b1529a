"""Serve jobs late that cannot be in time, instead of refusing them.

In a burst of a few seconds, a refused caller cannot come back within its deadline,
as Retry-After is in whole seconds. A response that is late but before the deadline
serves it better. A job that cannot be in time may therefore be deferred: it waits
behind all jobs that can be in time, and starts as a whole on capacity that these
leave. It is refused at once if it would probably end too late to be worth anything.
"""

from pollenladder.scheduling import tables

# A result later than this multiple of the time until the objective is worthless.
LATE_FACTOR = 3.0
# The forecast wait of a deferred job is multiplied by this, for jobs that arrive
# meanwhile and start before it.
WAIT_FACTOR = 2.0
# A deferred job must end in time for its caller even if its tasks run this multiple
# of their expected run time. Declared run times are wrong by a log-normal factor
# with sigma 0.4, so that five of six tasks run shorter.
RUN_MARGIN = 1.5
# Longest expected run time of deferred tasks, in seconds. Longer ones would occupy
# capacity that jobs with a short objective need meanwhile.
MAX_RUN_S = 0.3
# Admission pressure from which the limits below apply in full.
FULL_PRESSURE = 0.5
MIN_STRICTNESS = 0.01
# Longest time from its submission for which a job waits as a deferred one, in
# seconds; at half of `FULL_PRESSURE` twice as long. In an overload that lasts, the job
# would be refused after all, and its caller should know soon.
MAX_WAIT_S = 0.32
# Share of the capacity that must stay free when a deferred job starts, for jobs
# that arrive while it runs. At half of `FULL_PRESSURE` it is half as much, as fewer
# jobs have to wait.
RESERVE_SHARE = 0.15


def get_latest_start(region: tables.Region, job: tables.Job) -> float:
    """Return until when a deferred job waits for its start; monotonic."""
    strictness = max(MIN_STRICTNESS, _get_strictness(region))
    allowed_s = job.objective_at - job.submitted_at
    limit = min(job.deadline_at, job.submitted_at + LATE_FACTOR * allowed_s)
    return min(
        limit - RUN_MARGIN * job.expected_s - tables.OVERHEAD_S,
        job.submitted_at + MAX_WAIT_S / strictness,
    )


def _get_strictness(region: tables.Region) -> float:
    """Return how far the limits of overload apply, 0 to 1."""
    return min(1.0, region.admission.pressure / FULL_PRESSURE)


def may_be_deferred(job: tables.Job) -> bool:
    """Return whether a job may be served late.

    The gateway allows it once no group reports room, and from the start in a region
    of one group.
    """
    return job.submission.may_be_late and job.expected_s <= MAX_RUN_S


def is_worthwhile(
    region: tables.Region, job: tables.Job, wait_s: float, now: float
) -> bool:
    """Return whether a job probably ends early enough to be worth something.

    Args:
        region: The region.
        job: The job.
        wait_s: Forecast time until its last task starts behind all other jobs,
            in seconds.
        now: Monotonic time in seconds.
    """
    return now + WAIT_FACTOR * wait_s <= get_latest_start(region, job)


def has_spare_capacity(region: tables.Region, job: tables.Job) -> bool:
    """Return whether enough CPU stays free if all tasks of a job start now."""
    service = job.submission.service
    free_milli, capacity_milli = region.free_capacity.get_totals(service)
    needed_milli = len(job.tasks) * job.resources.cpu_milli
    reserve_milli = RESERVE_SHARE * _get_strictness(region) * capacity_milli
    return free_milli - needed_milli >= reserve_milli


def record(
    region: tables.Region, job: tables.Job, wait_s: float, now: float
) -> None:
    """Log and count that a job is deferred."""
    region.log_event(
        "job_deferred",
        job=job.submission.job_id,
        queue=job.submission.queue,
        wait_s=round(wait_s, 4),
        latest_start_s=round(get_latest_start(region, job) - now, 4),
    )
    region.count("deferred")
