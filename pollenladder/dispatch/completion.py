"""Collect results, retry what has not run, and answer whole groups."""

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

# For how long the answer of an ended group is kept and its id refused.
ENDED_KEPT_S = 15.0
# Time a request may take to reach a worker, on top of the longest run.
TRANSIT_S = 3.0
# A worker that refused a task as busy gets none for so long, then longer.
BUSY_PAUSE_S = 0.1
MAX_BUSY_DOUBLINGS = 5
# A task dropped for one of these has not run, but is not to run either.
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
    """Take in the end of a start that this owner has sent.

    Args:
        shard: The shard of the group.
        effect: The start.
        result: How it ended.
        now: Monotonic time in seconds.
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
    worker = host.workers.get(effect.worker_ref.worker_id)
    if worker is None:
        return
    worker.running -= 1
    if result.reason is verdicts.Reason.BUSY:
        # It looks free to us, and would be chosen again and again.
        doublings = min(worker.refusals, MAX_BUSY_DOUBLINGS)
        worker.busy_until = now + BUSY_PAUSE_S * 2**doublings
        worker.refusals += 1
    elif result.verdict is verdicts.Verdict.RAN:
        worker.refusals = 0


def settle_results(
    shard: tables.Shard,
    group: tables.Group,
    results: Mapping[int, verdicts.TaskResult],
    now: float,
) -> list[tables.Effect]:
    """Record results by place, or queue again what has not run.

    All of them are recorded before the group is answered, so that none of its
    verdicts is vaguer than what is known.
    """
    failed = [r for r in results.values() if _is_failure(r)]
    retryable = [i for i, r in results.items() if _is_retryable(r)]
    again = [
        index
        for index in retryable
        if not failed and _may_retry(shard, group, index)
    ]
    # What a guest has not run is queued again by the owner that sent it.
    if len(again) < len(retryable) and not group.is_remote:
        failed = failed or [results[index] for index in retryable]
        again = []
    for index, result in results.items():
        if index not in again:
            group.results[index] = result
            release_unit(shard, group, index, result.verdict, now)
    if failed:
        return fail_group(shard, group, _choose_reason(failed), now)
    for index in again:
        _requeue(shard, group, index, now)
    if len(group.results) < len(group.tasks):
        return []
    return _complete_group(shard, group, now)


def _is_retryable(result: verdicts.TaskResult) -> bool:
    is_final = result.reason in FINAL_REASONS
    return result.verdict.allows_retry() and not is_final


def _is_failure(result: verdicts.TaskResult) -> bool:
    return result.reason is not verdicts.Reason.OK and not _is_retryable(result)


def _choose_reason(failed: list[verdicts.TaskResult]) -> verdicts.Reason:
    """Return the cause of a failure rather than what followed from it."""
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
    """Give a task's unit back, or hold it while the task may still run."""
    if verdict is not verdicts.Verdict.MAY_HAVE_RUN:
        _end_hosting(shard, group, index)
    unit = group.units.pop(index, None)
    if unit is None:
        return
    if verdict is verdicts.Verdict.MAY_HAVE_RUN:
        max_run_s = placement.get_max_run_s(shard, group, index)
        start_by = max(now, group.offloaded_start_by.get(index, now))
        escrow.hold(shard.ledger, unit, start_by + max_run_s + TRANSIT_S)
    else:
        escrow.give_back(shard.ledger, unit, now)


def _end_hosting(shard: tables.Shard, group: tables.Group, index: int) -> None:
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
    """Answer a group that cannot complete, at once, and drop the rest of it."""
    effects = _drop_rest(shard, group, reason, now)
    results = tuple(group.results[index] for index in group.tasks)
    if group.is_remote:
        return effects + _answer(shard, group, results, None, now)
    untouched = all(r.verdict is verdicts.Verdict.NOT_RUN for r in results)
    retry_after_s = 1.0 if untouched else None
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
    """Refuse a job of which nothing has begun."""
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
    del shard.groups[group.group_id]
    if answer is None:
        result = messages.BatchResult(group.group_id, results)
        remember_ended(shard, group.group_id, result, now)
        return [tables.SendMessage(group.reply_to, result)]
    _record_key(shard, group, answer)
    message = messages.pack_answer(answer)
    remember_ended(shard, group.group_id, message, now)
    effects: list[tables.Effect] = [tables.SendMessage(group.reply_to, message)]
    for job_id, daemon_id in group.followers.items():
        copy = messages.pack_answer(keys.relabel(answer, job_id))
        del shard.followed[job_id]
        remember_ended(shard, job_id, copy, now)
        effects.append(tables.SendMessage(daemon_id, copy))
    return effects


def remember_ended(
    shard: tables.Shard, group_id: str, message: object, now: float
) -> None:
    """Keep an answer for a while, and keep the group from starting again."""
    shard.ended[group_id] = tables.Ended(message, now + ENDED_KEPT_S)


def forget_ended(shard: tables.Shard, now: float) -> None:
    """Drop answers that no late frame can ask for; the oldest come first."""
    while shard.ended:
        group_id = next(iter(shard.ended))
        if shard.ended[group_id].forget_at > now:
            return
        del shard.ended[group_id]


def _record_key(
    shard: tables.Shard, group: tables.Group, answer: verdicts.Answer
) -> None:
    """Keep the answer under the key, or free the key if nothing has run."""
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


def _drop_rest(
    shard: tables.Shard,
    group: tables.Group,
    reason: verdicts.Reason,
    now: float,
) -> list[tables.Effect]:
    """Give every open task of a group its final result."""
    is_final = reason in FINAL_REASONS
    rest = reason if is_final else verdicts.Reason.SIBLING_FAILED
    _drop_waiting(shard, group, rest, now)
    effects = _drop_started(shard, group, rest, now)
    return effects + _drop_spilled(shard, group, rest, now)


def hand_back_waiting(
    shard: tables.Shard, group: tables.Group, now: float
) -> list[tables.Effect]:
    """Give a guest's tasks that may not start any more back to their owner."""
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
    stops: dict[tables.WorkerRef, list[str]] = {}
    for index, place in group.started.items():
        start_id = tables.format_start_id(group.job_id, index)
        stops.setdefault(place, []).append(start_id)
        _mark_uncertain(shard, group, index, reason, now)
    group.started.clear()
    return [
        tables.StopTasks(place, tuple(start_ids))
        for place, start_ids in stops.items()
    ]


def _drop_spilled(
    shard: tables.Shard,
    group: tables.Group,
    reason: verdicts.Reason,
    now: float,
) -> list[tables.Effect]:
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
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    group.results[index] = verdicts.TaskResult(
        group.tasks[index].task_id, verdict, reason
    )
    release_unit(shard, group, index, verdict, now)


def _may_retry(shard: tables.Shard, group: tables.Group, index: int) -> bool:
    """Return whether the retry budget allows another start of a task."""
    if group.attempts.get(index, 0) >= shard.limits.max_attempts:
        return False
    if shard.retry_tokens < 1:
        return False
    shard.retry_tokens -= 1
    return True


def _requeue(
    shard: tables.Shard, group: tables.Group, index: int, now: float
) -> None:
    """Put a task that has not run back at the head of its line."""
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
