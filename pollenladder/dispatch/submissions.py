"""Jobs that callers submitted to this daemon, and the owner that has each."""

import dataclasses

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.dispatch import directory
from pollenladder.dispatch import keys
from pollenladder.dispatch import tables
from pollenladder.wire import messages

# Number of offers of a job to owners, the first one included.
MAX_OFFERS = 3
NOT_READY_RETRY_AFTER_S = 1.0
# A job waits this long for an owner, for instance during a handover.
OWNER_WAIT_LIMIT_S = 1.0
# A job refused for one of these reasons may be offered to another owner.
OTHER_OWNER_REASONS = frozenset(
    {
        verdicts.Reason.NOT_READY,
        verdicts.Reason.DRAINING,
        verdicts.Reason.CONNECTION_LOST,
    }
)


@dataclasses.dataclass
class Submission:
    """A submitted job and its state. Times are monotonic, in seconds.

    Attributes:
        job: The job.
        deadline_at: The time by which it must be answered.
        shard_id: The shard it was last offered to.
        daemon_id: The owner of that shard at the time; empty if the job is
            not offered to any.
        offers: The number of offers.
        refused_by: Daemons that refused the job.
        owner_wait_until: The time at which the job is refused unless an owner
            becomes known; None if it has not had to wait for an owner.
        answer: The final answer, once there is one.
        ended_at: The time of the final answer.
    """

    job: entities.Job
    deadline_at: float
    shard_id: str = ""
    daemon_id: str = ""
    offers: int = 0
    refused_by: set[str] = dataclasses.field(default_factory=set)
    owner_wait_until: float | None = None
    answer: verdicts.Answer | None = None
    ended_at: float = 0.0


@dataclasses.dataclass
class Submissions:
    """Submissions by job id.

    Attributes:
        data_centre: The data centre of this daemon.
        shard_directory: The owner and load of each shard.
        retention_s: How long an answer can be fetched, in seconds.
        pending: Submissions without a final answer.
        held: Pending submissions that wait for an owner.
        answered: Submissions with a final answer, the oldest first.
        newly_answered: Ids of answered jobs whose waiting callers have not
            been notified yet; the engine empties the list.
        next_expiry_at: Monotonic time of the next check of deadlines.
    """

    data_centre: str
    shard_directory: directory.Directory
    retention_s: float
    pending: dict[str, Submission] = dataclasses.field(default_factory=dict)
    held: dict[str, Submission] = dataclasses.field(default_factory=dict)
    answered: dict[str, Submission] = dataclasses.field(default_factory=dict)
    newly_answered: list[str] = dataclasses.field(default_factory=list)
    next_expiry_at: float = 0.0


def submit(
    table: Submissions, job: entities.Job, now: float
) -> list[tables.Effect]:
    """Record a caller's job and offer it to the owner of a shard."""
    row = Submission(job, now + job.deadline_s)
    table.pending[job.job_id] = row
    return _offer(table, row, now)


def record_answer(
    table: Submissions, sender: str, answer: verdicts.Answer, now: float
) -> list[tables.Effect]:
    """Record an owner's answer, or offer a refused job to another owner.

    An answer from any daemon but the one that has the job now is ignored. It
    can only repeat an earlier refusal.

    Args:
        table: The submissions.
        sender: The daemon that sent the answer.
        answer: The answer.
        now: Monotonic time in seconds.

    Returns:
        The effects to carry out.
    """
    row = table.pending.get(answer.job_id)
    if row is None or row.daemon_id != sender:
        return []
    if isinstance(answer, verdicts.Refused):
        if _may_offer_elsewhere(row, answer, now):
            row.refused_by.add(row.daemon_id)
            return _offer(table, row, now)
        answer = _correct_reason(row, answer)
    _finish(table, row, answer, now)
    return []


def cancel(table: Submissions, job_id: str, now: float) -> list[tables.Effect]:
    """Cancel a job.

    A job that has an owner is cancelled there, and the owner answers it. A job
    that waits for an owner ends immediately.
    """
    row = table.pending.get(job_id)
    if row is None:
        return []
    if table.held.pop(job_id, None):
        reason = verdicts.Reason.CANCELLED
        results = _format_results(row, verdicts.Verdict.NOT_RUN, reason)
        _finish(table, row, verdicts.Failed(job_id, reason, results), now)
        return []
    message = messages.JobCancel(row.shard_id, (job_id,))
    return [tables.SendMessage(row.daemon_id, message)]


def offer_held(table: Submissions, now: float) -> list[tables.Effect]:
    """Offer the jobs that wait for an owner, or refuse them past the limit."""
    held = list(table.held.values())
    table.held.clear()
    effects: list[tables.Effect] = []
    for row in held:
        effects += _offer(table, row, now)
    return effects


def fail_jobs_of_daemon(table: Submissions, daemon_id: str, now: float) -> None:
    """Answer the jobs at a dead daemon; their tasks may have run."""
    for row in [r for r in table.pending.values() if r.daemon_id == daemon_id]:
        fail_uncertain(table, row, verdicts.Reason.OWNER_LOST, now)


def fail_uncertain(
    table: Submissions,
    row: Submission,
    reason: verdicts.Reason,
    now: float,
) -> None:
    """Answer a job whose tasks may have run."""
    results = _format_results(row, verdicts.Verdict.MAY_HAVE_RUN, reason)
    _finish(table, row, verdicts.Failed(row.job.job_id, reason, results), now)


