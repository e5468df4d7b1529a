"""Answer jobs that come again with a key, and those that are not taken."""

from collections.abc import Iterable

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import keys
from pollenladder.dispatch import tables
from pollenladder.wire import messages


def stop_following(
    shard: tables.Shard, job_id: str, now: float
) -> tables.SendMessage:
    """Answer a resubmission that is given up; the job with the key goes on."""
    group = shard.groups[shard.followed.pop(job_id)]
    sender = group.followers.pop(job_id)
    reason = verdicts.Reason.CANCELLED
    answer = verdicts.Failed(
        job_id, reason, _format_uncertain(group.tasks.values(), reason)
    )
    return answer_at_once(shard, sender, answer, now)


def use_key(
    shard: tables.Shard,
    sender: str,
    job: entities.Job,
    key: keys.Key | None,
    now: float,
) -> list[tables.Effect] | None:
    """Return the effects if the key decides the answer, else None.

    A key that is new is taken for the job.
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
        return [answer_at_once(shard, sender, _format_unknown(job), now)]
    if entry.fingerprint != fingerprint:
        detail = "the key belongs to a job with other tasks"
        return _refuse(
            shard, sender, job, verdicts.Reason.KEY_IN_USE, None, detail, now
        )
    if state is keys.KeyState.ANSWERED:
        answer = keys.relabel(entry.answer, job.job_id)
        return [answer_at_once(shard, sender, answer, now)]
    return _follow(shard, sender, job, entry, now)


def _follow(
    shard: tables.Shard,
    sender: str,
    job: entities.Job,
    entry: keys.Entry,
    now: float,
) -> list[tables.Effect]:
    """Answer a resubmission together with the job that has the key."""
    group = shard.groups.get(entry.job_id)
    if group is None:
        return [answer_at_once(shard, sender, _format_unknown(job), now)]
    group.followers[job.job_id] = sender
    shard.followed[job.job_id] = group.group_id
    return []


def _format_unknown(job: entities.Job) -> verdicts.Failed:
    """Return the answer to a key of which nothing is known here."""
    reason = verdicts.Reason.KEY_UNKNOWN
    results = _format_uncertain(job.tasks, reason)
    return verdicts.Failed(job.job_id, reason, results)


def _format_uncertain(
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
    """Answer a job that is not taken, so that no late frame can start it."""
    message = messages.pack_answer(answer)
    completion.remember_ended(shard, answer.job_id, message, now)
    return tables.SendMessage(sender, message)
