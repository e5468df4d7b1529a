"""Collect task results, retry tasks that have not run, and answer groups."""

from collections.abc import Mapping

from pollenladder.core import verdicts
from pollenladder.dispatch import estimates
from pollenladder.dispatch import fairness
from pollenladder.dispatch import keys
from pollenladder.dispatch import placement
from pollenladder.dispatch import tables
from pollenladder.membership import health
from pollenladder.plans import escrow
from pollenladder.plans import takeover
from pollenladder.wire import messages

# The answer of a finished group is kept for this long, and offers with its id
# are ignored.
ANSWER_RETENTION_S = 15.0
# Longest time that a start request may take to reach a worker.
MAX_REQUEST_TRANSIT_S = 3.0
# A worker that refuses a task as busy gets no tasks for this long; the time
# doubles with each further refusal.
BUSY_PAUSE_S = 0.1
MAX_BUSY_DOUBLINGS = 5
# A task that ended for one of these reasons isn't retried, even if it has not
# run.
FINAL_REASONS = frozenset(
    {
        verdicts.Reason.CANCELLED,
        verdicts.Reason.DEADLINE,
        verdicts.Reason.SIBLING_FAILED,
    }
)


def record_start_outcome(
    shard: tables.Shard,
    effect: tables.StartTask,
    result: verdicts.TaskResult,
    now: float,
) -> list[tables.Effect]:
    """Process the result of a start that this daemon sent to a worker.

    Args:
        shard: The home shard of the task's group.
        effect: The start.
        result: The result of the start.
        now: Monotonic time in seconds.

    Returns:
        The effects to carry out.
    """
    host = shard.local_shards[effect.worker_ref.shard_id]
    _free_slot(host, effect, result, now)
    health.record_result(
        host.health,
        effect.worker_ref.worker_id,
        effect.task.kind,
        result.reason,
        result.run_s,
        now,
    )
    if result.reason is verdicts.Reason.OK:
        estimates.record_run(
            shard.estimates,
            effect.flow_id[1],
            effect.task.kind,
            result.run_s,
            now,
        )
    group = shard.groups.get(effect.group_id)
    if group is None or effect.index not in group.started:
        return []
    del group.started[effect.index]
    return settle_results(shard, group, {effect.index: result}, now)


def _free_slot(
    host: tables.Shard,
    effect: tables.StartTask,
    result: verdicts.TaskResult,
    now: float,
) -> None:
    """Free the worker's slot, and back off from a worker that was busy."""
    worker = host.workers.get(effect.worker_ref.worker_id)
    if worker is None:
        return
    worker.running -= 1
    if result.reason is verdicts.Reason.BUSY:
        # The worker still looks free here; without a pause it would be chosen
        # again at once.
        doublings = min(worker.busy_refusals, MAX_BUSY_DOUBLINGS)
        worker.busy_until = now + BUSY_PAUSE_S * 2**doublings
        worker.busy_refusals += 1
    elif result.verdict is verdicts.Verdict.RAN:
        worker.busy_refusals = 0


def settle_results(
    shard: tables.Shard,
    group: tables.Group,
    results: Mapping[int, verdicts.TaskResult],
    now: float,
) -> list[tables.Effect]:
    """Record task results, and requeue tasks that have not run.

    All results are recorded before the group is answered, so that each verdict
    in the answer is as precise as what is known.

    Args:
        shard: The group's home shard.
        group: The group.
        results: Results by task index.
        now: Monotonic time in seconds.

    Returns:
        The effects to carry out.
    """
    failed = [r for r in results.values() if _is_failure(r)]
    retryable = [i for i, r in results.items() if _is_retryable(r)]
    to_retry = [
        index
        for index in retryable
        if not failed and _may_retry(shard, group, index)
    ]
    # Tasks of a remote batch are requeued by the owner that sent the batch.
    if len(to_retry) < len(retryable) and not group.is_remote:
        failed = failed or [results[index] for index in retryable]
        to_retry = []
    for index, result in results.items():
        if index not in to_retry:
            group.results[index] = result
            release_unit(shard, group, index, result.verdict, now)
    if failed:
        return fail_group(shard, group, _choose_reason(failed), now)
    for index in to_retry:
        _requeue(shard, group, index, now)
    if len(group.results) < len(group.tasks):
        return []
    return _complete_group(shard, group, now)


def _is_retryable(result: verdicts.TaskResult) -> bool:
    """Return whether a task with this result may be started again."""
    is_final = result.reason in FINAL_REASONS
    return result.verdict.allows_retry() and not is_final


def _is_failure(result: verdicts.TaskResult) -> bool:
    """Return whether a task with this result fails its group."""
    return result.reason is not verdicts.Reason.OK and not _is_retryable(result)