def _format_results(
    row: Submission, verdict: verdicts.Verdict, reason: verdicts.Reason
) -> tuple[verdicts.TaskResult, ...]:
    return tuple(
        verdicts.TaskResult(task.task_id, verdict, reason)
        for task in row.job.tasks
    )


def query_jobs(table: Submissions, daemon_id: str) -> list[tables.Effect]:
    """Return queries about the jobs at a daemon, for use after a new link.

    Their answers may have been lost with the earlier link.
    """
    return [
        tables.SendMessage(
            daemon_id,
            messages.JobQuery(
                row.shard_id,
                row.job.job_id,
                tuple(task.task_id for task in row.job.tasks),
            ),
        )
        for row in table.pending.values()
        if row.daemon_id == daemon_id
    ]


def expire(table: Submissions, now: float, grace_s: float) -> None:
    """Answer jobs whose owner is silent, and delete old answers.

    Args:
        table: The submissions.
        now: Monotonic time in seconds.
        grace_s: How long an owner may answer past a job's deadline, in
            seconds.
    """
    if now < table.next_expiry_at:
        return
    table.next_expiry_at = now + tables.EXPIRY_INTERVAL_S
    overdue = [
        row
        for row in table.pending.values()
        if row.deadline_at + grace_s <= now
    ]
    for row in overdue:
        fail_uncertain(table, row, verdicts.Reason.DEADLINE, now)
    while table.answered:
        job_id = next(iter(table.answered))
        if table.answered[job_id].ended_at + table.retention_s > now:
            return
        del table.answered[job_id]


def find(
    table: Submissions, job_id: str, customer_id: str
) -> Submission | None:
    """Return a customer's submission, pending or answered, or None."""
    row = table.pending.get(job_id) or table.answered.get(job_id)
    if row is None or row.job.customer_id != customer_id:
        return None
    return row


def _offer(
    table: Submissions, row: Submission, now: float
) -> list[tables.Effect]:
    """Offer a job to the best owner.

    Without an owner, the job waits for one or is refused.
    """
    entry = _choose_owner(table, row)
    if entry is None and _may_wait_for_owner(row, now):
        row.shard_id = row.daemon_id = ""
        table.held[row.job.job_id] = row
        return []
    if entry is None:
        refused = verdicts.Refused(
            row.job.job_id,
            verdicts.Reason.NOT_READY,
            NOT_READY_RETRY_AFTER_S,
            "no owner of a shard can be reached",
        )
        _finish(table, row, refused, now)
        return []
    row.offers += 1
    row.shard_id = entry.shard_id
    row.daemon_id = entry.daemon_id
    # Clocks are not shared, so the owner gets the remaining time.
    job = dataclasses.replace(row.job, deadline_s=row.deadline_at - now)
    return [
        tables.SendMessage(
            entry.daemon_id, messages.JobOffer(entry.shard_id, job)
        )
    ]


def _may_wait_for_owner(row: Submission, now: float) -> bool:
    """Return whether a job may wait for an owner, and start its wait limit.

    A job with a key may not wait. The next owner of the key's shard could not
    distinguish it from a job that has run, whereas a refused caller can get a
    new key.
    """
    if row.job.key:
        return False
    if row.owner_wait_until is None:
        row.owner_wait_until = min(now + OWNER_WAIT_LIMIT_S, row.deadline_at)
    return now < row.owner_wait_until


def _choose_owner(
    table: Submissions, row: Submission
) -> directory.ShardEntry | None:
    """Return the shard to offer a job to, or None.

    A job with a key goes only to the key's home shard, and only once. Other
    jobs go to the least loaded shard, those of this data centre first.
    """
    job = row.job
    key = keys.parse_key(job.key, job.customer_id) if job.key else None
    if key:
        entry = table.shard_directory.entries.get(key.shard_id)
        return entry if row.offers == 0 else None
    entries = [
        entry
        for entry in table.shard_directory.entries.values()
        if entry.daemon_id not in row.refused_by and entry.slots
    ]
    return min(entries, key=lambda e: _rank(table, e), default=None)


def _rank(
    table: Submissions, entry: directory.ShardEntry
) -> tuple[bool, float, str]:
    """Return the sort key of a shard for new jobs, the best one first."""
    remote = directory.get_data_centre(entry.shard_id) != table.data_centre
    load = (entry.queued - entry.free) / max(1, entry.slots)
    return remote, load, entry.shard_id


def _may_offer_elsewhere(
    row: Submission, answer: verdicts.Refused, now: float
) -> bool:
    if answer.reason not in OTHER_OWNER_REASONS or row.offers >= MAX_OFFERS:
        return False
    return now < row.deadline_at


def _correct_reason(
    row: Submission, answer: verdicts.Refused
) -> verdicts.Refused:
    """Return a refusal that is true of the job as it was submitted.

    An owner that is offered a job late refuses it with NEVER_RUNS if the rest
    of its deadline is too short. The reason for the caller is then DEADLINE.
    """
    if row.offers == 1 or answer.reason is not verdicts.Reason.NEVER_RUNS:
        return answer
    return verdicts.Refused(
        answer.job_id,
        verdicts.Reason.DEADLINE,
        NOT_READY_RETRY_AFTER_S,
        "too little of the deadline was left",
    )


def _finish(
    table: Submissions,
    row: Submission,
    answer: verdicts.Answer,
    now: float,
) -> None:
    """Record the final answer of a job."""
    row.answer = answer
    row.ended_at = now
    table.pending.pop(row.job.job_id, None)
    table.answered[row.job.job_id] = row
    table.newly_answered.append(row.job.job_id)
