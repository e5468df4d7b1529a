"""Take jobs and batches in, cancel them, and say what became of them."""

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
    """Take a job from a gateway, or answer at once why not."""
    job = offer.job
    if _is_known(shard, job.job_id):
        # A frame that comes late or twice: its job is decided already.
        return []
    key = keys.parse_key(job.key, job.customer_id) if job.key else None
    if job.key:
        answered = resubmissions.use_key(shard, sender, job, key, now)
        if answered is not None:
            return answered
    else:
        shard = _find_ready(shard, now)
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
        line=(job.customer_id, job.plan_id),
        tasks=dict(enumerate(job.tasks)),
        deadline_s=_bound_deadline_s(shard, job),
        start_within_s=math.inf,
        due=_compute_due(shard, job, now),
        key=key,
        now=now,
    )
    return []


def _find_ready(shard: tables.Shard, now: float) -> tables.Shard:
    """Return a shard owned here that may take a job, the one asked if it may.

    A gateway offers a job to a daemon once, whichever of its shards it names.
    """
    if shard.ownership_is_held(now):
        return shard
    ready = (s for s in shard.local_shards.values() if s.ownership_is_held(now))
    return next(ready, shard)


def _is_known(shard: tables.Shard, group_id: str) -> bool:
    return (
        group_id in shard.groups
        or group_id in shard.ended
        or group_id in shard.followed
    )


def handle_batch_offer(
    shard: tables.Shard, sender: str, offer: messages.BatchOffer, now: float
) -> list[tables.Effect]:
    """Take tasks that the owner of another shard spills here."""
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
    elif not _host(shard, offer, now):
        reason = verdicts.Reason.FENCED
    if reason:
        results = _format_not_run(
            (item.task.task_id for item in offer.tasks), reason
        )
        message = messages.BatchResult(offer.batch_id, results)
        # The sender may start the tasks elsewhere: they never start here.
        completion.remember_ended(shard, offer.batch_id, message, now)
        return [tables.SendMessage(sender, message)]
    _add_group(
        shard,
        group_id=offer.batch_id,
        job_id=offer.job_id,
        reply_to=sender,
        is_remote=True,
        line=(offer.customer_id, offer.plan_id),
        tasks={item.index: item.task for item in offer.tasks},
        deadline_s=offer.deadline_s,
        start_within_s=offer.start_within_s,
        due=now - offer.waited_s,
        key=None,
        now=now,
        origin_epoch=offer.from_epoch,
    )
    return []


def _host(shard: tables.Shard, offer: messages.BatchOffer, now: float) -> bool:
    """Note whose units the tasks use; False if their shard has a new owner."""
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
    """Give up jobs or batches that nobody wants any more.

    A job's gateway gets the verdicts; the sender of a batch has settled it.
    """
    effects: list[tables.Effect] = []
    for group_id in group_ids:
        if group_id in shard.followed:
            effects.append(resubmissions.stop_following(shard, group_id, now))
            continue
        group = shard.groups.get(group_id)
        if group is None:
            continue
        reason = verdicts.Reason.CANCELLED
        home = shard.local_shards[group.shard_id]
        ending = completion.fail_group(home, group, reason, now)
        if group.is_remote:
            ending = drop_replies(ending, group.reply_to)
        effects += ending
    return _merge_effects(effects)


def _merge_effects(effects: list[tables.Effect]) -> list[tables.Effect]:
    """Put what goes to the same worker, or the same shard, into one message."""
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


def drop_replies(
    effects: list[tables.Effect], daemon_id: str
) -> list[tables.Effect]:
    """Leave out the messages to a daemon that does not want them."""
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
    """Say what became of a job or a batch whose link broke.

    One that never came is noted as ended, so that it cannot start should its
    frame still arrive, and is answered as "not run".
    """
    group = shard.groups.get(shard.followed.get(group_id, group_id))
    if group:
        if group_id in group.followers:
            group.followers[group_id] = sender
        else:
            group.reply_to = sender
        pending = messages.BatchPending if is_remote else messages.JobPending
        return [tables.SendMessage(sender, pending(group_id))]
    ended = shard.ended.get(group_id)
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
    """Give up what a dead daemon has sent, as nobody is left to answer.

    Jobs with a key go on: their caller will come again with it.
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
    return _merge_effects(drop_replies(effects, daemon_id))


def _add_group(
    shard: tables.Shard,
    *,
    group_id: str,
    job_id: str,
    reply_to: str,
    is_remote: bool,
    line: tuple[str, str],
    tasks: dict[int, entities.Task],
    deadline_s: float,
    start_within_s: float,
    due: float,
    key: keys.Key | None,
    now: float,
    origin_epoch: int = 0,
) -> None:
    expected_s = {
        index: estimates.estimate_run_s(shard.estimates, line[1], task.kind)
        for index, task in tasks.items()
    }
    group = tables.Group(
        group_id=group_id,
        shard_id=shard.shard_id,
        job_id=job_id,
        reply_to=reply_to,
        is_remote=is_remote,
        flow_id=line,
        tasks=tasks,
        deadline_at=now + deadline_s,
        start_by=now + start_within_s,
        due_at=due,
        received_at=now,
        expected_s=expected_s,
        # The longest goes first, from the end.
        waiting=sorted(
            tasks, key=lambda i: _rank_task(tasks[i], expected_s[i])
        ),
        key=key,
        origin_epoch=origin_epoch,
    )
    shard.groups[group_id] = group
    fairness.add_work(
        shard.queue,
        line,
        shard.get_weight(line[1]),
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


def _rank_task(task: entities.Task, expected_s: float) -> tuple[float, float]:
    """Return a task's place within its job, the longest last.

    What the caller declares only orders tasks that are expected to take
    equally long; it decides nothing between jobs.
    """
    return expected_s, task.declared_ms