def _choose_reason(failed: list[verdicts.TaskResult]) -> verdicts.Reason:
    """Return the first reason other than the failure of a sibling task."""
    sibling = verdicts.Reason.SIBLING_FAILED
    causes = [r.reason for r in failed if r.reason is not sibling]
    return causes[0] if causes else sibling


def release_unit(
    shard: tables.Shard,
    group: tables.Group,
    index: int,
    verdict: verdicts.Verdict,
    now: float,
) -> None:
    """Return a task's allowance unit, or hold it while the task may still run.

    A task that may have run keeps its unit until the latest time at which it
    could still be running.
    """
    if verdict is not verdicts.Verdict.MAY_HAVE_RUN:
        _end_hosting(shard, group, index)
    unit = group.units.pop(index, None)
    if unit is None:
        return
    if verdict is verdicts.Verdict.MAY_HAVE_RUN:
        max_run_s = placement.get_max_run_s(shard, group, index)
        start_by = max(now, group.offloaded_start_by.get(index, now))
        escrow.hold(
            shard.ledger, unit, start_by + max_run_s + MAX_REQUEST_TRANSIT_S
        )
    else:
        escrow.give_back(shard.ledger, unit, now)


def _end_hosting(shard: tables.Shard, group: tables.Group, index: int) -> None:
    """Delete the records of the task at shards that host it for another."""
    start_ids = (tables.format_start_id(group.job_id, index),)
    for host in shard.local_shards.values():
        if group.is_remote or host is not shard:
            takeover.end_hosting(host.ledger, start_ids)


def fail_group(
    shard: tables.Shard,
    group: tables.Group,
    reason: verdicts.Reason,
    now: float,
) -> list[tables.Effect]:
    """Answer a group that can't complete, and abandon its open tasks."""
    effects = _drop_open_tasks(shard, group, reason, now)
    results = tuple(group.results[index] for index in group.tasks)
    if group.is_remote:
        return effects + _answer(shard, group, results, None, now)
    nothing_ran = all(r.verdict is verdicts.Verdict.NOT_RUN for r in results)
    retry_after_s = 1.0 if nothing_ran else None
    answer: verdicts.Answer = verdicts.Failed(
        group.job_id, reason, results, retry_after_s
    )
    return effects + _answer(shard, group, results, answer, now)


def refuse_group(
    shard: tables.Shard,
    group: tables.Group,
    refused: verdicts.Refused,
    now: float,
) -> list[tables.Effect]:
    """Refuse a queued job of which no task has started."""
    _drop_waiting(shard, group, refused.reason, now)
    results = tuple(group.results[index] for index in group.tasks)
    return _answer(shard, group, results, refused, now)


def _complete_group(
    shard: tables.Shard, group: tables.Group, now: float
) -> list[tables.Effect]:
    results = tuple(group.results[index] for index in group.tasks)
    answer = (
        None if group.is_remote else verdicts.Complete(group.job_id, results)
    )
    return _answer(shard, group, results, answer, now)


def _answer(
    shard: tables.Shard,
    group: tables.Group,
    results: tuple[verdicts.TaskResult, ...],
    answer: verdicts.Answer | None,
    now: float,
) -> list[tables.Effect]:
    """Remove a group and send its answer, also to resubmissions of the job.

    Args:
        shard: The group's home shard.
        group: The group.
        results: Results in the order of the group's tasks.
        answer: The answer to a job; None for a remote batch.
        now: Monotonic time in seconds.
    """
    del shard.groups[group.group_id]
    if answer is None:
        result = messages.BatchResult(group.group_id, results)
        remember_ended(shard, group.group_id, result, now)
        return [tables.SendMessage(group.reply_to, result)]
    _settle_key(shard, group, answer)
    message = messages.pack_answer(answer)
    remember_ended(shard, group.group_id, message, now)
    effects: list[tables.Effect] = [tables.SendMessage(group.reply_to, message)]
    for job_id, daemon_id in group.followers.items():
        copy = messages.pack_answer(keys.copy_for_job(answer, job_id))
        del shard.followed_group_ids[job_id]
        remember_ended(shard, job_id, copy, now)
        effects.append(tables.SendMessage(daemon_id, copy))
    return effects


def remember_ended(
    shard: tables.Shard, group_id: str, message: object, now: float
) -> None:
    """Keep an answer for late queries; repeated offers are then ignored."""
    shard.ended_groups[group_id] = tables.EndedGroup(
        message, now + ANSWER_RETENTION_S
    )


def forget_ended(shard: tables.Shard, now: float) -> None:
    """Delete answers past their retention time; the oldest come first."""
    while shard.ended_groups:
        group_id = next(iter(shard.ended_groups))
        if shard.ended_groups[group_id].forget_at > now:
            return
        del shard.ended_groups[group_id]


