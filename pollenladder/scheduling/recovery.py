"""Begin anew with the same jobs, as another owner may have had the workers.

Answers two daemons that do not hear each other and outbid each other's epochs:
whoever comes back knows neither what the other one has begun nor what it has
stopped, so its tables count for no more than those of a daemon that takes over.
"""

import dataclasses

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import intake
from pollenladder.scheduling import tables


def rebuild_region(
    region: tables.Region, epoch: int, now: float
) -> tables.Region:
    """Return tables for a higher epoch, without workers.

    Args:
        region: The tables so far.
        epoch: The new epoch.
        now: Monotonic time in seconds.
    """
    renewed = tables.Region(
        epoch,
        now,
        region.max_lease_s,
        handover_delay_s=region.handover_delay_s,
        unseen_until=region.unseen_until,
        lost_gateways=dict(region.lost_gateways),
        answered=dict(region.answered),
        estimates=region.estimates,
        admission=region.admission,
    )
    renewed.effects = region.take_effects()
    for job in region.jobs.values():
        _hand_on(renewed, job, now)
    return renewed


def _hand_on(region: tables.Region, job: tables.Job, now: float) -> None:
    """Submit a job again, with what of it is done."""
    job_id = job.submission.job_id
    for task in job.tasks:
        if task.state is tables.TaskState.DONE:
            name = jobs.format_task_name(job_id, task.index)
            region.orphan_ends[name] = now
    submission = dataclasses.replace(
        job.submission,
        age_s=now - job.submitted_at,
        budget_s=job.deadline_at - now,
        # Its gateway may have handed it to the other owner meanwhile.
        may_have_begun=True,
        first_run=max(task.next_run for task in job.tasks),
    )
    intake.submit(region, submission, job.gateway_id, now)
