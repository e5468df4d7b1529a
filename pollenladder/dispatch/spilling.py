"""Share work between shards: spill tasks that would wait, and ask for some."""

from collections.abc import Collection
import math

from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import directory
from pollenladder.dispatch import fairness
from pollenladder.dispatch import keys
from pollenladder.dispatch import placement
from pollenladder.dispatch import sharing
from pollenladder.dispatch import tables
from pollenladder.wire import messages

# A load is not trusted for longer than this.
LOAD_VALID_S = 1.0
# Up to so many shards, each tells the others at the full rate.
FULL_RATE_SHARDS = 32
# A guest that gets less time than this to start a task hands it back.
MIN_START_WITHIN_S = 0.1


def spill(shards: Collection[tables.Shard], now: float) -> list[tables.Effect]:
    """Send tasks that would wait here to shards believed to have free slots.

    Args:
        shards: Those of this daemon, which share one queue.
        now: Monotonic time in seconds.
    """
    first = next(iter(shards))
    surplus = _count_surplus(first, now)
    targets = _list_targets(first, now) if surplus > 0 else []
    picked: dict[tuple[str, str], list[int]] = {}
    blocked: set[tuple[str, str]] = set()
    lines = fairness.iterate_flows(
        first.queue, lambda line_id: line_id not in blocked
    )
    for line_id, line in lines:
        if not targets or surplus <= 0:
            break
        group = _find_own_group(first, line)
        if group is None or not _take_to_spill(first, group, now):
            blocked.add(line_id)
            continue
        target = targets[0]
        key = (target.shard_id, group.group_id)
        picked.setdefault(key, []).append(_pop_waiting(first, group))
        target.free -= 1
        surplus -= 1
        if target.free <= 0:
            targets.pop(0)
    return [
        _offer(
            first,
            first.shard_directory.entries[shard_id],
            group_id,
            indexes,
            now,
        )
        for (shard_id, group_id), indexes in picked.items()
    ]


def _take_to_spill(
    shard: tables.Shard, group: tables.Group, now: float
) -> bool:
    """Take a unit that leaves a guest the time to start the next task."""
    home = shard.local_shards[group.shard_id]
    if not home.ownership_is_held(now):
        return False
    index = group.waiting[-1]
    left_s = home.ledger.term_s - placement.get_max_run_s(home, group, index)
    if min(left_s, group.deadline_at - now) < MIN_START_WITHIN_S:
        return False
    return placement.take_unit(home, group, index, now, MIN_START_WITHIN_S)


def _pop_waiting(shard: tables.Shard, group: tables.Group) -> int:
    index = group.waiting[-1]
    placement.take_waiting(shard, group, index)
    return index


def list_own_shards(shard: tables.Shard, now: float) -> list[tables.Shard]:
    """Return the shards that this daemon owns now."""
    return [s for s in shard.local_shards.values() if s.ownership_is_held(now)]


def _count_surplus(shard: tables.Shard, now: float) -> int:
    """Count the tasks that would wait here for longer than is worth it."""
    waiting = shard.queue.tasks
    if not waiting:
        return 0
    slots = sum(
        worker.slots
        for own in list_own_shards(shard, now)
        for worker in own.workers.values()
        if not worker.leaving
    )
    mean_s = max(0.001, shard.queue.work_s / waiting)
    keep = math.floor(shard.limits.spill_wait_s * slots / mean_s)
    return waiting - keep


def _list_targets(
    shard: tables.Shard, now: float
) -> list[directory.ShardEntry]:
    """List shards with free slots: in this data centre first, most free first."""
    targets = [
        entry
        for entry in directory.iterate_others(
            shard.shard_directory, shard.shard_id
        )
        if entry.free > 0
        and now - entry.received_at < LOAD_VALID_S
        and entry.daemon_id != shard.daemon_id
    ]
    targets.sort(
        key=lambda entry: (
            directory.get_data_centre(entry.shard_id) != shard.data_centre,
            -entry.free,
        )
    )
    return targets


