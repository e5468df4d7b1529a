"""Place waiting tasks on free slots of the workers of owned shards."""

from collections.abc import Collection

from pollenladder.dispatch import fairness
from pollenladder.dispatch import tables
from pollenladder.membership import health
from pollenladder.membership import ownership
from pollenladder.plans import escrow
from pollenladder.plans import ledgers
from pollenladder.plans import takeover

# Longest time between the worker's limit for a task and the arrival of its
# reply.
REPLY_MARGIN_S = 2.0
# A worker on probation gets tasks only of jobs up to this size, because a
# failed task fails its whole job.
PROBATION_MAX_TASKS = 5


def count_free(shard: tables.Shard, worker: tables.Worker, now: float) -> int:
    """Return the number of slots of a worker on which tasks may start now."""
    if worker.leaving or now < worker.busy_until:
        return 0
    if not ownership.may_start(shard.ownership, worker.worker_id, now):
        return 0
    limit = health.get_task_limit(
        shard.health, worker.worker_id, worker.slots, now
    )
    return max(0, limit - worker.running - count_predecessor_tasks(worker, now))


def count_predecessor_tasks(worker: tables.Worker, now: float) -> int:
    """Return how many tasks of earlier owners may still run on a worker."""
    return (
        sum(worker.predecessor_tasks.values())
        if now < worker.takeover_tasks_end_at
        else 0
    )


def count_free_in_shard(shard: tables.Shard, now: float) -> int:
    """Return the shard's free slots.

    Workers in quarantine or on probation are left out.
    """
    if not ownership.owns(shard.ownership, now):
        return 0
    return sum(
        count_free(shard, worker, now)
        for worker in shard.workers.values()
        if not health.is_quarantined(shard.health, worker.worker_id)
    )


def place_tasks(
    shards: Collection[tables.Shard], now: float
) -> list[tables.Effect]:
    """Start waiting tasks on free slots, in order of due times.

    A flow whose next task can't start, for instance for lack of allowance, is
    skipped until the next call.

    Args:
        shards: The shards of this daemon, which share one queue.
        now: Monotonic time in seconds.

    Returns:
        The starts to send to workers.
    """
    owned = [shard for shard in shards if shard.ownership_is_held(now)]
    if not owned:
        return []
    free = _list_free(owned, now)
    effects: list[tables.Effect] = []
    blocked: set[tuple[str, str]] = set()
    first = owned[0]
    flows = fairness.iterate_flows(
        first.queue, lambda flow_id: flow_id not in blocked
    )
    for flow_id, flow in flows:
        if not free:
            break
        group = first.groups[next(iter(flow.due))]
        effect = _start_next(
            first.local_shards[group.shard_id], group, free, now
        )
        if effect is None:
            blocked.add(flow_id)
        else:
            effects.append(effect)
    return effects


def _list_free(
    owned: Collection[tables.Shard], now: float
) -> dict[tables.WorkerRef, int]:
    """Return the number of free slots of each worker that has any."""
    return {
        tables.WorkerRef(shard.shard_id, worker.worker_id): slots
        for shard in owned
        for worker in shard.workers.values()
        if (slots := count_free(shard, worker, now))
    }


def _start_next(
    home: tables.Shard,
    group: tables.Group,
    free: dict[tables.WorkerRef, int],
    now: float,
) -> tables.StartTask | None:
    """Start the next task of a group on a free slot.

    Args:
        home: The group's shard.
        group: The group.
        free: Free slots by worker; the slot used is subtracted.
        now: Monotonic time in seconds.

    Returns:
        The start, or None if the task has to wait.
    """
    if now >= group.start_by or not home.ownership_is_held(now):
        return None
    worker_ref = _choose_worker(home, group, free)
    if worker_ref is None:
        return None
    index = group.waiting[-1]
    if not take_unit(home, group, index, now):
        return None
    if not _record_hosted_task(home, group, index, worker_ref, now):
        _return_unit(home, group, index, now)
        return None
    remove_from_queue(home, group, index)
    free[worker_ref] -= 1
    if not free[worker_ref]:
        del free[worker_ref]
    return _start(home, group, index, worker_ref)


