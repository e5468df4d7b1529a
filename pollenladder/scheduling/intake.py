"""Admit, refuse and cancel jobs.

In bursts and after the loss of workers, capacity may be short. A job that would
start too late to be in time is refused on arrival, with the time after which
capacity is expected to be free. A job that may have begun under an earlier
owner is never refused as not run.
"""

import dataclasses
import math

from pollenladder.jobs import doubts
from pollenladder.jobs import entities as jobs
from pollenladder.jobs import estimates
from pollenladder.scheduling import arrivals
from pollenladder.scheduling import attempt_doubts
from pollenladder.scheduling import attempts
from pollenladder.scheduling import candidates
from pollenladder.scheduling import crash_outcomes
from pollenladder.scheduling import crash_records
from pollenladder.scheduling import deferral
from pollenladder.scheduling import effects
from pollenladder.scheduling import exposure
from pollenladder.scheduling import forecast
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import large_jobs
from pollenladder.scheduling import placement
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables
from pollenladder.scheduling import unknown_runs

# A job whose tasks need more than this share of all slots gets time for several
# waves of tasks.
WAVE_SHARE = 0.25


def submit(
    region: tables.Region,
    submission: jobs.Submission,
    gateway_id: str,
    now: float,
) -> None:
    """Admit or refuse a job, or add an attempt to a job that is known.

    Args:
        region: The region.
        submission: The job.
        gateway_id: The daemon that has forwarded it.
        now: Monotonic time in seconds.
    """
    attempt = attempts.Attempt(
        submission.attempt, gateway_id, submission.first_run
    )
    known = region.jobs.get(submission.job_id)
    if known is None:
        if unknown_runs.may_be_left(region, submission.job_id, now):
            submission = dataclasses.replace(submission, may_have_begun=True)
        admit(region, submission, {attempt.number: attempt}, now)
    else:
        _join(region, known, submission, attempt, now)


def _join(
    region: tables.Region,
    job: tables.Job,
    submission: jobs.Submission,
    attempt: attempts.Attempt,
    now: float,
) -> None:
    """Add or confirm an attempt of a job in progress."""
    previous = job.attempts.get(attempt.number)
    job.attempts[attempt.number] = attempt
    job.attempts_elsewhere.discard(attempt.number)
    job.deadline_at = max(job.deadline_at, now + submission.budget_s)
    attempt_doubts.record_join(region, job, attempt, previous, now)
    if submission.may_have_begun:
        unknown_runs.record_rejoined(region, job, submission, previous, now)
        # It can no longer be refused as not run.
        job.is_deferred = False
    region.log_event(
        "job_rejoined",
        job=submission.job_id,
        attempt=attempt.number,
        gateway=attempt.gateway_id,
        attempts=len(job.attempts),
    )


def admit(
    region: tables.Region,
    submission: jobs.Submission,
    open_attempts: dict[int, attempts.Attempt],
    now: float,
) -> None:
    """Admit or refuse a job that is not in progress.

    The attempts are answered like earlier ones if the job has ended recently.
    """
    job_id = submission.job_id
    if _answer_without_run(region, submission, open_attempts, now):
        return
    job = _build_job(region, submission, open_attempts, now)
    reason = find_permanent_obstacle(region, job)
    if reason is not None:
        _refuse(region, job, reason, job_ends.MAX_RETRY_AFTER_S)
        return
    if not submission.may_have_begun and not large_jobs.has_room(
        region, submission.tasks
    ):
        reason = jobs.Reason.OWNER_BUSY
        _refuse(region, job, reason, job_ends.MAX_RETRY_AFTER_S)
        return
    if not submission.may_have_begun and exposure.is_exhausted(
        region, submission, now
    ):
        _refuse_crashing(region, job, now)
        return
    decision = _decide(region, job, now)
    if not decision.is_admitted:
        _refuse(region, job, jobs.Reason.NO_ROOM_IN_TIME, decision.wait_s)
        return
    region.jobs[job_id] = job
    region.waiting.add(job_id)
    attempt_doubts.record_admission(region, job, now)
    if job.is_deferred:
        deferral.record(region, job, decision.wait_s, now)
    region.log_event(
        "job_admitted",
        job=job_id,
        queue=submission.queue,
        tasks=submission.tasks,
        expected_s=round(job.expected_s, 4),
        wait_s=round(decision.wait_s, 4),
        latest_start_s=round(job.latest_start_at - now, 4),
        jobs=len(region.jobs),
        attempt=submission.attempt,
    )
    if submission.may_have_begun or runs.has_runs(region, job_id):
        _adopt_runs(region, job, now)
    forecast.add_admitted_job(region, job, now)
    placement.place(region, now)


