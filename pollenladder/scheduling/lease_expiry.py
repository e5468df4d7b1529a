"""Find out whether every lease of a run on a lost worker has expired.

Another owner may know the run from its worker and extend its lease, but only once a
gateway has forwarded the run's job to it. The gateway first cancels the attempt at the
owner that had it before, over the link that carries its other messages. An owner that
still has an attempt, and has heard from its gateway after the leases that it has granted
have expired, was therefore the only one to extend them.
"""

import math

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import run_ends
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# A worker's clock is assumed to have drifted for at least this time.
MIN_DRIFT_TIME_S = 1.0


def prove_expired(
    region: tables.Region, worker: fleet.Worker, run: fleet.Run, now: float
) -> run_ends.Proof | None:
    """Return the proof that no lease of a run is left on a lost worker, or None."""
    expired_at = find_expiry(worker)
    if now <= expired_at:
        return None
    job = region.jobs.get(jobs.parse_job_id(run.task))
    if job is not None and not _has_stayed(region, job, expired_at):
        return None
    return run_ends.LEASE_EXPIRED


def find_expiry(worker: fleet.Worker) -> float:
    """Return when the leases known to this owner expire; monotonic, in seconds.

    The worker's clock may have been slow since its last reply, which may be from before
    a pause of this process.

    Returns:
        Infinity if they are not known, as another owner has fenced this one.
    """
    if not worker.is_synced:
        return math.inf
    expires_at = worker.lease_until_s - worker.clock_ahead_s
    replied_at = worker.polled_clock_s - worker.clock_ahead_s
    drift_s = runs.MAX_CLOCK_DRIFT * max(
        MIN_DRIFT_TIME_S, expires_at - replied_at
    )
    return expires_at + drift_s + runs.LEASE_EXPIRY_MARGIN_S


def _has_stayed(region: tables.Region, job: tables.Job, since: float) -> bool:
    """Return whether no gateway had forwarded a job to another owner by a time.

    An attempt whose link has changed may have been forwarded to another owner until
    its gateway forwards it again. So may one that was removed while others wait for
    the job, as its gateway was silent.
    """
    heard_at = region.gateways_heard_at
    return not job.attempts_elsewhere and all(
        math.isinf(attempt.unconfirmed_since)
        and heard_at.get(attempt.gateway_id, math.inf) > since
        for attempt in job.attempts.values()
    )
