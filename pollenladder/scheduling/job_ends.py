"""End and answer jobs.

An answer that says that a job has not run is true for good: it is given only to a job
that no owner may have begun.
"""

import math

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import admission
from pollenladder.scheduling import delays
from pollenladder.scheduling import effects
from pollenladder.scheduling import isolation
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables

# Recent answers are repeated if their job is submitted again.
ANSWER_RETENTION_S = 5.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


def expire(region: tables.Region, now: float) -> None:
    """End jobs that are past their deadline, and delete old answers."""
    for job in list(region.jobs.values()):
        if now >= job.deadline_at:
            outcome = jobs.Outcome.GIVEN_UP
            end_job(region, job, outcome, jobs.Reason.DEADLINE, now)
    for job_id, until in list(region.refused_until.items()):
        if now >= until:
            del region.refused_until[job_id]
    oldest = now - ANSWER_RETENTION_S
    for job_id, (_, at) in list(region.answered.items()):
        if at > oldest:
            break
        del region.answered[job_id]


def answer_failed(
    region: tables.Region, submission: jobs.Submission, gateway_id: str
) -> None:
    """Answer a job whose submission failed unexpectedly, unless it was admitted.

    Args:
        region: The region.
        submission: The job.
        gateway_id: The daemon to which the answer is sent.
    """
    job_id = submission.job_id
    if job_id in region.jobs:
        return
    outcome = jobs.Outcome.REFUSED
    if submission.may_have_begun or runs.has_runs(region, job_id):
        outcome = jobs.Outcome.GIVEN_UP
    answer = jobs.Answer(
        job_id, outcome, jobs.Reason.INTERNAL_ERROR, MAX_RETRY_AFTER_S
    )
    region.effects.append(effects.AnswerJob(gateway_id, answer))


def end_failed_jobs(region: tables.Region, now: float) -> None:
    """End the jobs whose placement failed unexpectedly.

    They would fail again, so their callers know at once.
    """
    while region.failed_jobs:
        job_id = region.failed_jobs.pop()
        job = region.jobs.get(job_id)
        if job is None:
            continue
        outcome = jobs.Outcome.REFUSED
        if job.has_begun or job.submission.may_have_begun:
            outcome = jobs.Outcome.GIVEN_UP
        reason = jobs.Reason.INTERNAL_ERROR
        end_job(region, job, outcome, reason, now, MAX_RETRY_AFTER_S)


def end_job(
    region: tables.Region,
    job: tables.Job,
    outcome: jobs.Outcome,
    reason: jobs.Reason,
    now: float,
    retry_after_s: float = 0.0,
) -> None:
    """Remove a job, answer it, and stop its remaining runs."""
    job_id = job.submission.job_id
    isolation.cancel(region, job)
    region.jobs.pop(job_id, None)
    region.waiting.discard(job_id)
    answer = jobs.Answer(job_id, outcome, reason, retry_after_s)
    if job.had_to_wait:
        _record_wait(region, job, outcome)
    if _is_repeatable(answer):
        region.answered[job_id] = (answer, now)
    # A lost gateway receives the answer of the owner that it forwarded the job
    # to, which this answer would contradict.
    if reason is not jobs.Reason.GATEWAY_LOST:
        region.effects.append(effects.AnswerJob(job.gateway_id, answer))
    region.log_event(
        "job_ended",
        job=job_id,
        queue=job.submission.queue,
        outcome=outcome.value,
        reason=reason.value,
        took_s=round(now - job.submitted_at, 4),
        in_time=(outcome is jobs.Outcome.COMPLETED and now <= job.objective_at),
    )
    for task in job.tasks:
        if task.state is tables.TaskState.PLACED:
            runs.abandon(region, job, task, now)


def _record_wait(
    region: tables.Region, job: tables.Job, outcome: jobs.Outcome
) -> None:
    """Update the admission state with the outcome of a job that had to wait."""
    was_delayed = delays.was_delayed(job, outcome)
    if was_delayed is None:
        return
    if was_delayed:
        admission.record_late(region.admission)
    else:
        admission.record_in_time(region.admission)


def _is_repeatable(answer: jobs.Answer) -> bool:
    """Return whether an answer is repeated if its job is submitted again.

    A job that was given up because of crashes is not started again.

    A caller that lost its connection has not cancelled its job. If it returns,
    the job starts again.
    """
    if answer.reason in (
        jobs.Reason.CALLER_CANCELLED,
        jobs.Reason.TASK_CRASHED_WORKERS,
    ):
        return True
    return answer.outcome in (jobs.Outcome.COMPLETED, jobs.Outcome.FAILED)


def finish_if_complete(
    region: tables.Region, job: tables.Job, now: float
) -> None:
    """Answer a complete job, or record that none of its tasks waits."""
    if job.is_complete():
        outcome = jobs.Outcome.COMPLETED
        end_job(region, job, outcome, jobs.Reason.ALL_DONE, now)
    elif not job.list_waiting_tasks():
        region.waiting.discard(job.submission.job_id)


def record_refusal(region: tables.Region, job: tables.Job) -> None:
    """Record that a job that is refused here may run in another group."""
    # Without workers of the service here, other groups have them.
    if region.service_shares.get(job.submission.service, 0.0) < 1.0:
        lease_s = region.max_lease_s * (1 + runs.MAX_CLOCK_DRIFT)
        until = job.deadline_at + lease_s
        region.refused_until[job.submission.job_id] = until


def bound_retry_after(wait_s: float) -> float:
    """Return a forecast wait within the bounds of a Retry-After."""
    if not math.isfinite(wait_s):
        return MAX_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
