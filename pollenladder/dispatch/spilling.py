"""Offloading ("spilling") of waiting tasks to other shards.

A shard whose tasks would wait too long sends batches of them to shards with
free slots. Owners announce waiting tasks and free slots to each other.
"""

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

# An older load report isn't used to choose targets.
LOAD_VALID_S = 1.0
# With more shards than this, announcements become less frequent in proportion.
FULL_RATE_SHARDS = 32
# A remote owner needs at least this time to start an offloaded task; with less
# it would return the task.
MIN_START_WITHIN_S = 0.1


def offload(
    shards: Collection[tables.Shard], now: float
) -> list[tables.Effect]:
    """Offload tasks that would wait here to shards assumed to have free slots.

    Args:
        shards: The shards of this daemon, which share one queue.
        now: Monotonic time in seconds.

    Returns:
        The batch offers to send.
    """
    first = next(iter(shards))
    surplus = _count_surplus(first, now)
    targets = _list_targets(first, now) if surplus > 0 else []
    chosen: dict[tuple[str, str], list[int]] = {}
    blocked: set[tuple[str, str]] = set()
    flows = fairness.iterate_flows(
        first.queue, lambda flow_id: flow_id not in blocked
    )
    for flow_id, flow in flows:
        if not targets or surplus <= 0:
            break
        group = _find_local_group(first, flow)
        if group is None or not _reserve_unit_to_offload(first, group, now):
            blocked.add(flow_id)
            continue
        target = targets[0]
        key = (target.shard_id, group.group_id)
        chosen.setdefault(key, []).append(_remove_next_task(first, group))
        target.free -= 1
        surplus -= 1
        if target.free <= 0:
            targets.pop(0)
    return [
        _create_batch(
            first,
            first.shard_directory.entries[shard_id],
            group_id,
            indexes,
            now,
        )
        for (shard_id, group_id), indexes in chosen.items()
    ]


def _reserve_unit_to_offload(
    shard: tables.Shard, group: tables.Group, now: float
) -> bool:
    """Take an allowance unit for the next task of a group, to offload it.

    Returns:
        False if the unit or the deadline leaves a remote owner less than
        `MIN_START_WITHIN_S` to start the task, or if no unit is available.
    """
    home = shard.local_shards[group.shard_id]
    if not home.ownership_is_held(now):
        return False
    index = group.waiting[-1]
    left_s = home.ledger.term_s - placement.get_max_run_s(home, group, index)
    if min(left_s, group.deadline_at - now) < MIN_START_WITHIN_S:
        return False
    return placement.take_unit(home, group, index, now, MIN_START_WITHIN_S)


def _remove_next_task(shard: tables.Shard, group: tables.Group) -> int:
    """Remove the next task of a group from the queue and return its index."""
    index = group.waiting[-1]
    placement.remove_from_queue(shard, group, index)
    return index


def list_owned_shards(shard: tables.Shard, now: float) -> list[tables.Shard]:
    """Return the shards that this daemon owns now."""
    return [s for s in shard.local_shards.values() if s.ownership_is_held(now)]


def _count_surplus(shard: tables.Shard, now: float) -> int:
    """Return the number of queued tasks that would wait for too long here.

    These are the tasks beyond those that the daemon's own slots can start
    within `offload_wait_s`.
    """
    waiting = shard.queue.tasks
    if not waiting:
        return 0
    slots = sum(
        worker.slots
        for own in list_owned_shards(shard, now)
        for worker in own.workers.values()
        if not worker.leaving
    )
    mean_s = max(0.001, shard.queue.work_s / waiting)
    startable = math.floor(shard.limits.offload_wait_s * slots / mean_s)
    return waiting - startable


