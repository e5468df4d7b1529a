"""End and answer jobs.

An answer that says that a job has not run is true for good: it is given only to a job
that no owner may have begun.
"""

from collections.abc import Mapping
import dataclasses
import math

from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import admission
from pollenladder.scheduling import attempt_doubts
from pollenladder.scheduling import attempts
from pollenladder.scheduling import delays
from pollenladder.scheduling import effects
from pollenladder.scheduling import isolation
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables
from pollenladder.scheduling import unknown_runs

# Recent answers are repeated if their job is submitted again.
ANSWER_RETENTION_S = 5.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
# An attempt that is removed for one of these reasons may be at another owner.
_REASONS_TO_MOVE = (
    jobs.Reason.MOVED,
    jobs.Reason.GATEWAY_LOST,
    jobs.Reason.ANSWERED_ELSEWHERE,
)


def expire(region: tables.Region, now: float) -> None:
    """End jobs that are past their deadline, and delete old answers."""
    for job in list(region.jobs.values()):
        if now >= job.deadline_at:
            outcome = jobs.Outcome.GIVEN_UP
            end_job(region, job, outcome, jobs.Reason.DEADLINE, now)
    for job_id, refusal in list(region.refusals.items()):
        if now >= refusal.until:
            del region.refusals[job_id]
    unknown_runs.forget_over(region, now)
    oldest = now - ANSWER_RETENTION_S
    for job_id, end in list(region.recent_ends.items()):
        if end.ended_at > oldest:
            break
        del region.recent_ends[job_id]
    region.crashes.forget_old(now)


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
        job_id,
        submission.attempt,
        outcome,
        jobs.Reason.INTERNAL_ERROR,
        MAX_RETRY_AFTER_S,
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
    """Remove a job, answer its attempts, and stop its remaining runs."""
    job_id = job.submission.job_id
    attempt_doubts.record_end(region, job, outcome, reason, now)
    isolation.cancel(region, job)
    unknown_runs.record_end(region, job, now)
    region.jobs.pop(job_id, None)
    region.waiting.discard(job_id)
    if job.had_to_wait:
        _record_wait(region, job, outcome)
    if outcome is not jobs.Outcome.COMPLETED:
        keep_crashes(region, job, now)
    if _is_repeatable(outcome, reason):
        region.recent_ends[job_id] = tables.RecentEnd(outcome, reason, now)
    answer_attempts(
        region, job_id, job.attempts, outcome, reason, retry_after_s
    )
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
            runs.abandon(region, job, task, reason, now)


def keep_crashes(region: tables.Region, job: tables.Job, now: float) -> None:
    """Keep what is known of crashes, in case the job is submitted again."""
    if not job.has_lost_workers:
        return
    counts = {
        task.index: task.crashes
        for task in job.tasks
        if task.crashes.lost_workers
    }
    region.crashes.keep_counts(
        job.submission.job_id, job.submission.queue, counts, now
    )


def answer_attempts(
    region: tables.Region,
    job_id: str,
    open_attempts: Mapping[int, attempts.Attempt],
    outcome: jobs.Outcome,
    reason: jobs.Reason,
    retry_after_s: float = 0.0,
) -> None:
    """Answer all attempts that wait for a job.

    Only the newest attempt is refused, and the others are given up. A gateway may
    start a refused job in another group, and two gateways would start it twice.
    """
    newest = next(reversed(open_attempts), None)
    for number, attempt in open_attempts.items():
        given = outcome
        if outcome is jobs.Outcome.REFUSED and number != newest:
            given = jobs.Outcome.GIVEN_UP
        answer = jobs.Answer(job_id, number, given, reason, retry_after_s)
        region.effects.append(effects.AnswerJob(attempt.gateway_id, answer))


def remove_attempt(
    region: tables.Region,
    job: tables.Job,
    attempt: attempts.Attempt,
    reason: jobs.Reason,
    now: float,
) -> None:
    """Remove an attempt that no longer waits; end the job if none is left.

    The attempt gets no answer. Its gateway has answered it, or has forwarded it to
    another owner, whose answer another one could contradict.
    """
    del job.attempts[attempt.number]
    heard_at = region.gateways_heard_at.get(attempt.gateway_id, now)
    # What is heard since may come from another process of the gateway.
    job.served_at = min(heard_at, attempt.unconfirmed_since)
    attempt_doubts.record_removal(region, job, attempt, reason, now)
    if reason in _REASONS_TO_MOVE:
        job.attempts_elsewhere.add(attempt.number)
    region.log_event(
        "attempt_removed",
        job=job.submission.job_id,
        attempt=attempt.number,
        gateway=attempt.gateway_id,
        reason=reason.value,
        left=len(job.attempts),
    )
    if not job.attempts:
        end_job(region, job, jobs.Outcome.CANCELLED, reason, now)


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


def _is_repeatable(outcome: jobs.Outcome, reason: jobs.Reason) -> bool:
    """Return whether later attempts of a job are answered like the ones before.

    A caller that lost its connection has not cancelled its job. If it returns,
    the job starts again.
    """
    if reason is jobs.Reason.CALLER_CANCELLED:
        return True
    return outcome in (jobs.Outcome.COMPLETED, jobs.Outcome.FAILED)


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
    """Record that a job that is refused here may run in another group.

    The newest attempt is the one that `answer_attempts` refuses.
    """
    # Without workers of the service here, other groups have them.
    if region.service_shares.get(job.submission.service, 0.0) < 1.0:
        record_elsewhere(
            region,
            job.submission.job_id,
            list(job.attempts)[-1],
            job.deadline_at,
        )


def record_elsewhere(
    region: tables.Region, job_id: str, attempt: int, deadline_at: float
) -> None:
    """Record that another group may execute an attempt until its deadline."""
    lease_s = region.max_lease_s * (1 + runs.MAX_CLOCK_DRIFT)
    until = deadline_at + lease_s
    known = region.refusals.get(job_id)
    attempts_elsewhere = frozenset({attempt})
    if known is not None:
        attempts_elsewhere |= known.attempts
        until = max(until, known.until)
    region.refusals[job_id] = tables.Refusal(attempts_elsewhere, until)


def release_refusal(region: tables.Region, job_id: str, attempt: int) -> None:
    """Forget that another group may execute an attempt.

    Only the gateway of the attempt knows that it does not.
    """
    refusal = region.refusals.get(job_id)
    if refusal is None or attempt not in refusal.attempts:
        return
    left = refusal.attempts - {attempt}
    if left:
        region.refusals[job_id] = dataclasses.replace(refusal, attempts=left)
    else:
        del region.refusals[job_id]


def bound_retry_after(wait_s: float) -> float:
    """Return a forecast wait within the bounds of a Retry-After."""
    if not math.isfinite(wait_s):
        return MAX_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