def _find_own_group(
    shard: tables.Shard, line: fairness.Line
) -> tables.Group | None:
    """Return the first group of a line that is not a guest."""
    for group_id in line.due:
        if not shard.groups[group_id].is_remote:
            return shard.groups[group_id]
    return None


def _offer(
    shard: tables.Shard,
    target: directory.ShardEntry,
    group_id: str,
    indexes: list[int],
    now: float,
) -> tables.SendMessage:
    group = shard.groups[group_id]
    home = shard.local_shards[group.shard_id]
    home.next_batch += 1
    batch_id = f"{home.batch_prefix}.{home.next_batch}"
    shard.batches[batch_id] = tables.Batch(
        batch_id,
        group_id,
        home.shard_id,
        target.shard_id,
        target.daemon_id,
        tuple(indexes),
    )
    start_within_s = compute_start_within_s(home, group, indexes, now)
    for index in indexes:
        group.offloaded[index] = batch_id
        group.offloaded_start_by[index] = now + start_within_s
    offer = messages.BatchOffer(
        batch_id=batch_id,
        from_shard_id=home.shard_id,
        from_epoch=home.ownership.epoch,
        shard_id=target.shard_id,
        job_id=group.job_id,
        customer_id=group.flow_id[0],
        plan_id=group.flow_id[1],
        waited_s=max(0.0, now - group.due_at),
        deadline_s=group.deadline_at - now,
        start_within_s=start_within_s,
        tasks=tuple(
            messages.BatchTask(
                index, group.tasks[index], group.units[index].lender_id
            )
            for index in indexes
        ),
    )
    return tables.SendMessage(target.daemon_id, offer)


def compute_start_within_s(
    shard: tables.Shard, group: tables.Group, indexes: list[int], now: float
) -> float:
    """Return for how long offloaded tasks may wait and still end in time.

    A new owner of this shard takes it that nothing of ours runs any more once
    a term of loans has passed, and a borrowed unit ends with its loan.
    """
    within_s = max(0.0, group.deadline_at - now)
    for index in indexes:
        max_run_s = placement.get_max_run_s(shard, group, index)
        unit = group.units[index]
        left_s = sharing.get_unit_left_s(shard, unit, now)
        within_s = min(within_s, left_s - max_run_s)
    return max(0.0, within_s)


def record_batch_result(
    shard: tables.Shard,
    message: messages.BatchResult,
    now: float,
    is_guess: bool = False,
) -> list[tables.Effect]:
    """Take in the results of a batch; what has not run is queued again.

    Args:
        shard: The shard that offloaded the batch.
        message: The results.
        now: Monotonic time in seconds.
        is_guess: Whether the results are not the word of the batch's guest,
            which may still start tasks of it.
    """
    batch = shard.batches.pop(message.batch_id, None)
    if batch is None or len(message.results) != len(batch.indexes):
        return []
    group = shard.groups.get(batch.group_id)
    if group is None:
        return []
    home = shard.local_shards[group.shard_id]
    results = {
        index: result
        for index, result in zip(batch.indexes, message.results, strict=True)
        if group.offloaded.pop(index, None) is not None
    }
    if not is_guess:
        # The guest knows: nothing of the batch starts from now on.
        for index in batch.indexes:
            group.offloaded_start_by.pop(index, None)
    return completion.settle_results(home, group, results, now)


def settle_lost_batches(
    shard: tables.Shard, daemon_id: str, now: float
) -> list[tables.Effect]:
    """Settle the batches sent to a daemon that is dead: they may have run."""
    lost = [b for b in shard.batches.values() if b.daemon_id == daemon_id]
    effects: list[tables.Effect] = []
    for batch in lost:
        results = tuple(
            verdicts.TaskResult(
                shard.groups[batch.group_id].tasks[index].task_id,
                verdicts.Verdict.MAY_HAVE_RUN,
                verdicts.Reason.OWNER_LOST,
            )
            for index in batch.indexes
            if batch.group_id in shard.groups
        )
        message = messages.BatchResult(batch.batch_id, results)
        effects += record_batch_result(shard, message, now, True)
    return effects


