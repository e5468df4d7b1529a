"""Tell the groups that a job may run in another one than theirs.

A caller may submit its job again through another gateway, which may follow an owner
that this one does not, and whose group the job would go to first. That owner does not
start the job while it knows that another group may execute it. An owner that has
just claimed does not know what an earlier one has refused, so it is told too.
"""

import dataclasses

from pollenladder.cluster import messages
from pollenladder.service import gateway_callbacks
from pollenladder.service import open_jobs
from pollenladder.service import place_requests


def tell_owners(
    callbacks: gateway_callbacks.Callbacks,
    job: open_jobs.OpenJob,
    left_s: float,
) -> None:
    """Tell the owners that don't know yet that a job may run elsewhere.

    Args:
        callbacks: The functions of other components.
        job: The job.
        left_s: For how much longer it may wait for an answer, in seconds.
    """
    for group in open_jobs.list_groups_to_tell(job):
        owner_id = callbacks.find_owner(group)
        if not owner_id:
            _record_without_owner(job, group)
            continue
        if job.told_elsewhere.get(group) == owner_id:
            continue
        message = messages.RunsElsewhere(
            group, job.submission.job_id, job.attempt, left_s
        )
        if callbacks.tell_runs_elsewhere(message):
            job.told_elsewhere[group] = owner_id


def _record_without_owner(job: open_jobs.OpenJob, group: str) -> None:
    """Record that the next owner of a group has to be told, also if it is the same.

    A daemon that claims again does not know what it was told before.
    """
    if group in job.told_elsewhere:
        job.told_elsewhere[group] = ""


class EndedJobs:
    """Jobs without a caller of which runs may be left.

    A new registrar of such a job does not know of it, and neither does a new owner of
    a group that the job was not left in.
    """

    def __init__(self, silent: place_requests.SilentRegistrars):
        """Start without any job.

        Args:
            silent: The registrars that have not answered lately.
        """
        self._silent = silent
        self._jobs: list[tuple[float, open_jobs.OpenJob]] = []

    def __len__(self) -> int:
        return len(self._jobs)

    def add(self, job: open_jobs.OpenJob, now: float, lasts_s: float) -> None:
        """Add a job that has just ended, if there are other groups.

        Args:
            job: The job.
            now: Monotonic time in seconds.
            lasts_s: For how long its runs may go on.
        """
        has_registrar = job.has_been_sent and bool(job.place.ranked)
        if has_registrar or open_jobs.list_groups_to_tell(job):
            until = now + lasts_s
            # The record of the job keeps its own deadline.
            ended = dataclasses.replace(
                job, deadline_at=min(job.deadline_at, until)
            )
            self._jobs.append((until, ended))

    def tell_owners(
        self, callbacks: gateway_callbacks.Callbacks, now: float
    ) -> None:
        """Tell the owners that don't know yet of the jobs that have ended."""
        self._jobs = [entry for entry in self._jobs if entry[0] > now]
        for _, job in self._jobs:
            tell_owners(callbacks, job, 0.0)
            place_requests.tell_registrar(callbacks, self._silent, job, now)

    def record_link_change(self, daemon_id: str) -> None:
        """Record that what was on its way to a daemon may be lost."""
        for _, job in self._jobs:
            open_jobs.record_link_change(job, daemon_id)


def withdraw(
    callbacks: gateway_callbacks.Callbacks, job: open_jobs.OpenJob, group: str
) -> None:
    """Tell a group that it gets the job itself, if it was told otherwise."""
    if job.told_elsewhere.pop(group, None) is not None:
        callbacks.release(group, job.submission.job_id, job.attempt)


def release(
    callbacks: gateway_callbacks.Callbacks, job: open_jobs.OpenJob
) -> None:
    """Tell the owners that know of a job that it runs in no group any more."""
    for group in job.refused_by | job.told_elsewhere.keys():
        callbacks.release(group, job.submission.job_id, job.attempt)
