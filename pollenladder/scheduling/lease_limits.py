"""Limit the lease of a worker's runs by when their gateways were last heard.

One lease applies to all runs on a worker and never shortens. If the owner dies or is
suspended, or if a stop order gets no reply, a run ends with the lease. It may then have
to be over, as its caller has submitted the job again to an owner that does not know
of the run. The lease therefore ends soon after the last contact with the gateways of
each run. It is renewed with each poll, so this shortens it only while a gateway is
silent or a stop is unconfirmed.

A new owner does not extend the leases of runs that no job has claimed yet. The owner
that has granted them may be active still, on the other side of a network partition, and
start their tasks elsewhere once the leases that it has granted have expired.
"""

from collections.abc import Iterable
import math

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempts
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# Margin for the time that messages and orders take to arrive.
ARRIVAL_S = 0.05
# Time that a run goes on at least after the lease of its attempt has expired, so that it
# is stopped before the other runs on its worker end with it.
STOP_TIME_S = 0.25


def choose_limit_s(resubmission_s: float, attempt_lease_s: float) -> float:
    """Return for how long runs go on after the last contact with a gateway.

    Args:
        resubmission_s: Time after which a caller submits its job again.
        attempt_lease_s: The length of an attempt's lease; see `attempt_leases`.
    """
    latest_s = resubmission_s / (1 + runs.MAX_CLOCK_DRIFT) - ARRIVAL_S
    return max(latest_s, attempt_lease_s + STOP_TIME_S)


def find_limit(
    region: tables.Region, waiting: Iterable[attempts.Attempt]
) -> float:
    """Return until when runs may go on for the attempts that wait for their job.

    What is heard from a gateway after a change of its link may come from another
    process, which does not know the attempt, so it counts once that has forwarded
    the attempt again.
    """
    heard_at = region.gateways_heard_at
    latest = max(
        (
            min(
                heard_at.get(attempt.gateway_id, math.inf),
                attempt.unconfirmed_since,
            )
            for attempt in waiting
        ),
        default=math.inf,
    )
    return latest + region.run_limit_s


def choose_expiry(
    region: tables.Region, worker: fleet.Worker, now: float
) -> float | None:
    """Return until when a worker's runs get a lease; monotonic, in seconds.

    Returns:
        None if the leases must not be extended.
    """
    if worker.has_foreign_runs():
        return None
    expiry = now + region.max_lease_s
    for run in worker.runs.values():
        expiry = min(expiry, _find_run_limit(region, run))
    return expiry


def _find_run_limit(region: tables.Region, run: fleet.Run) -> float:
    if math.isfinite(run.ends_by):
        return run.ends_by
    job = region.jobs.get(jobs.parse_job_id(run.task))
    if job is not None:
        return find_limit(region, job.attempts.values())
    return math.inf
