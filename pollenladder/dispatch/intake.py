"""Receive jobs and batches, cancel them, and answer queries about them."""

from collections.abc import Iterable
import math

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.dispatch import admission
from pollenladder.dispatch import completion
from pollenladder.dispatch import estimates
from pollenladder.dispatch import fairness
from pollenladder.dispatch import keys
from pollenladder.dispatch import resubmissions
from pollenladder.dispatch import tables
from pollenladder.plans import ledgers
from pollenladder.plans import takeover
from pollenladder.wire import messages


def handle_job_offer(
    shard: tables.Shard, sender: str, offer: messages.JobOffer, now: float
) -> list[tables.Effect]:
    """Queue a job that a gateway offers, or answer it immediately.

    Args:
        shard: The shard that the offer names.
        sender: The gateway's daemon id.
        offer: The offer.
        now: Monotonic time in seconds.

    Returns:
        The effects to carry out; none if the job was queued, was handled
        before, or waits for the answer of an earlier job with its key.
    """
    job = offer.job
    if _is_known(shard, job.job_id):
        # A late or repeated message: the job was accepted or refused earlier.
        return []
    key = keys.parse_key(job.key, job.customer_id) if job.key else None
    if job.key:
        answered = resubmissions.resolve_key(shard, sender, job, key, now)
        if answered is not None:
            return answered
    else:
        shard = _find_owned_shard(shard, now)
    refused = admission.decide(shard, job, now)
    if refused:
        if key and shard.keys:
            keys.release_key(shard.keys, key)
        return [resubmissions.answer_at_once(shard, sender, refused, now)]
    _add_group(
        shard,
        group_id=job.job_id,
        job_id=job.job_id,
        reply_to=sender,
        is_remote=False,
        flow_id=(job.customer_id, job.plan_id),
        tasks=dict(enumerate(job.tasks)),
        deadline_s=_bound_deadline_s(shard, job),
        start_within_s=math.inf,
        due=_compute_due(shard, job, now),
        key=key,
        now=now,
    )
    return []


def _find_owned_shard(shard: tables.Shard, now: float) -> tables.Shard:
    """Return the given shard if this daemon owns it, else another owned one.

    A gateway offers a job to each daemon only once, so any shard that the
    daemon owns may accept it. If it owns none, the given shard is returned.
    """
    if shard.ownership_is_held(now):
        return shard
    ready = (s for s in shard.local_shards.values() if s.ownership_is_held(now))
    return next(ready, shard)


def _is_known(shard: tables.Shard, group_id: str) -> bool:
    """Return whether a group is open or answered, or follows another job."""
    return (
        group_id in shard.groups
        or group_id in shard.ended_groups
        or group_id in shard.followed_group_ids
    )


def handle_batch_offer(
    shard: tables.Shard, sender: str, offer: messages.BatchOffer, now: float
) -> list[tables.Effect]:
    """Queue a batch that the owner of another shard offloads here.

    Args:
        shard: The shard that the offer names.
        sender: The daemon id of the batch's owner.
        offer: The offer.
        now: Monotonic time in seconds.

    Returns:
        The effects to carry out; none if the batch was queued or was handled
        before.
    """
    if _is_known(shard, offer.batch_id):
        return []
    plan = shard.declared.plans.get(offer.plan_id)
    runnable = plan is not None and all(
        item.task.kind in plan.kinds for item in offer.tasks
    )
    reason = None
    if shard.draining:
        reason = verdicts.Reason.DRAINING
    elif not runnable or not shard.ownership_is_held(now):
        reason = verdicts.Reason.NOT_READY
    elif not _record_hosted_tasks(shard, offer, now):
        reason = verdicts.Reason.FENCED
    if reason:
        results = _format_not_run(
            (item.task.task_id for item in offer.tasks), reason
        )
        message = messages.BatchResult(offer.batch_id, results)
        # The sender may start the tasks elsewhere, so they must never start
        # here.
        completion.remember_ended(shard, offer.batch_id, message, now)
        return [tables.SendMessage(sender, message)]
    _add_group(
        shard,
        group_id=offer.batch_id,
        job_id=offer.job_id,
        reply_to=sender,
        is_remote=True,
        flow_id=(offer.customer_id, offer.plan_id),
        tasks={item.index: item.task for item in offer.tasks},
        deadline_s=offer.deadline_s,
        start_within_s=offer.start_within_s,
        due=now - offer.waited_s,
        key=None,
        now=now,
        origin_epoch=offer.from_epoch,
    )
    return []


