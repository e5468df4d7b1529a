"""Admission control: accept or refuse each job once, when it arrives.

Decisions rely on run times measured for each kind of task, never on what the
caller declares.
"""

from collections.abc import Iterable
import math

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.dispatch import estimates
from pollenladder.dispatch import fairness
from pollenladder.dispatch import spilling
from pollenladder.dispatch import tables
from pollenladder.plans import declarations

# Least retry delay after a refusal for overload or lack of allowance.
MIN_RETRY_AFTER_S = 1.0
# Retry delay if the shard is draining or not owned, or the plan is unknown.
NOT_READY_RETRY_AFTER_S = 1.0


def estimate_work_s(
    shard: tables.Shard, plan_id: str, tasks: Iterable[entities.Task]
) -> float:
    """Return the sum of the expected run times of tasks, in seconds."""
    return sum(
        estimates.estimate_run_s(shard.estimates, plan_id, task.kind)
        for task in tasks
    )


def count_slots(shard: tables.Shard, now: float) -> int:
    """Return the number of slots that serve the shard's queue.

    These are the slots of the workers of all shards that this daemon owns, the
    slots at other daemons that its offloaded tasks occupy, and the slots that
    other daemons last reported as free.
    """
    own_slots = sum(
        worker.slots
        for owned in spilling.list_owned_shards(shard, now)
        for worker in owned.workers.values()
        if not worker.leaving
    )
    offloaded = sum(len(batch.indexes) for batch in shard.batches.values())
    idle_slots = sum(
        entry.free
        for entry in shard.shard_directory.entries.values()
        if entry.daemon_id != shard.daemon_id
    )
    return own_slots + offloaded + idle_slots


def decide(
    shard: tables.Shard, job: entities.Job, now: float
) -> verdicts.Refused | None:
    """Return the refusal of a job, or None if the job is accepted."""
    plan = shard.declared.plans.get(job.plan_id)
    if shard.draining:
        return _refuse(job, verdicts.Reason.DRAINING, NOT_READY_RETRY_AFTER_S)
    if plan is None or not shard.ownership_is_held(now):
        return _refuse(job, verdicts.Reason.NOT_READY, NOT_READY_RETRY_AFTER_S)
    infeasible = find_infeasibility(shard, plan, job, now)
    if infeasible:
        return verdicts.Refused(
            job.job_id, verdicts.Reason.NEVER_RUNS, None, infeasible
        )
    if _is_full(shard, plan, job):
        return _refuse(job, verdicts.Reason.OVERLOAD, MIN_RETRY_AFTER_S)
    return _refuse_overload(shard, plan, job, now) or _refuse_allowance(
        shard, plan, job
    )


def _is_full(
    shard: tables.Shard, plan: declarations.Plan, job: entities.Job
) -> bool:
    """Return whether too many jobs are open to accept one of this customer.

    At `max_queued_jobs` open jobs and batches, a customer is refused if its own
    queued jobs reach its fair share of that number. One customer with many
    small jobs therefore can't keep others out. At twice the number, every job
    is refused.
    """
    max_jobs = shard.limits.max_queued_jobs
    if len(shard.groups) < max_jobs:
        return False
    flow_id = (job.customer_id, job.plan_id)
    fair_share = fairness.compute_fair_share(shard.queue, flow_id, plan.weight)
    flow = shard.queue.flows.get(flow_id)
    own_jobs = len(flow.due) if flow else 0
    return (
        own_jobs >= max_jobs * fair_share or len(shard.groups) >= 2 * max_jobs
    )


