"""Whether a job is taken, decided once, when it comes.

Nothing that the caller declares is used: run times are those seen for the kind.
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

MIN_RETRY_AFTER_S = 1.0
NOT_READY_RETRY_AFTER_S = 1.0


def estimate_work_s(
    shard: tables.Shard, plan_id: str, tasks: Iterable[entities.Task]
) -> float:
    """Return the run time to expect of tasks, summed, in seconds."""
    return sum(
        estimates.estimate_run_s(shard.estimates, plan_id, task.kind)
        for task in tasks
    )


def count_slots(shard: tables.Shard, now: float) -> int:
    """Count the slots that the shard's queue can use: its own, and idle ones.

    Slots that others have lent by running our batches are counted by the tasks
    now there.
    """
    own = sum(
        worker.slots
        for owned in spilling.list_own_shards(shard, now)
        for worker in owned.workers.values()
        if not worker.leaving
    )
    offloaded = sum(len(batch.indexes) for batch in shard.batches.values())
    idle = sum(
        entry.free
        for entry in shard.shard_directory.entries.values()
        if entry.daemon_id != shard.daemon_id
    )
    return own + offloaded + idle


def decide(
    shard: tables.Shard, job: entities.Job, now: float
) -> verdicts.Refused | None:
    """Return why a job is refused, or None if it is taken."""
    plan = shard.declared.plans.get(job.plan_id)
    if shard.draining:
        return _refuse(job, verdicts.Reason.DRAINING, NOT_READY_RETRY_AFTER_S)
    if plan is None or not shard.ownership_is_held(now):
        return _refuse(job, verdicts.Reason.NOT_READY, NOT_READY_RETRY_AFTER_S)
    never = find_obstacle(shard, plan, job, now)
    if never:
        return verdicts.Refused(
            job.job_id, verdicts.Reason.NEVER_RUNS, None, never
        )
    if _is_full(shard, plan, job):
        return _refuse(job, verdicts.Reason.OVERLOAD, MIN_RETRY_AFTER_S)
    return _refuse_overload(shard, plan, job, now) or _refuse_allowance(
        shard, plan, job
    )


def _is_full(
    shard: tables.Shard, plan: declarations.Plan, job: entities.Job
) -> bool:
    """Return whether no more jobs are held, or none more of this customer.

    A customer with fewer jobs than its part is not shut out by the many small
    jobs of another.
    """
    most = shard.limits.max_queued_jobs
    if len(shard.groups) < most:
        return False
    line_id = (job.customer_id, job.plan_id)
    part = fairness.get_service_part(shard.queue, line_id, plan.weight)
    line = shard.queue.lines.get(line_id)
    own = len(line.due) if line else 0
    return own >= most * part or len(shard.groups) >= 2 * most


def find_obstacle(
    shard: tables.Shard,
    plan: declarations.Plan,
    job: entities.Job,
    now: float,
) -> str:
    """Return why the job could not run even alone, or an empty string.

    Of run times, the shortest seen lately counts: a mean may be that of a slow
    hour, and a kind refused by it would never be seen to have become faster.
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
    least_s = [
        estimates.get_least_run_s(shard.estimates, plan.plan_id, task.kind, now)
        for task in job.tasks
    ]
    if max(sum(least_s) / allowed.running_tasks, *least_s) > deadline_s:
        return "its tasks take longer than the deadline at this allowance"
    return ""


def _refuse_overload(
    shard: tables.Shard,
    plan: declarations.Plan,
    job: entities.Job,
    now: float,
) -> verdicts.Refused | None:
    """Bound the wait of each customer by its fair part of the slots."""
    line_id = (job.customer_id, job.plan_id)
    work_s = estimate_work_s(shard, job.plan_id, job.tasks)
    slots = max(1, count_slots(shard, now))
    line = shard.queue.lines.get(line_id)
    queued_s = line.work_s if line else 0.0
    part = fairness.get_service_part(shard.queue, line_id, plan.weight)
    wait_s = queued_s / (slots * part)
    longest_s = work_s / len(job.tasks)
    left_s = max(0.0, min(job.deadline_s, plan.deadline_s) - longest_s)
    bound_s = min(shard.limits.max_queue_wait_s, left_s)
    # Who had less than its part of late may catch up with a deeper backlog.
    ahead_s = fairness.get_ahead_s(shard.queue, line_id, now)
    is_behind = ahead_s <= min(fairness.TOLERANCE_S, left_s)
    if wait_s <= bound_s or is_behind:
        return None
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s - bound_s / 2)
    return _refuse(job, verdicts.Reason.OVERLOAD, retry_after_s)


def _refuse_allowance(
    shard: tables.Shard, plan: declarations.Plan, job: entities.Job
) -> verdicts.Refused | None:
    """Refuse what the plan's allowance cannot start in time."""
    allowed = plan.allowance
    queued = sum(
        line.tasks
        for (_, plan_id), line in shard.queue.lines.items()
        if plan_id == plan.plan_id
    )
    shards = max(1, len(shard.all_shard_ids))
    rate = allowed.starts_per_s / shards
    deadline_s = min(job.deadline_s, plan.deadline_s)
    wait_s = (queued + len(job.tasks) - allowed.burst / shards) / rate
    bound_s = min(deadline_s, 2 * shard.limits.max_queue_wait_s)
    is_stalled = any(plan_id == plan.plan_id for _, plan_id in shard.stalled)
    if wait_s <= bound_s or not is_stalled:
        return None
    retry_after_s = max(MIN_RETRY_AFTER_S, wait_s - bound_s / 2)
    return _refuse(job, verdicts.Reason.ALLOWANCE, retry_after_s)


def _refuse(
    job: entities.Job, reason: verdicts.Reason, retry_after_s: float
) -> verdicts.Refused:
    return verdicts.Refused(
        job.job_id, reason, math.ceil(retry_after_s * 10) / 10, reason.value
    )