def _record_hosted_tasks(
    shard: tables.Shard, offer: messages.BatchOffer, now: float
) -> bool:
    """Record which shards' allowance units the tasks of a batch use.

    Returns:
        False if the batch comes from a former owner of its shard.
    """
    until = now + offer.start_within_s
    for item in offer.tasks:
        kind = shard.declared.plans[offer.plan_id].kinds[item.task.kind]
        hosted = ledgers.HostedTask(
            tables.format_start_id(offer.job_id, item.index),
            offer.plan_id,
            offer.from_shard_id,
            item.lender_id,
            until + kind.max_run_s,
        )
        if not takeover.start_hosting(shard.ledger, hosted, offer.from_epoch):
            return False
    return True


def cancel_groups(
    shard: tables.Shard, group_ids: Iterable[str], now: float
) -> list[tables.Effect]:
    """Cancel jobs or batches.

    A job's gateway gets its answer. The owner of a batch gets none, as it has
    recorded the results already.
    """
    effects: list[tables.Effect] = []
    for group_id in group_ids:
        if group_id in shard.followed_group_ids:
            effects.append(
                resubmissions.cancel_resubmission(shard, group_id, now)
            )
            continue
        group = shard.groups.get(group_id)
        if group is None:
            continue
        reason = verdicts.Reason.CANCELLED
        home = shard.local_shards[group.shard_id]
        fail_effects = completion.fail_group(home, group, reason, now)
        if group.is_remote:
            fail_effects = remove_messages_to(fail_effects, group.reply_to)
        effects += fail_effects
    return _merge_effects(effects)


def _merge_effects(effects: list[tables.Effect]) -> list[tables.Effect]:
    """Merge the stops for one worker, and the cancels for one shard."""
    others: list[tables.Effect] = []
    stops: dict[tables.WorkerRef, tuple[str, ...]] = {}
    cancels: dict[tuple[str, str], tuple[str, ...]] = {}
    for effect in effects:
        if isinstance(effect, tables.StopTasks):
            started = stops.get(effect.worker_ref, ())
            stops[effect.worker_ref] = started + effect.start_ids
        elif isinstance(effect, tables.SendMessage) and isinstance(
            effect.message, messages.BatchCancel
        ):
            target = (effect.daemon_id, effect.message.shard_id)
            batch_ids = effect.message.batch_ids
            cancels[target] = cancels.get(target, ()) + batch_ids
        else:
            others.append(effect)
    return [
        *others,
        *(tables.StopTasks(*item) for item in stops.items()),
        *(
            tables.SendMessage(daemon_id, messages.BatchCancel(shard_id, ids))
            for (daemon_id, shard_id), ids in cancels.items()
        ),
    ]


def remove_messages_to(
    effects: list[tables.Effect], daemon_id: str
) -> list[tables.Effect]:
    """Return the effects without the messages to one daemon."""
    return [
        effect
        for effect in effects
        if not isinstance(effect, tables.SendMessage)
        or effect.daemon_id != daemon_id
    ]