def find_infeasibility(
    shard: tables.Shard,
    plan: declarations.Plan,
    job: entities.Job,
    now: float,
) -> str:
    """Return why the job could not finish even alone, or an empty string.

    The check uses the shortest recent run time of each kind. The mean may come
    from a slow hour, and a kind refused because of it would never run again
    and so never show that it has become faster.
    """
    unknown = [task.kind for task in job.tasks if task.kind not in plan.kinds]
    if unknown:
        return f"plan {plan.plan_id} has no kind {unknown[0]}"
    allowed = plan.allowance
    deadline_s = min(job.deadline_s, plan.deadline_s)
    if allowed.running_tasks < 1:
        return f"plan {plan.plan_id} may run no task"
    startable = allowed.burst + allowed.starts_per_s * deadline_s
    if len(job.tasks) > startable:
        return f"{len(job.tasks)} tasks cannot start within the deadline"
    min_run_s = [
        estimates.get_recent_min_run_s(
            shard.estimates, plan.plan_id, task.kind, now
        )
        for task in job.tasks
    ]
    if max(sum(min_run_s) / allowed.running_tasks, *min_run_s) > deadline_s:
        return "its tasks take longer than the deadline at this allowance"
    return ""


def _refuse_overload(
    shard: tables.Shard,
    plan: declarations.Plan,
    job: entities.Job,
    now: float,
) -> verdicts.Refused | None:
    """Refuse a job whose customer would wait too long at its fair share.

    Returns:
        The refusal, or None if the job may be queued. Its retry delay lasts
        until the expected wait has fallen to half of the longest accepted one,
        but at least `MIN_RETRY_AFTER_S`.
    """
    flow_id = (job.customer_id, job.plan_id)
    work_s = estimate_work_s(shard, job.plan_id, job.tasks)
    slots = max(1, count_slots(shard, now))
    flow = shard.queue.flows.get(flow_id)
    queued_s = flow.work_s if flow else 0.0
    fair_share = fairness.compute_fair_share(shard.queue, flow_id, plan.weight)
    wait_s = queued_s / (slots * fair_share)
    mean_run_s = work_s / len(job.tasks)
    slack_s = max(0.0, min(job.deadline_s, plan.deadline_s) - mean_run_s)
    max_wait_s = min(shard.limits.max_queue_wait_s, slack_s)
    # A customer that recently got less than its fair share may queue more.
    ahead_s = fairness.get_ahead_s(shard.queue, flow_id, now)
    is_behind = ahead_s <= min(fairness.BURST_TOLERANCE_S, slack_s)
    if wait_s <= max_wait_s or is_behind:
        return None
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s - max_wait_s / 2)
    return _refuse(job, verdicts.Reason.OVERLOAD, retry_after_s)


def _refuse_allowance(
    shard: tables.Shard, plan: declarations.Plan, job: entities.Job
) -> verdicts.Refused | None:
    """Refuse a job that the plan's allowance can't start in time.

    The wait is computed from this shard's part of the plan's start rate and
    burst. It may reach the deadline, but at most twice `max_queue_wait_s`. The
    check applies only to plans with tasks that lacked allowance when tasks were
    last placed.

    Returns:
        The refusal, or None if the job may be queued. Its retry delay lasts
        until the expected wait has fallen to half of the longest accepted one,
        but at least `MIN_RETRY_AFTER_S`.
    """
    allowed = plan.allowance
    queued = sum(
        flow.tasks
        for (_, plan_id), flow in shard.queue.flows.items()
        if plan_id == plan.plan_id
    )
    shards = max(1, len(shard.all_shard_ids))
    rate = allowed.starts_per_s / shards
    deadline_s = min(job.deadline_s, plan.deadline_s)
    wait_s = (queued + len(job.tasks) - allowed.burst / shards) / rate
    max_wait_s = min(deadline_s, 2 * shard.limits.max_queue_wait_s)
    is_awaiting_allowance = any(
        plan_id == plan.plan_id for _, plan_id in shard.awaiting_allowance
    )
    if wait_s <= max_wait_s or not is_awaiting_allowance:
        return None
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s - max_wait_s / 2)
    return _refuse(job, verdicts.Reason.ALLOWANCE, retry_after_s)


def _refuse(
    job: entities.Job, reason: verdicts.Reason, retry_after_s: float
) -> verdicts.Refused:
    """Return a refusal; the retry delay is rounded up to tenths of a second."""
    return verdicts.Refused(
        job.job_id, reason, math.ceil(retry_after_s * 10) / 10, reason.value
    )