def _settle_key(
    shard: tables.Shard, group: tables.Group, answer: verdicts.Answer
) -> None:
    """Store the answer under the job's key, or release the key.

    The key is released if no task of the job has run, so that the caller can
    submit the job again with it.
    """
    if group.key is None or shard.keys is None:
        return
    if group.key.epoch != shard.keys.epoch:
        return
    if isinstance(answer, verdicts.Refused) or all(
        result.verdict is verdicts.Verdict.NOT_RUN for result in answer.results
    ):
        keys.release_key(shard.keys, group.key)
        return
    keys.record_answer(shard.keys, group.key, answer)


def _drop_open_tasks(
    shard: tables.Shard,
    group: tables.Group,
    reason: verdicts.Reason,
    now: float,
) -> list[tables.Effect]:
    """Give every open task of a group its final result, and stop it.

    Returns:
        The effects that stop started tasks and cancel offloaded batches.
    """
    is_final = reason in FINAL_REASONS
    rest = reason if is_final else verdicts.Reason.SIBLING_FAILED
    _drop_waiting(shard, group, rest, now)
    effects = _drop_started(shard, group, rest, now)
    return effects + _drop_offloaded(shard, group, rest, now)


def return_waiting_tasks(
    shard: tables.Shard, group: tables.Group, now: float
) -> list[tables.Effect]:
    """Return the waiting tasks of a remote batch to the owner that sent it.

    The tasks end as not run. The batch is answered once all its tasks have
    ended.
    """
    _drop_waiting(shard, group, verdicts.Reason.BUSY, now)
    if len(group.results) < len(group.tasks):
        return []
    results = tuple(group.results[index] for index in group.tasks)
    return _answer(shard, group, results, None, now)


def _drop_waiting(
    shard: tables.Shard,
    group: tables.Group,
    reason: verdicts.Reason,
    now: float,
) -> None:
    """Record the waiting tasks as not run and remove them from the queue."""
    work_s = sum(group.expected_s[index] for index in group.waiting)
    if group.waiting:
        fairness.remove_work(
            shard.queue,
            group.flow_id,
            group.group_id,
            len(group.waiting),
            work_s,
            True,
        )
    for index in group.waiting:
        group.results[index] = verdicts.TaskResult(
            group.tasks[index].task_id, verdicts.Verdict.NOT_RUN, reason
        )
        release_unit(shard, group, index, verdicts.Verdict.NOT_RUN, now)
    group.waiting.clear()


def _drop_started(
    shard: tables.Shard,
    group: tables.Group,
    reason: verdicts.Reason,
    now: float,
) -> list[tables.Effect]:
    """Record the started tasks as uncertain and stop them on their workers."""
    stops: dict[tables.WorkerRef, list[str]] = {}
    for index, worker_ref in group.started.items():
        start_id = tables.format_start_id(group.job_id, index)
        stops.setdefault(worker_ref, []).append(start_id)
        _mark_uncertain(shard, group, index, reason, now)
    group.started.clear()
    return [
        tables.StopTasks(worker_ref, tuple(start_ids))
        for worker_ref, start_ids in stops.items()
    ]


def _drop_offloaded(
    shard: tables.Shard,
    group: tables.Group,
    reason: verdicts.Reason,
    now: float,
) -> list[tables.Effect]:
    """Record the offloaded tasks as uncertain and cancel their batches."""
    batch_ids = set(group.offloaded.values())
    for index in group.offloaded:
        _mark_uncertain(shard, group, index, reason, now)
    group.offloaded.clear()
    effects: list[tables.Effect] = []
    for batch_id in sorted(batch_ids):
        batch = shard.batches.pop(batch_id, None)
        if batch:
            cancel = messages.BatchCancel(batch.shard_id, (batch_id,))
            effects.append(tables.SendMessage(batch.daemon_id, cancel))
    return effects


def _mark_uncertain(
    shard: tables.Shard,
    group: tables.Group,
    index: int,
    reason: verdicts.Reason,
    now: float,
) -> None:
    """Record that a task may have run, and hold its allowance unit."""
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    group.results[index] = verdicts.TaskResult(
        group.tasks[index].task_id, verdict, reason
    )
    release_unit(shard, group, index, verdict, now)


def _may_retry(shard: tables.Shard, group: tables.Group, index: int) -> bool:
    """Take a token from the retry budget; return whether a retry is allowed."""
    if group.attempts.get(index, 0) >= shard.limits.max_attempts:
        return False
    if shard.retry_tokens < 1:
        return False
    shard.retry_tokens -= 1
    return True


def _requeue(
    shard: tables.Shard, group: tables.Group, index: int, now: float
) -> None:
    """Put a task that has not run back into the queue, first in its group."""
    release_unit(shard, group, index, verdicts.Verdict.NOT_RUN, now)
    group.waiting.append(index)
    fairness.add_work(
        shard.queue,
        group.flow_id,
        shard.get_weight(group.flow_id[1]),
        group.group_id,
        group.due_at,
        1,
        group.expected_s[index],
    )