def _answer_without_run(
    region: tables.Region,
    submission: jobs.Submission,
    open_attempts: dict[int, attempts.Attempt],
    now: float,
) -> bool:
    """Answer a job that must not start here; return whether it was answered."""
    job_id = submission.job_id
    end = region.recent_ends.get(job_id)
    if submission.may_run_elsewhere:
        # The other group is gone, and its runs are waited for below.
        job_ends.release_refusal(region, job_id, submission.attempt)
    refusal = region.refusals.get(job_id)
    if crash_outcomes.is_given_up(region, submission, now):
        outcome = jobs.Outcome.GIVEN_UP
        reason = jobs.Reason.TASK_CRASHED_WORKERS
        counts = region.crashes.find_counts(job_id)
        region.crashes.keep_counts(job_id, submission.queue, counts, now)
        _log_repeated(region, job_id, open_attempts)
    elif end is not None:
        outcome, reason = end.outcome, end.reason
        _log_repeated(region, job_id, open_attempts)
    elif refusal is not None and now < refusal.until:
        # Submitted again while another group may run it.
        outcome, reason = jobs.Outcome.GIVEN_UP, jobs.Reason.OWNER_LOST
        _log_running_elsewhere(region, job_id, open_attempts)
    elif submission.budget_s <= 0:
        # Forwarded by a gateway that was paused.
        outcome, reason = jobs.Outcome.GIVEN_UP, jobs.Reason.DEADLINE
    else:
        return False
    attempt_doubts.record_answered_at_once(region, job_id, open_attempts, now)
    job_ends.answer_attempts(region, job_id, open_attempts, outcome, reason)
    return True


def record_elsewhere(
    region: tables.Region,
    job_id: str,
    attempt: int,
    budget_s: float,
    now: float,
) -> None:
    """Record that another group may execute an attempt of a job.

    If the job is in progress here for other attempts, it ends, as two groups would
    start its tasks.

    Args:
        region: The region.
        job_id: The job.
        attempt: Number of the attempt.
        budget_s: Time left until its deadline, in seconds.
        now: Monotonic time in seconds.
    """
    job = region.jobs.get(job_id)
    if job is not None and attempt in job.attempts:
        # It was forwarded here since.
        return
    job_ends.record_elsewhere(region, job_id, attempt, now + budget_s)
    if job is None:
        return
    doubt = doubts.Doubt.SECOND_ATTEMPT
    attempt_doubts.record_doubt(region, job_id, doubt, now)
    _log_running_elsewhere(region, job_id, job.attempts)
    outcome, reason = jobs.Outcome.GIVEN_UP, jobs.Reason.OWNER_LOST
    job_ends.end_job(region, job, outcome, reason, now)


def _log_repeated(
    region: tables.Region,
    job_id: str,
    open_attempts: dict[int, attempts.Attempt],
) -> None:
    for attempt in open_attempts.values():
        region.log_event(
            "answer_repeated",
            job=job_id,
            attempt=attempt.number,
            gateway=attempt.gateway_id,
        )


def _log_running_elsewhere(
    region: tables.Region,
    job_id: str,
    open_attempts: dict[int, attempts.Attempt],
) -> None:
    for attempt in open_attempts.values():
        region.log_event(
            "job_runs_elsewhere",
            job=job_id,
            attempt=attempt.number,
            gateway=attempt.gateway_id,
        )


def cancel_attempt(
    region: tables.Region,
    job_id: str,
    number: int,
    reason: jobs.Reason,
    now: float,
) -> bool:
    """Cancel an attempt whose caller has left or waits no longer.

    Other attempts go on waiting, as the caller may have reconnected through
    another gateway.

    Returns:
        Whether the attempt is known.
    """
    job = region.jobs.get(job_id)
    attempt = job.attempts.get(number) if job else None
    if attempt is None:
        return False
    job_ends.remove_attempt(region, job, attempt, reason, now)
    return True


def cancel_job(region: tables.Region, job_id: str, now: float) -> bool:
    """Cancel a job for all attempts, as its caller has requested.

    Returns:
        Whether the job is known.
    """
    job = region.jobs.get(job_id)
    if job is None:
        return False
    outcome, reason = jobs.Outcome.CANCELLED, jobs.Reason.CALLER_CANCELLED
    job_ends.end_job(region, job, outcome, reason, now)
    return True


def _build_job(
    region: tables.Region,
    submission: jobs.Submission,
    open_attempts: dict[int, attempts.Attempt],
    now: float,
) -> tables.Job:
    expected_s = estimates.predict_run_s(
        region.estimates, submission.queue, submission.estimate_s
    )
    submitted_at = now - submission.age_s
    waves = _count_waves(region, submission)
    allowed_s = submission.stretch * expected_s * waves + submission.slack_s
    objective_at = submitted_at + allowed_s
    tasks = _build_tasks(region, submission)
    return tables.Job(
        submission=submission,
        attempts=open_attempts,
        resources=_get_resources(submission),
        tasks=tasks,
        has_lost_workers=any(task.crashes.lost_workers for task in tasks),
        expected_s=expected_s,
        longest_usual_s=estimates.find_longest_usual_s(
            region.estimates,
            submission.queue,
            submission.estimate_s,
            expected_s,
        ),
        submitted_at=submitted_at,
        objective_at=objective_at,
        latest_start_at=objective_at - expected_s - tables.OVERHEAD_S,
        deadline_at=now + submission.budget_s,
    )


