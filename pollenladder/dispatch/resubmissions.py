"""Answer jobs that are resubmitted with a key, and jobs that are refused."""

from collections.abc import Iterable

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import keys
from pollenladder.dispatch import tables
from pollenladder.wire import messages


def cancel_resubmission(
    shard: tables.Shard, job_id: str, now: float
) -> tables.SendMessage:
    """Answer a cancelled resubmission; the job that holds the key continues."""
    group = shard.groups[shard.followed_group_ids.pop(job_id)]
    sender = group.followers.pop(job_id)
    reason = verdicts.Reason.CANCELLED
    answer = verdicts.Failed(
        job_id, reason, _build_uncertain_results(group.tasks.values(), reason)
    )
    return answer_at_once(shard, sender, answer, now)


def resolve_key(
    shard: tables.Shard,
    sender: str,
    job: entities.Job,
    key: keys.Key | None,
    now: float,
) -> list[tables.Effect] | None:
    """Look up a job's key, and assign an unused key to the job.

    Args:
        shard: The shard that the offer names.
        sender: The gateway's daemon id.
        job: The job.
        key: The parsed key; None if it is malformed.
        now: Monotonic time in seconds.

    Returns:
        None if the key now belongs to the job, which may run. Otherwise the
        effects that answer the job; none if it waits for the answer of the job
        that holds the key.
    """
    if shard.keys is None or not shard.ownership_is_held(now):
        detail = "the key's home has no owner"
        return _refuse(
            shard, sender, job, verdicts.Reason.NOT_READY, 1.0, detail, now
        )
    fingerprint = keys.compute_fingerprint(job)
    if key is None:
        state, entry = keys.KeyState.MAY_HAVE_RUN, None
    else:
        state, entry = keys.use_key(
            shard.keys, key, job.job_id, fingerprint, now
        )
    if state is keys.KeyState.NEW:
        return None
    if state is keys.KeyState.FULL:
        detail = "too many keys are held"
        return _refuse(
            shard, sender, job, verdicts.Reason.OVERLOAD, 10.0, detail, now
        )
    if entry is None:
        return [answer_at_once(shard, sender, _build_unknown_answer(job), now)]
    if entry.fingerprint != fingerprint:
        detail = "the key belongs to a job with other tasks"
        return _refuse(
            shard, sender, job, verdicts.Reason.KEY_IN_USE, None, detail, now
        )
    if state is keys.KeyState.ANSWERED:
        answer = keys.copy_for_job(entry.answer, job.job_id)
        return [answer_at_once(shard, sender, answer, now)]
    return _attach(shard, sender, job, entry, now)


def _attach(
    shard: tables.Shard,
    sender: str,
    job: entities.Job,
    entry: keys.KeyEntry,
    now: float,
) -> list[tables.Effect]:
    """Let a resubmission wait for the answer of the job that holds the key."""
    group = shard.groups.get(entry.job_id)
    if group is None:
        return [answer_at_once(shard, sender, _build_unknown_answer(job), now)]
    group.followers[job.job_id] = sender
    shard.followed_group_ids[job.job_id] = group.group_id
    return []


def _build_unknown_answer(job: entities.Job) -> verdicts.Failed:
    """Return the answer for a key whose job may have run."""
    reason = verdicts.Reason.KEY_UNKNOWN
    results = _build_uncertain_results(job.tasks, reason)
    return verdicts.Failed(job.job_id, reason, results)


def _build_uncertain_results(
    tasks: Iterable[entities.Task], reason: verdicts.Reason
) -> tuple[verdicts.TaskResult, ...]:
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    return tuple(
        verdicts.TaskResult(task.task_id, verdict, reason) for task in tasks
    )


def _refuse(
    shard: tables.Shard,
    sender: str,
    job: entities.Job,
    reason: verdicts.Reason,
    retry_after_s: float | None,
    detail: str,
    now: float,
) -> list[tables.Effect]:
    refused = verdicts.Refused(job.job_id, reason, retry_after_s, detail)
    return [answer_at_once(shard, sender, refused, now)]


def answer_at_once(
    shard: tables.Shard, sender: str, answer: verdicts.Answer, now: float
) -> tables.SendMessage:
    """Return the message that answers a job that isn't queued.

    The answer is also recorded, so that a late offer of the job is ignored.
    """
    message = messages.pack_answer(answer)
    completion.remember_ended(shard, answer.job_id, message, now)
    return tables.SendMessage(sender, message)