def _list_targets(
    shard: tables.Shard, now: float
) -> list[directory.ShardEntry]:
    """Return the shards of other daemons with free slots, best first.

    Shards of this data centre come first, then those with more free slots.
    """
    targets = [
        entry
        for entry in directory.iterate_other_shards(
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


def _find_local_group(
    shard: tables.Shard, flow: fairness.Flow
) -> tables.Group | None:
    """Return the first group of a flow that is not a remote batch, or None."""
    for group_id in flow.due:
        if not shard.groups[group_id].is_remote:
            return shard.groups[group_id]
    return None


def _create_batch(
    shard: tables.Shard,
    target: directory.ShardEntry,
    group_id: str,
    indexes: list[int],
    now: float,
) -> tables.SendMessage:
    """Record a batch of tasks as offloaded and return its offer.

    Args:
        shard: Any shard of this daemon.
        target: The shard to run the tasks.
        group_id: The group of the tasks.
        indexes: Indexes of the tasks in their job.
        now: Monotonic time in seconds.
    """
    group = shard.groups[group_id]
    home = shard.local_shards[group.shard_id]
    home.last_batch_number += 1
    batch_id = f"{home.batch_id_prefix}.{home.last_batch_number}"
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
    """Return within how many seconds offloaded tasks must start.

    The tasks must start before the job's deadline and end while their units
    are valid. A borrowed unit ends with its loan. An own unit lasts one loan
    term, after which a new owner of this shard assumes that no task of its
    predecessor is running.
    """
    within_s = max(0.0, group.deadline_at - now)
    for index in indexes:
        max_run_s = placement.get_max_run_s(shard, group, index)
        unit = group.units[index]
        left_s = sharing.get_unit_remaining_s(shard, unit, now)
        within_s = min(within_s, left_s - max_run_s)
    return max(0.0, within_s)


def record_batch_result(
    shard: tables.Shard,
    message: messages.BatchResult,
    now: float,
    is_inferred: bool = False,
) -> list[tables.Effect]:
    """Record the results of a batch, and requeue tasks that have not run.

    Args:
        shard: The shard that offloaded the batch.
        message: The results.
        now: Monotonic time in seconds.
        is_inferred: Whether the results were inferred from the loss of the
            remote owner, which may still start tasks of the batch.

    Returns:
        The effects to carry out.
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
    if not is_inferred:
        # The remote owner has answered, so it starts no more of these tasks.
        for index in batch.indexes:
            group.offloaded_start_by.pop(index, None)
    return completion.settle_results(home, group, results, now)


def settle_lost_batches(
    shard: tables.Shard, daemon_id: str, now: float
) -> list[tables.Effect]:
    """End the batches at a dead daemon; their tasks may have run."""
    lost_batches = [
        b for b in shard.batches.values() if b.daemon_id == daemon_id
    ]
    effects: list[tables.Effect] = []
    for batch in lost_batches:
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
    """Return queries about the batches at a daemon, for use after a new link.

    Their results may have been lost with the earlier link.
    """
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
    """Return the result of a batch whose offer never left this daemon."""
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
    """Return the load report that other daemons get for the shard."""
    stamp = keys.format_stamp(shard.keys, now) if shard.keys else ""
    expires_s = keys.get_stamp_expiry_s(shard.keys, now) if shard.keys else 0.0
    queued = shard.queue.tasks
    free = (
        0
        if queued or shard.draining
        else placement.count_free_in_shard(shard, now)
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


def announce_load(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Announce waiting tasks or free slots to the owners of other shards.

    An owner with surplus tasks announces them to all others once. Owners with
    free slots then report these to it, at most once per announce interval,
    until it reports that no tasks are waiting.
    """
    others = [
        entry
        for entry in directory.iterate_other_shards(
            shard.shard_directory, shard.shard_id
        )
        if entry.daemon_id != shard.daemon_id
    ]
    # Counting free slots visits every worker, and this runs in each pass.
    if not shard.queue.tasks and not any(entry.queued for entry in others):
        return []
    load = describe_load(shard, now)
    effects: list[tables.Effect] = []
    for entry in others:
        if _should_announce(shard, entry, load, now):
            shard.announced_at[entry.shard_id] = now
            effects.append(tables.SendMessage(entry.daemon_id, load))
            _record_announcement(shard, entry.shard_id, load)
    return effects


def _should_announce(
    shard: tables.Shard,
    entry: directory.ShardEntry,
    load: messages.ShardLoad,
    now: float,
) -> bool:
    """Return whether another shard's owner should get this load report now."""
    since_s = now - shard.announced_at.get(entry.shard_id, -math.inf)
    if since_s < _get_announce_interval_s(shard):
        return False
    notified_of_queue = entry.shard_id in shard.notified_of_queue
    if load.free > 0 and entry.queued > 0:
        return True
    surplus = _count_surplus(shard, now) if load.queued else 0
    return surplus > 0 and entry.queued == 0 and not notified_of_queue


def _get_announce_interval_s(shard: tables.Shard) -> float:
    """Return the least time between two announcements to one owner, in seconds.

    It grows with the number of shards, because an owner with waiting tasks
    gets announcements from all of them.
    """
    rate_divisor = len(shard.all_shard_ids) / FULL_RATE_SHARDS
    return shard.limits.announce_interval_s * max(1.0, rate_divisor)


def _record_announcement(
    shard: tables.Shard, shard_id: str, load: messages.ShardLoad
) -> None:
    """Record whether a shard's owner knows that tasks are waiting here."""
    if load.queued:
        shard.notified_of_queue.add(shard_id)
    else:
        shard.notified_of_queue.discard(shard_id)


def answer_load(
    shard: tables.Shard, sender: str, load: messages.ShardLoad, now: float
) -> list[tables.Effect]:
    """Reply to an owner that announces free slots when no tasks wait here.

    Returns:
        A load report that ends the announcements, if the owner last got one
        with waiting tasks; otherwise nothing.
    """
    if load.shard_id not in shard.notified_of_queue or shard.queue.tasks:
        return []
    shard.notified_of_queue.discard(load.shard_id)
    return [tables.SendMessage(sender, describe_load(shard, now))]
