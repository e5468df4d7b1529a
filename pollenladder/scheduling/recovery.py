"""Rebuild a region after another daemon may have owned its workers.

Two daemons that do not receive each other's messages may alternately become the
owner, each time with a higher epoch. A daemon that becomes the owner again does
not know which runs the other owner has started or stopped. It therefore
discards its state of the workers, like a new owner that takes over.
"""

import dataclasses

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import attempt_doubts
from pollenladder.scheduling import crash_records
from pollenladder.scheduling import crashes
from pollenladder.scheduling import effects
from pollenladder.scheduling import intake
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import neighbourhood
from pollenladder.scheduling import neighbours
from pollenladder.scheduling import tables


def rebuild_region(
    region: tables.Region, epoch: int, now: float
) -> tables.Region:
    """Return the state of a region for a higher epoch, without workers.

    The jobs are kept and submitted again.

    Args:
        region: The previous region.
        epoch: The new epoch.
        now: Monotonic time in seconds.
    """
    rebuilt = tables.Region(
        epoch,
        now,
        region.max_lease_s,
        region.features,
        region.group,
        handover_delay_s=region.handover_delay_s,
        moved_workers_until=region.moved_workers_until,
        list_history=region.list_history,
        service_shares=region.service_shares,
        refusals=region.refusals,
        unknown_runs_until=region.unknown_runs_until,
        places=region.places,
        gateways_heard_at=region.gateways_heard_at,
        run_limit_s=region.run_limit_s,
        confirmations_due=dict(region.confirmations_due),
        recent_ends=dict(region.recent_ends),
        estimates=region.estimates,
        admission=region.admission,
        evacuations=region.evacuations,
        evacuated_services=region.evacuated_services,
        cold_starts=region.cold_starts,
        unguarded_services=region.unguarded_services,
        regions=region.regions,
        max_large_tasks=region.max_large_tasks,
        attempt_records=region.attempt_records,
        crashes=crash_records.CrashRecords(
            region.crashes.group,
            evidence=region.crashes.evidence,
            queues=region.crashes.queues,
            losses=region.crashes.losses,
            kept=region.crashes.kept,
        ),
        neighbourhood=neighbourhood.Neighbourhood(region.neighbourhood.model),
    )
    rebuilt.effects = region.take_effects()
    neighbours.log_restored(rebuilt)
    for job_id, job in region.jobs.items():
        # The counts may still be taken back.
        job_ends.keep_crashes(rebuilt, job, now)
        rebuilt.decide(
            effects.Decision.RESUBMISSION,
            job_id,
            _resubmit,
            rebuilt,
            job,
            now,
        )
        attempt_doubts.record_rebuilt(rebuilt, job, now)
    return rebuilt


def _resubmit(region: tables.Region, job: tables.Job, now: float) -> None:
    """Submit a job again, keeping its completed tasks and its failed runs.

    Completed tasks are recorded as orphan ends, from which `intake.admit`
    marks them as done.
    """
    job_id = job.submission.job_id
    for task in job.tasks:
        if task.state is tables.TaskState.DONE:
            name = jobs.format_task_name(job_id, task.index)
            region.orphan_ends[name] = now
    submission = dataclasses.replace(
        job.submission,
        age_s=now - job.submitted_at,
        budget_s=job.deadline_at - now,
        # The gateway may have sent the job to the other owner in the meantime.
        may_have_begun=True,
        first_run=max(task.next_run for task in job.tasks),
        crashes=crashes.list_crashes(job),
    )
    intake.admit(region, submission, job.attempts, now)
    admitted = region.jobs.get(job_id)
    if admitted is not None:
        admitted.served_at = job.served_at
        admitted.attempts_elsewhere = set(job.attempts_elsewhere)
        _keep_failures(job, admitted)


def _keep_failures(before: tables.Job, after: tables.Job) -> None:
    """Copy which runs of a job's tasks have failed, and which workers to avoid."""
    for old, new in zip(before.tasks, after.tasks, strict=True):
        new.failed_runs = old.failed_runs
        new.avoided_workers = set(old.avoided_workers)
