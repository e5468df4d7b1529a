"""The gateway of the emulated callers, with the decisions of the real one."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import group_retries
from pollenladder.scheduling import sharing


@dataclasses.dataclass
class _OpenJob:
    submission: jobs.Submission
    arrived_at_s: float
    refused_by: frozenset[str] = frozenset()


class Gateway:
    """Sends jobs to groups, by loads that are as old as a heartbeat.

    Attributes:
        loads: The load that each group has last reported, by its name.
    """

    def __init__(
        self,
        groups: tuple[str, ...],
        submit: Callable[[str, jobs.Submission], None],
    ):
        """Use the groups.

        Args:
            groups: The names of the groups.
            submit: Sends a job to a group.
        """
        self.loads: Mapping[str, fleet.ServiceLoad] = {}
        self._groups = groups
        self._submit = submit
        self._open: dict[str, _OpenJob] = {}

    def submit(self, submission: jobs.Submission, now: float) -> None:
        """Send a new job to its first group."""
        may_be_late = group_retries.may_be_late_at_first(len(self._groups))
        submission = dataclasses.replace(submission, may_be_late=may_be_late)
        job = _OpenJob(submission, now)
        self._open[submission.job_id] = job
        first = sharing.choose_first_group(submission.job_id, self._groups)
        self._forward(job, first, now)

    def try_another_group(
        self, group: str, answer: jobs.Answer, now: float
    ) -> bool:
        """Send a refused job to another group; return whether there is one."""
        if answer.outcome is not jobs.Outcome.REFUSED:
            return False
        job = self._open[answer.job_id]
        job.refused_by |= {group}
        choice = group_retries.choose_next(
            job.submission,
            answer.reason,
            now - job.arrived_at_s,
            lambda needs_room: self._choose_group(job, needs_room),
        )
        job.submission = dataclasses.replace(
            job.submission, may_be_late=choice.may_be_late
        )
        if choice.group:
            self._forward(job, choice.group, now)
        return bool(choice.group)

    def _choose_group(self, job: _OpenJob, needs_room: bool) -> str:
        loads = {
            group: load
            for group, load in self.loads.items()
            if group not in job.refused_by
        }
        return sharing.choose_group(
            job.submission, loads, frozenset(), needs_room
        )

    def _forward(self, job: _OpenJob, group: str, now: float) -> None:
        waited_s = now - job.arrived_at_s
        submission = dataclasses.replace(
            job.submission,
            age_s=job.submission.age_s + waited_s,
            budget_s=job.submission.budget_s - waited_s,
        )
        self._submit(group, submission)
