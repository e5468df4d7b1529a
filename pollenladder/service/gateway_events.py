"""Log events of the gateway, each with the job and the attempt."""

import logging

from pollenladder.jobs import entities as jobs
from pollenladder.logs import lines as logs
from pollenladder.service import open_jobs

LOGGER = logging.getLogger(__name__)


def log_answered(
    job: open_jobs.OpenJob, answer: jobs.Answer, took_s: float
) -> None:
    """Log that the caller of a job gets its answer."""
    logs.log(
        LOGGER,
        "job_answered",
        job=answer.job_id,
        queue=job.submission.queue,
        outcome=answer.outcome.value,
        reason=answer.reason.value,
        group=job.group,
        owner=job.owner_id,
        took_s=round(took_s, 4),
        retry_after_s=round(answer.retry_after_s, 3),
        attempt=job.attempt,
    )


def log_answer_without_caller(answer: jobs.Answer, sender: str) -> None:
    """Log an answer for a job that is not open here any more."""
    logs.log(
        LOGGER,
        "answer_without_caller",
        job=answer.job_id,
        attempt=answer.attempt,
        outcome=answer.outcome.value,
        sender=sender,
    )


def log_answer_for_another(
    job: open_jobs.OpenJob, answer: jobs.Answer, sender: str
) -> None:
    """Log an answer for another attempt than the one that is open here."""
    logs.log(
        LOGGER,
        "answer_for_another_attempt",
        job=answer.job_id,
        attempt=answer.attempt,
        open_attempt=job.attempt,
        outcome=answer.outcome.value,
        reason=answer.reason.value,
        sender=sender,
    )


def log_refusal_ignored(job: open_jobs.OpenJob, sender: str) -> None:
    """Log a refusal that does not show that the job has not begun."""
    logs.log(
        LOGGER,
        "refusal_ignored",
        job=job.submission.job_id,
        attempt=job.attempt,
        sender=sender,
        owner=job.owner_id,
        times_handed_on=job.times_forwarded,
    )


def log_rejection_ignored(job_id: str, attempt: int, sender: str) -> None:
    """Log that a daemon rejects an attempt that it was not forwarded last."""
    logs.log(
        LOGGER,
        "rejection_ignored",
        job=job_id,
        attempt=attempt,
        sender=sender,
    )


def log_forwarded_again(job: open_jobs.OpenJob, age_s: float) -> None:
    """Log that a job was forwarded again."""
    logs.log(
        LOGGER,
        "job_handed_on_again",
        job=job.submission.job_id,
        attempt=job.attempt,
        owner=job.owner_id,
        age_s=round(age_s, 3),
    )


def log_moved(job: open_jobs.OpenJob, before: str) -> None:
    """Log that an earlier owner is told that another one has the attempt."""
    logs.log(
        LOGGER,
        "attempt_moved",
        job=job.submission.job_id,
        attempt=job.attempt,
        owner=job.owner_id,
        before=before,
    )


def log_sent_to_another_group(
    job: open_jobs.OpenJob, group: str, refusal: jobs.Answer
) -> None:
    """Log that a refused job goes to another group."""
    logs.log(
        LOGGER,
        "job_sent_to_another_group",
        job=refusal.job_id,
        attempt=job.attempt,
        group=group,
        before=job.group,
        reason=refusal.reason.value,
    )


def log_in_two_groups(job: open_jobs.OpenJob, group: str) -> None:
    """Log that a job was sent to a group while another one may execute it."""
    logs.log(
        LOGGER,
        "job_in_two_groups",
        job=job.submission.job_id,
        attempt=job.attempt,
        group=group,
        other=job.group,
    )


def log_group_passed_over(job: open_jobs.OpenJob, now: float) -> None:
    """Log that a job goes to another group, as its first one has no owner."""
    logs.log(
        LOGGER,
        "group_passed_over",
        job=job.submission.job_id,
        attempt=job.attempt,
        group=job.group,
        before=job.passed_over[0],
        knowledge=job.place.knowledge.value,
        waited_s=round(now - job.arrived_at, 3),
    )


def log_cancel_not_sent(
    job: open_jobs.OpenJob, owner_id: str, reason: jobs.Reason
) -> None:
    """Log that an owner can't be told that an attempt has ended."""
    logs.log(
        LOGGER,
        "cancel_not_sent",
        job=job.submission.job_id,
        attempt=job.attempt,
        owner=owner_id,
        reason=reason.value,
    )


def log_refused_with_room(
    job: open_jobs.OpenJob, refusal: jobs.Answer, group: str
) -> None:
    """Log a refusal while a group reports room for the job."""
    logs.log(
        LOGGER,
        "job_refused_with_room",
        job=refusal.job_id,
        queue=job.submission.queue,
        reason=refusal.reason.value,
        group=group,
        was_asked=group in job.refused_by,
        groups_asked=len(job.refused_by),
    )