def query_batches(shard: tables.Shard, daemon_id: str) -> list[tables.Effect]:
    """Ask a daemon over a new link about batches sent over an older one."""
    effects: list[tables.Effect] = []
    for batch in shard.batches.values():
        if batch.daemon_id != daemon_id:
            continue
        group = shard.groups[batch.group_id]
        task_ids = tuple(group.tasks[i].task_id for i in batch.indexes)
        query = messages.BatchQuery(batch.shard_id, batch.batch_id, task_ids)
        effects.append(tables.SendMessage(daemon_id, query))
    return effects


def build_unsent_result(offer: messages.BatchOffer) -> messages.BatchResult:
    """Return the result of a batch that never left this daemon."""
    results = tuple(
        verdicts.TaskResult(
            item.task.task_id,
            verdicts.Verdict.NOT_RUN,
            verdicts.Reason.CONNECTION_LOST,
        )
        for item in offer.tasks
    )
    return messages.BatchResult(offer.batch_id, results)


def describe_load(shard: tables.Shard, now: float) -> messages.ShardLoad:
    """Return what other daemons are told of the shard."""
    stamp = keys.format_stamp(shard.keys, now) if shard.keys else ""
    expires_s = keys.get_stamp_expiry_s(shard.keys, now) if shard.keys else 0.0
    queued = shard.queue.tasks
    free = (
        0 if queued or shard.draining else placement.count_all_free(shard, now)
    )
    return messages.ShardLoad(
        shard_id=shard.shard_id,
        epoch=shard.ownership.epoch,
        free=free,
        queued=queued,
        slots=sum(worker.slots for worker in shard.workers.values()),
        stamp="" if shard.draining else stamp,
        stamp_expires_s=expires_s,
    )


def announce(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Tell other owners of free slots they could use, or of tasks that wait.

    An owner with tasks that wait tells all others once; those with free slots
    tell it so, at most at an interval, until it says that it has none left.
    """
    others = [
        entry
        for entry in directory.iterate_others(
            shard.shard_directory, shard.shard_id
        )
        if entry.daemon_id != shard.daemon_id
    ]
    # Counting free slots looks at every worker, and this runs at each tick.
    if not shard.queue.tasks and not any(entry.queued for entry in others):
        return []
    load = describe_load(shard, now)
    effects: list[tables.Effect] = []
    for entry in others:
        if _is_worth_telling(shard, entry, load, now):
            shard.announced[entry.shard_id] = now
            effects.append(tables.SendMessage(entry.daemon_id, load))
            _note_told(shard, entry.shard_id, load)
    return effects


def _is_worth_telling(
    shard: tables.Shard,
    entry: directory.ShardEntry,
    load: messages.ShardLoad,
    now: float,
) -> bool:
    since_s = now - shard.announced.get(entry.shard_id, -math.inf)
    if since_s < _get_announce_interval_s(shard):
        return False
    told_of_queue = entry.shard_id in shard.told_of_queue
    if load.free > 0 and entry.queued > 0:
        return True
    surplus = _count_surplus(shard, now) if load.queued else 0
    return surplus > 0 and entry.queued == 0 and not told_of_queue


def _get_announce_interval_s(shard: tables.Shard) -> float:
    """Return the least time between two messages to one owner.

    It grows with the shards, as an owner with tasks that wait hears from all.
    """
    crowd = len(shard.all_shard_ids) / FULL_RATE_SHARDS
    return shard.limits.announce_interval_s * max(1.0, crowd)


def _note_told(
    shard: tables.Shard, shard_id: str, load: messages.ShardLoad
) -> None:
    if load.queued:
        shard.told_of_queue.add(shard_id)
    else:
        shard.told_of_queue.discard(shard_id)


def answer_load(
    shard: tables.Shard, sender: str, load: messages.ShardLoad, now: float
) -> list[tables.Effect]:
    """Tell an owner that offers slots in vain that nothing waits any more."""
    if load.shard_id not in shard.told_of_queue or shard.queue.tasks:
        return []
    shard.told_of_queue.discard(load.shard_id)
    return [tables.SendMessage(sender, describe_load(shard, now))]