def _build_tasks(
    region: tables.Region, submission: jobs.Submission
) -> list[tables.Task]:
    tasks = [
        tables.Task(index, tables.TaskState.WAITING, submission.first_run)
        for index in range(submission.tasks)
    ]
    for told in submission.crashes:
        if 0 <= told.index < len(tasks):
            tasks[told.index].crashes = crash_records.CrashCounts(
                told.suspicions, told.lost_workers
            )
    # What this owner knows itself is never older than what it has told.
    for index, counts in region.crashes.find_counts(submission.job_id).items():
        if index < len(tasks):
            tasks[index].crashes = counts
    return tasks


def _get_resources(submission: jobs.Submission) -> jobs.Resources:
    return jobs.Resources(
        submission.cpu_milli, submission.memory_mb, submission.gpus
    )


def _count_waves(region: tables.Region, submission: jobs.Submission) -> int:
    """Return in how many waves a job's tasks may run and still be in time.

    The number follows the slots of all groups, as callers know no groups.
    """
    share = region.service_shares.get(submission.service, 1.0)
    slots = forecast.count_slots(
        region,
        submission.service,
        _get_resources(submission),
        enough=math.ceil(share * submission.tasks / WAVE_SHARE),
        allowed=submission.allowed_regions,
    )
    width = max(1.0, slots / share * WAVE_SHARE)
    return max(1, math.ceil(submission.tasks / width))


def find_permanent_obstacle(
    region: tables.Region, job: tables.Job
) -> jobs.Reason | None:
    """Return why no worker could run a job at any time, or None."""
    service = job.submission.service
    if _awaits_first_worker_list(region):
        return None
    may_have_begun = job.submission.may_have_begun
    allowed = job.submission.allowed_regions
    if not any(
        w.is_listed
        and w.listing.service == service
        and (may_have_begun or not w.is_evacuated)
        and candidates.is_allowed(region, allowed, w)
        for w in region.workers.values()
    ):
        return jobs.Reason.NO_WORKERS
    if may_have_begun and region.evacuations.known.data_centres:
        # Its runs may be active on evacuated workers, which do not count below.
        return None
    if not forecast.can_ever_fit(region, service, job.resources, allowed):
        return jobs.Reason.TOO_LARGE
    return None


def _awaits_first_worker_list(region: tables.Region) -> bool:
    """Return whether a new owner has not received any worker entry yet."""
    return not region.is_worker_list_current and not region.workers


def _decide(
    region: tables.Region, job: tables.Job, now: float
) -> arrivals.Decision:
    if _awaits_first_worker_list(region):
        return arrivals.Decision(forecast.FIRST_POLL_S, is_admitted=True)
    return arrivals.decide(region, job, now)


def _refuse(
    region: tables.Region,
    job: tables.Job,
    reason: jobs.Reason,
    wait_s: float,
) -> None:
    """Answer a job that is not admitted, with the time after which to retry."""
    submission = job.submission
    outcome = jobs.Outcome.REFUSED
    # A run of an earlier submission may still be ending here. After a refusal,
    # another group could start the task a second time beside it.
    if submission.may_have_begun or runs.has_runs(region, submission.job_id):
        outcome = jobs.Outcome.GIVEN_UP
    job_ends.answer_attempts(
        region,
        submission.job_id,
        job.attempts,
        outcome,
        reason,
        job_ends.bound_retry_after(wait_s),
    )
    if outcome is jobs.Outcome.REFUSED:
        job_ends.record_refusal(region, job)
    region.log_event(
        "job_refused",
        job=submission.job_id,
        queue=submission.queue,
        tasks=submission.tasks,
        reason=reason.value,
        # Bounded, because the forecast is `NEVER_S` without any slot.
        wait_s=round(min(wait_s, 99.0), 4),
        allowed_s=round(job.latest_start_at - job.submitted_at, 4),
        jobs=len(region.jobs),
        pressure=round(region.admission.pressure, 2),
    )


def _refuse_crashing(
    region: tables.Region, job: tables.Job, now: float
) -> None:
    """Answer a job of a queue that has taken down as many workers as it may."""
    region.count_failure(effects.Failure.JOB_REFUSED)
    wait_s = exposure.estimate_wait_s(region, job.submission.queue, now)
    _refuse(region, job, jobs.Reason.QUEUE_CRASHES_WORKERS, wait_s)


def _adopt_runs(region: tables.Region, job: tables.Job, now: float) -> None:
    """Assign to a job's tasks the runs and ends of an earlier owner."""
    safe_at = unknown_runs.get_lease_expiry(region, now)
    if now > region.owned_since + unknown_runs.RECENT_CLAIM_S:
        job.list_needed_at = now
    for task in job.tasks:
        name = jobs.format_task_name(job.submission.job_id, task.index)
        if region.orphan_ends.pop(name, None) is not None:
            task.state = tables.TaskState.DONE
            job.has_begun = True
            continue
        task.not_before = safe_at
        runs.adopt_orphan(region, job, task)
    unknown_runs.log_held_back(region, job, now)
    job_ends.finish_if_complete(region, job, now)
