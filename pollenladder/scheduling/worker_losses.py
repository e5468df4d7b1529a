"""Workers that no longer reply, and the runs that were on them.

Polls tell whether the process of a lost worker has probably ended or whether the
network may have failed; see `crashes`. A run on a lost worker occupies its task until
all of its leases have expired, because the worker may still be executing it.
"""

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import crashes
from pollenladder.scheduling import effects
from pollenladder.scheduling import lease_expiry
from pollenladder.scheduling import run_ends
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# Time beyond a lease after which the runs of a lost worker are reported if
# their tasks are still held back.
REPORT_MARGIN_S = 0.5


def mark_lost(region: tables.Region, worker: fleet.Worker, now: float) -> None:
    """Record that a worker does not reply, and log the runs on it."""
    if not worker.is_reachable:
        return
    worker.is_reachable = False
    worker.lost_at = now
    worker.is_loss_reported = False
    region.count_failure(effects.Failure.WORKER_LOST)
    region.log_event(
        "worker_lost",
        worker=worker.listing.worker_id,
        missed_looks=worker.missed_polls,
        runs=len(worker.runs),
        causes=sorted(cause.value for cause in worker.missed_causes),
    )
    for run in worker.runs.values():
        _log_run(region, run, now)


def mark_reached(
    region: tables.Region, worker: fleet.Worker, now: float
) -> None:
    """Record that a worker replies."""
    worker.is_reachable = True
    worker.missed_causes = frozenset()
    worker.has_crash_recorded = False
    region.crashes.forget_worker(worker.listing.worker_id, now)


def release_expired(
    region: tables.Region, worker: fleet.Worker, now: float
) -> None:
    """Release the runs on a lost worker whose leases are known to have expired."""
    if not worker.has_crash_recorded:
        crashes.record_silent_loss(region, worker, now)
        worker.has_crash_recorded = True
    proofs = [
        (run, lease_expiry.prove_expired(region, worker, run, now))
        for run in worker.runs.values()
    ]
    proved = [(run, proof) for run, proof in proofs if proof is not None]
    if proved:
        _log_expiry(region, worker, now)
    for run, proof in proved:
        _release(region, worker, run, proof, now)


def _release(
    region: tables.Region,
    worker: fleet.Worker,
    run: fleet.Run,
    proof: run_ends.Proof,
    now: float,
) -> None:
    job, _ = runs.find_task(region, run)
    runs.release(region, worker, run, proof)
    if job is not None and not job.is_overdue and now > job.latest_start_at:
        job.is_overdue = True
        # They contain the job with its rank before.
        region.start_forecasts.clear()


def report_held_runs(
    region: tables.Region, worker: fleet.Worker, now: float
) -> None:
    """Log once that runs on a lost worker outlast the longest lease."""
    if worker.is_reachable or worker.is_loss_reported or not worker.runs:
        return
    lost_s = now - worker.lost_at
    if lost_s < region.max_lease_s + REPORT_MARGIN_S:
        return
    worker.is_loss_reported = True
    clock_s = now + worker.clock_ahead_s
    region.log_event(
        "lost_runs_held",
        worker=worker.listing.worker_id,
        runs=len(worker.runs),
        lost_s=round(lost_s, 3),
        lease_left_s=round(worker.lease_until_s - clock_s, 3),
    )


def _log_expiry(
    region: tables.Region, worker: fleet.Worker, now: float
) -> None:
    region.log_event(
        "leases_expired",
        worker=worker.listing.worker_id,
        runs=len(worker.runs),
        lease_until_s=round(worker.lease_until_s, 3),
        granted_until_s=round(worker.granted_until_s, 3),
        clock_s=round(now + worker.clock_ahead_s, 3),
    )


def _log_run(region: tables.Region, run: fleet.Run, now: float) -> None:
    job, _ = runs.find_task(region, run)
    region.count_failure(effects.Failure.RUN_ON_LOST_WORKER)
    region.log_event(
        "run_on_lost_worker",
        job=jobs.parse_job_id(run.task),
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        queue=job.submission.queue if job else "",
        state=run.state.value,
        age_s=round(now - run.sent_at, 4),
    )
