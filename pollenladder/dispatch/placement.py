"""Give waiting tasks to free slots of the shard's workers."""

from pollenladder.dispatch import fairness
from pollenladder.dispatch import tables
from pollenladder.membership import health
from pollenladder.membership import ownership
from pollenladder.plans import escrow

# A reply may come this long after the worker must have stopped the task.
REPLY_MARGIN_S = 2.0
# A worker on probation gets tasks of small jobs only, as a failure fails the
# whole job.
PROBATION_MAX_TASKS = 5


def count_free(shard: tables.Shard, worker: tables.Worker, now: float) -> int:
    """Count the slots of a worker that may be given work now."""
    if worker.leaving or not ownership.may_start(
        shard.ownership, worker.worker_id, now
    ):
        return 0
    limit = health.get_limit(shard.health, worker.worker_id, worker.slots, now)
    return max(0, limit - worker.running - count_foreign(worker, now))


def count_foreign(worker: tables.Worker, now: float) -> int:
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


def place(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Start tasks on free slots, in fair order, as far as allowances go."""
    if not ownership.owns(shard.ownership, now):
        return []
    free = {
        worker.worker_id: slots
        for worker in shard.workers.values()
        if (slots := count_free(shard, worker, now))
    }
    effects: list[tables.Effect] = []
    blocked: set[tuple[str, str]] = set()
    lines = fairness.iterate_lines(
        shard.queue, lambda line_id: line_id not in blocked
    )
    for line_id, line in lines:
        if not free:
            break
        effect = _start_next(shard, line_id, line, free, now)
        if effect is None:
            blocked.add(line_id)
        else:
            effects.append(effect)
    return effects


def _start_next(
    shard: tables.Shard,
    line_id: tuple[str, str],
    line: fairness.Line,
    free: dict[str, int],
    now: float,
) -> tables.StartTask | None:
    """Start the next task of a line; None if it has to wait."""
    group = shard.groups[next(iter(line.job_ids))]
    if now >= group.start_by:
        return None
    worker_id = _choose_worker(shard, group, free)
    if worker_id is None:
        return None
    index = group.waiting[-1]
    if not take_unit(shard, group, index, now):
        return None
    take_waiting(shard, group, index)
    free[worker_id] -= 1
    if not free[worker_id]:
        del free[worker_id]
    return _start(shard, group, index, worker_id)


def _choose_worker(
    shard: tables.Shard, group: tables.Group, free: dict[str, int]
) -> str | None:
    """Return the fastest worker with the most free slots, or None."""
    small = len(group.tasks) <= PROBATION_MAX_TASKS and not group.is_guest
    best = None
    best_score = 0.0
    for worker_id, slots in free.items():
        probing = health.is_quarantined(shard.health, worker_id)
        if probing and small:
            return worker_id
        if probing:
            continue
        score = health.get_speed(shard.health, worker_id) * (
            slots / shard.workers[worker_id].slots + 1
        )
        if score > best_score:
            best, best_score = worker_id, score
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
    if group.is_guest or index in group.units:
        return True
    plan_id = group.line[1]
    needed_s = start_within_s + get_max_run_s(shard, group, index)
    unit = escrow.take(shard.ledger, plan_id, needed_s, now)
    if unit is None:
        shard.stalled[group.line] = shard.queue.lines[group.line].tasks
        return False
    group.units[index] = unit
    return True


def take_waiting(shard: tables.Shard, group: tables.Group, index: int) -> None:
    """Move a task out of the queue, as it is about to get a slot."""
    group.waiting.remove(index)
    work_s = group.expected_s[index]
    fairness.charge(shard.queue, group.line, work_s)
    fairness.remove_work(
        shard.queue, group.line, group.group_id, 1, work_s, not group.waiting
    )


def get_max_run_s(
    shard: tables.Shard, group: tables.Group, index: int
) -> float:
    """Return for how long a task may run at most, in seconds."""
    plan = shard.declared.plans[group.line[1]]
    return plan.kinds[group.tasks[index].kind].max_run_s


def _start(
    shard: tables.Shard, group: tables.Group, index: int, worker_id: str
) -> tables.StartTask:
    worker = shard.workers[worker_id]
    worker.running += 1
    group.started[index] = worker_id
    group.attempts[index] = group.attempts.get(index, 0) + 1
    max_run_s = get_max_run_s(shard, group, index)
    shard.retry_tokens = min(
        shard.limits.retry_burst,
        shard.retry_tokens + shard.limits.retry_ratio,
    )
    return tables.StartTask(
        worker_id=worker_id,
        start_id=tables.format_start_id(group.job_id, index),
        group_id=group.group_id,
        index=index,
        job_id=group.job_id,
        line=group.line,
        task=group.tasks[index],
        max_run_s=max_run_s,
        wait_s=max_run_s + REPLY_MARGIN_S,
    )