def _record_hosted_task(
    home: tables.Shard,
    group: tables.Group,
    index: int,
    worker_ref: tables.WorkerRef,
    now: float,
) -> bool:
    """Record a task of one shard that runs on another shard's worker.

    A new owner of either shard asks for these tasks before it uses the shard's
    allowance.

    Returns:
        Whether the task may run there; always True on a worker of its own
        shard.
    """
    if worker_ref.shard_id == home.shard_id:
        return True
    host = home.local_shards[worker_ref.shard_id]
    start_id = tables.format_start_id(group.job_id, index)
    if group.is_remote:
        hosted_task = home.ledger.hosted.get(start_id)
        return hosted_task is None or takeover.start_hosting(
            host.ledger, hosted_task, group.origin_epoch
        )
    hosted = ledgers.HostedTask(
        start_id,
        group.flow_id[1],
        home.shard_id,
        group.units[index].lender_id,
        now + get_max_run_s(home, group, index) + REPLY_MARGIN_S,
    )
    return takeover.start_hosting(host.ledger, hosted, home.ownership.epoch)


def _return_unit(
    shard: tables.Shard, group: tables.Group, index: int, now: float
) -> None:
    """Return the unit of a task that keeps waiting.

    The unit may be borrowed, and its loan could end before the task starts.
    """
    unit = group.units.pop(index, None)
    if unit:
        escrow.give_back(shard.ledger, unit, now)


def _choose_worker(
    home: tables.Shard, group: tables.Group, free: dict[tables.WorkerRef, int]
) -> tables.WorkerRef | None:
    """Return the worker for the next task of a group, or None.

    A worker on probation comes first if the job is small enough. Otherwise the
    worker with the best product of its speed and 1 plus its fraction of free
    slots is chosen; workers in quarantine or on probation are left out.
    """
    allows_probation = (
        len(group.tasks) <= PROBATION_MAX_TASKS and not group.is_remote
    )
    best = None
    best_score = 0.0
    for worker_ref, slots in free.items():
        shard = home.local_shards[worker_ref.shard_id]
        worker_id = worker_ref.worker_id
        on_probation = health.is_quarantined(shard.health, worker_id)
        if on_probation and allows_probation:
            return worker_ref
        if on_probation:
            continue
        score = health.get_speed(shard.health, worker_id) * (
            slots / shard.workers[worker_id].slots + 1
        )
        if score > best_score:
            best, best_score = worker_ref, score
    return best


def take_unit(
    shard: tables.Shard,
    group: tables.Group,
    index: int,
    now: float,
    start_within_s: float = 0.0,
) -> bool:
    """Take a unit of the plan's allowance for a task.

    A remote batch needs none, as its owner holds a unit for each of its tasks.

    Args:
        shard: The group's shard.
        group: The task's group.
        index: The task's index in its job.
        now: Monotonic time in seconds.
        start_within_s: The unit must last for a run that starts this many
            seconds from now.

    Returns:
        Whether the task has a unit or needs none.
    """
    if group.is_remote or index in group.units:
        return True
    plan_id = group.flow_id[1]
    needed_s = start_within_s + get_max_run_s(shard, group, index)
    unit = escrow.take(shard.ledger, plan_id, needed_s, now)
    if unit is None:
        shard.awaiting_allowance[group.flow_id] = shard.queue.flows[
            group.flow_id
        ].tasks
        return False
    group.units[index] = unit
    return True


def remove_from_queue(
    shard: tables.Shard, group: tables.Group, index: int
) -> None:
    """Remove a task that gets a slot or is offloaded from the queue."""
    group.waiting.remove(index)
    work_s = group.expected_s[index]
    fairness.remove_work(
        shard.queue, group.flow_id, group.group_id, 1, work_s, not group.waiting
    )


def get_max_run_s(
    shard: tables.Shard, group: tables.Group, index: int
) -> float:
    """Return the maximum run time of a task, in seconds."""
    plan = shard.declared.plans[group.flow_id[1]]
    return plan.kinds[group.tasks[index].kind].max_run_s


def _start(
    home: tables.Shard,
    group: tables.Group,
    index: int,
    worker_ref: tables.WorkerRef,
) -> tables.StartTask:
    """Record a task as started and return its start."""
    host = home.local_shards[worker_ref.shard_id]
    host.workers[worker_ref.worker_id].running += 1
    group.started[index] = worker_ref
    group.attempts[index] = group.attempts.get(index, 0) + 1
    max_run_s = get_max_run_s(home, group, index)
    home.retry_tokens = min(
        home.limits.retry_burst, home.retry_tokens + home.limits.retry_ratio
    )
    return tables.StartTask(
        worker_ref=worker_ref,
        home_shard_id=home.shard_id,
        start_id=tables.format_start_id(group.job_id, index),
        group_id=group.group_id,
        index=index,
        job_id=group.job_id,
        flow_id=group.flow_id,
        task=group.tasks[index],
        max_run_s=max_run_s,
        wait_s=max_run_s + REPLY_MARGIN_S,
    )
