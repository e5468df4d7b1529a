"""Give waiting tasks to free slots of the workers of the shards owned here."""

from collections.abc import Collection

from pollenladder.dispatch import fairness
from pollenladder.dispatch import tables
from pollenladder.membership import health
from pollenladder.membership import ownership
from pollenladder.plans import escrow
from pollenladder.plans import ledgers
from pollenladder.plans import takeover

# A reply may come this long after the worker must have stopped the task.
REPLY_MARGIN_S = 2.0
# A worker on probation gets tasks of small jobs only, as a failure fails the
# whole job.
PROBATION_MAX_TASKS = 5


def count_free(shard: tables.Shard, worker: tables.Worker, now: float) -> int:
    """Count the slots of a worker that may be given work now."""
    if worker.leaving or now < worker.busy_until:
        return 0
    if not ownership.may_start(shard.ownership, worker.worker_id, now):
        return 0
    limit = health.get_task_limit(
        shard.health, worker.worker_id, worker.slots, now
    )
    return max(0, limit - worker.running - count_predecessor_tasks(worker, now))


def count_predecessor_tasks(worker: tables.Worker, now: float) -> int:
    """Count the tasks of earlier owners that may still run on a worker."""
    return sum(worker.foreign.values()) if now < worker.foreign_until else 0


def count_all_free(shard: tables.Shard, now: float) -> int:
    """Count the free slots of the shard, without those on probation."""
    if not ownership.owns(shard.ownership, now):
        return 0
    return sum(
        count_free(shard, worker, now)
        for worker in shard.workers.values()
        if not health.is_quarantined(shard.health, worker.worker_id)
    )


def place(shards: Collection[tables.Shard], now: float) -> list[tables.Effect]:
    """Start tasks on free slots, in order of due times, as allowances go.

    Args:
        shards: Those of this daemon, which share one queue.
        now: Monotonic time in seconds.
    """
    owned = [shard for shard in shards if shard.ownership_is_held(now)]
    if not owned:
        return []
    free = _list_free(owned, now)
    effects: list[tables.Effect] = []
    blocked: set[tuple[str, str]] = set()
    first = owned[0]
    lines = fairness.iterate_flows(
        first.queue, lambda line_id: line_id not in blocked
    )
    for line_id, line in lines:
        if not free:
            break
        group = first.groups[next(iter(line.due))]
        effect = _start_next(
            first.local_shards[group.shard_id], group, free, now
        )
        if effect is None:
            blocked.add(line_id)
        else:
            effects.append(effect)
    return effects


def _list_free(
    owned: Collection[tables.Shard], now: float
) -> dict[tables.WorkerRef, int]:
    """Return the free slots by worker, where there are any."""
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
    """Start the next task of a group; None if it has to wait."""
    if now >= group.start_by or not home.ownership_is_held(now):
        return None
    worker_place = _choose_worker(home, group, free)
    if worker_place is None:
        return None
    index = group.waiting[-1]
    if not take_unit(home, group, index, now):
        return None
    if not _host(home, group, index, worker_place, now):
        _give_unit_back(home, group, index, now)
        return None
    take_waiting(home, group, index)
    free[worker_place] -= 1
    if not free[worker_place]:
        del free[worker_place]
    return _start(home, group, index, worker_place)


def _host(
    home: tables.Shard,
    group: tables.Group,
    index: int,
    worker_place: tables.WorkerRef,
    now: float,
) -> bool:
    """Note a task of one shard that runs on another one's workers.

    A new owner of either shard asks for such tasks before it uses its share.
    """
    if worker_place.shard_id == home.shard_id:
        return True
    host = home.local_shards[worker_place.shard_id]
    start_id = tables.format_start_id(group.job_id, index)
    if group.is_remote:
        noted = home.ledger.hosted.get(start_id)
        return noted is None or takeover.start_hosting(
            host.ledger, noted, group.origin_epoch
        )
    hosted = ledgers.HostedTask(
        start_id,
        group.flow_id[1],
        home.shard_id,
        group.units[index].lender_id,
        now + get_max_run_s(home, group, index) + REPLY_MARGIN_S,
    )
    return takeover.start_hosting(host.ledger, hosted, home.ownership.epoch)


def _give_unit_back(
    shard: tables.Shard, group: tables.Group, index: int, now: float
) -> None:
    """Keep no unit for a task that waits on: a loan could end meanwhile."""
    unit = group.units.pop(index, None)
    if unit:
        escrow.give_back(shard.ledger, unit, now)


def _choose_worker(
    home: tables.Shard, group: tables.Group, free: dict[tables.WorkerRef, int]
) -> tables.WorkerRef | None:
    """Return the fastest worker with the most free slots, or None."""
    small = len(group.tasks) <= PROBATION_MAX_TASKS and not group.is_remote
    best = None
    best_score = 0.0
    for worker_place, slots in free.items():
        shard = home.local_shards[worker_place.shard_id]
        worker_id = worker_place.worker_id
        probing = health.is_quarantined(shard.health, worker_id)
        if probing and small:
            return worker_place
        if probing:
            continue
        score = health.get_speed(shard.health, worker_id) * (
            slots / shard.workers[worker_id].slots + 1
        )
        if score > best_score:
            best, best_score = worker_place, score
    return best


def take_unit(
    shard: tables.Shard,
    group: tables.Group,
    index: int,
    now: float,
    start_within_s: float = 0.0,
) -> bool:
    """Take a unit of the allowance for a task; a guest brings its own.

    Args:
        shard: The shard.
        group: The task's group.
        index: The task's place.
        now: Monotonic time in seconds.
        start_within_s: The unit must last if the task starts so late.
    """
    if group.is_remote or index in group.units:
        return True
    plan_id = group.flow_id[1]
    needed_s = start_within_s + get_max_run_s(shard, group, index)
    unit = escrow.take(shard.ledger, plan_id, needed_s, now)
    if unit is None:
        shard.stalled[group.flow_id] = shard.queue.lines[group.flow_id].tasks
        return False
    group.units[index] = unit
    return True


def take_waiting(shard: tables.Shard, group: tables.Group, index: int) -> None:
    """Move a task out of the queue, as it is about to get a slot."""
    group.waiting.remove(index)
    work_s = group.expected_s[index]
    fairness.remove_work(
        shard.queue, group.flow_id, group.group_id, 1, work_s, not group.waiting
    )


def get_max_run_s(
    shard: tables.Shard, group: tables.Group, index: int
) -> float:
    """Return for how long a task may run at most, in seconds."""
    plan = shard.declared.plans[group.flow_id[1]]
    return plan.kinds[group.tasks[index].kind].max_run_s


def _start(
    home: tables.Shard,
    group: tables.Group,
    index: int,
    worker_place: tables.WorkerRef,
) -> tables.StartTask:
    host = home.local_shards[worker_place.shard_id]
    host.workers[worker_place.worker_id].running += 1
    group.started[index] = worker_place
    group.attempts[index] = group.attempts.get(index, 0) + 1
    max_run_s = get_max_run_s(home, group, index)
    home.retry_tokens = min(
        home.limits.retry_burst, home.retry_tokens + home.limits.retry_ratio
    )
    return tables.StartTask(
        worker_ref=worker_place,
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