def answer_query(
    shard: tables.Shard,
    sender: str,
    group_id: str,
    task_ids: tuple[str, ...],
    is_remote: bool,
    now: float,
) -> list[tables.Effect]:
    """Report the state of a job or a batch after its sender's link broke.

    An open group answers over the new link later. A group that never arrived
    is answered as not run and recorded as answered, so that it can't start if
    its offer still arrives.

    Args:
        shard: The shard that the query names.
        sender: The daemon that sent the query.
        group_id: The id of the job or the batch.
        task_ids: The tasks of the job or the batch.
        is_remote: Whether the query is for a batch.
        now: Monotonic time in seconds.
    """
    group = shard.groups.get(shard.followed_group_ids.get(group_id, group_id))
    if group:
        if group_id in group.followers:
            group.followers[group_id] = sender
        else:
            group.reply_to = sender
        pending = messages.BatchPending if is_remote else messages.JobPending
        return [tables.SendMessage(sender, pending(group_id))]
    ended = shard.ended_groups.get(group_id)
    if ended:
        return [tables.SendMessage(sender, ended.message)]
    reason = verdicts.Reason.CONNECTION_LOST
    message: object = messages.BatchResult(
        group_id, _format_not_run(task_ids, reason)
    )
    if not is_remote:
        refused = verdicts.Refused(group_id, reason, 1.0, "never received")
        message = messages.pack_answer(refused)
    completion.remember_ended(shard, group_id, message, now)
    return [tables.SendMessage(sender, message)]


def cancel_jobs_of_gateway(
    shard: tables.Shard, daemon_id: str, now: float
) -> list[tables.Effect]:
    """Cancel the jobs and batches that a dead daemon sent to this shard.

    Jobs with a key continue, because their callers can submit them again with
    the key to get the answer.
    """
    orphans = [
        group
        for group in shard.groups.values()
        if group.reply_to == daemon_id
        and group.key is None
        and group.shard_id == shard.shard_id
    ]
    effects: list[tables.Effect] = []
    for group in orphans:
        reason = verdicts.Reason.CONNECTION_LOST
        effects += completion.fail_group(shard, group, reason, now)
    return _merge_effects(remove_messages_to(effects, daemon_id))


def _add_group(
    shard: tables.Shard,
    *,
    group_id: str,
    job_id: str,
    reply_to: str,
    is_remote: bool,
    flow_id: tuple[str, str],
    tasks: dict[int, entities.Task],
    deadline_s: float,
    start_within_s: float,
    due: float,
    key: keys.Key | None,
    now: float,
    origin_epoch: int = 0,
) -> None:
    expected_s = {
        index: estimates.estimate_run_s(shard.estimates, flow_id[1], task.kind)
        for index, task in tasks.items()
    }
    group = tables.Group(
        group_id=group_id,
        shard_id=shard.shard_id,
        job_id=job_id,
        reply_to=reply_to,
        is_remote=is_remote,
        flow_id=flow_id,
        tasks=tasks,
        deadline_at=now + deadline_s,
        start_by=now + start_within_s,
        due_at=due,
        received_at=now,
        expected_s=expected_s,
        # Tasks are taken from the end, so the longest starts first.
        waiting=sorted(
            tasks, key=lambda i: _compute_task_order(tasks[i], expected_s[i])
        ),
        key=key,
        origin_epoch=origin_epoch,
    )
    shard.groups[group_id] = group
    fairness.add_work(
        shard.queue,
        flow_id,
        shard.get_weight(flow_id[1]),
        group_id,
        due,
        len(tasks),
        sum(expected_s.values()),
    )


def _compute_due(shard: tables.Shard, job: entities.Job, now: float) -> float:
    return fairness.compute_due(
        shard.queue,
        (job.customer_id, job.plan_id),
        shard.get_weight(job.plan_id),
        admission.estimate_work_s(shard, job.plan_id, job.tasks),
        admission.count_slots(shard, now),
        now,
    )


def _bound_deadline_s(shard: tables.Shard, job: entities.Job) -> float:
    return min(job.deadline_s, shard.declared.plans[job.plan_id].deadline_s)


def _format_not_run(
    task_ids: Iterable[str], reason: verdicts.Reason
) -> tuple[verdicts.TaskResult, ...]:
    return tuple(
        verdicts.TaskResult(task_id, verdicts.Verdict.NOT_RUN, reason)
        for task_id in task_ids
    )


def _compute_task_order(
    task: entities.Task, expected_s: float
) -> tuple[float, float]:
    """Return the sort key of a task within its job, the longest last.

    The run time that the caller declares only orders tasks with the same
    expected run time; it has no effect on the order of jobs.
    """
    return expected_s, task.declared_ms
