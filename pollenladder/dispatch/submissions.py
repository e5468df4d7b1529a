"""Jobs that this daemon received from callers, and where each was sent."""

import dataclasses

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.dispatch import directory
from pollenladder.dispatch import keys
from pollenladder.dispatch import tables
from pollenladder.wire import messages

MAX_OFFERS = 3
NOT_READY_RETRY_AFTER_S = 1.0
# While a shard changes hands, a job waits so long for its next owner.
HOLD_S = 1.0
# Another owner may take a job refused for one of these.
ELSEWHERE = frozenset(
    {
        verdicts.Reason.NOT_READY,
        verdicts.Reason.DRAINING,
        verdicts.Reason.CONNECTION_LOST,
    }
)


@dataclasses.dataclass
class Submission:
    """A job and what is known of it here.

    Attributes:
        job: The job.
        deadline_at: When it must be answered.
        shard_id: The shard it was last offered to.
        daemon_id: That shard's owner at the time; empty if not offered.
        offers: How often it was offered.
        refused_by: Daemons that would not take it.
        hold_until: When it is refused if there still is no owner to offer it
            to; None as long as there was one.
        answer: The final answer, once there is one.
        ended_at: When that came.
    """

    job: entities.Job
    deadline_at: float
    shard_id: str = ""
    daemon_id: str = ""
    offers: int = 0
    refused_by: set[str] = dataclasses.field(default_factory=set)
    hold_until: float | None = None
    answer: verdicts.Answer | None = None
    ended_at: float = 0.0


@dataclasses.dataclass
class Submissions:
    """Submissions by job id.

    Attributes:
        data_centre: Where this daemon is.
        shard_directory: Where each shard's owner is.
        retention_s: For how long an answer can be fetched.
        pending: Submissions that run.
        held: Those of them that wait for an owner.
        answered: Submissions that have their answer, the oldest first.
        newly_answered: Ids of jobs answered since the last look.
        next_expiry_at: When deadlines are looked at next.
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
    """Take a job from its caller and offer it to the owner of a shard."""
    row = Submission(job, now + job.deadline_s)
    table.pending[job.job_id] = row
    return _offer(table, row, now)


def record_answer(
    table: Submissions, sender: str, answer: verdicts.Answer, now: float
) -> list[tables.Effect]:
    """Take in an owner's answer; a job that has not run may go elsewhere.

    An answer of a daemon that the job has left since is its refusal again,
    and says nothing of the daemon that has the job now.
    """
    row = table.pending.get(answer.job_id)
    if row is None or row.daemon_id != sender:
        return []
    if isinstance(answer, verdicts.Refused):
        if _may_go_elsewhere(row, answer, now):
            row.refused_by.add(row.daemon_id)
            return _offer(table, row, now)
        answer = _correct_reason(row, answer)
    _end(table, row, answer, now)
    return []


def cancel(table: Submissions, job_id: str, now: float) -> list[tables.Effect]:
    """Ask the owner to give a job up; its answer comes as any other."""
    row = table.pending.get(job_id)
    if row is None:
        return []
    if table.held.pop(job_id, None):
        reason = verdicts.Reason.CANCELLED
        results = _format_results(row, verdicts.Verdict.NOT_RUN, reason)
        _end(table, row, verdicts.Failed(job_id, reason, results), now)
        return []
    message = messages.JobCancel(row.shard_id, (job_id,))
    return [tables.SendMessage(row.daemon_id, message)]


def offer_held(table: Submissions, now: float) -> list[tables.Effect]:
    """Offer the jobs that wait for an owner, or refuse them in time."""
    held = list(table.held.values())
    table.held.clear()
    effects: list[tables.Effect] = []
    for row in held:
        effects += _offer(table, row, now)
    return effects


def fail_jobs_of_daemon(table: Submissions, daemon_id: str, now: float) -> None:
    """Answer the jobs that a dead daemon held, at once: they may have run."""
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
    _end(table, row, verdicts.Failed(row.job.job_id, reason, results), now)


def _format_results(
    row: Submission, verdict: verdicts.Verdict, reason: verdicts.Reason
) -> tuple[verdicts.TaskResult, ...]:
    return tuple(
        verdicts.TaskResult(task.task_id, verdict, reason)
        for task in row.job.tasks
    )


def query_jobs(table: Submissions, daemon_id: str) -> list[tables.Effect]:
    """Ask a daemon over a new link about every job sent over an older one."""
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
    """Answer jobs whose owner is silent past the deadline; forget old ones."""
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
    """Return a customer's submission, running or answered."""
    row = table.pending.get(job_id) or table.answered.get(job_id)
    if row is None or row.job.customer_id != customer_id:
        return None
    return row


def _offer(
    table: Submissions, row: Submission, now: float
) -> list[tables.Effect]:
    """Offer a job to the best owner, or refuse it if there is none."""
    entry = _choose_owner(table, row)
    if entry is None and _may_hold(row, now):
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
        _end(table, row, refused, now)
        return []
    row.offers += 1
    row.shard_id = entry.shard_id
    row.daemon_id = entry.daemon_id
    # The owner counts from its own clock: it gets what is left.
    job = dataclasses.replace(row.job, deadline_s=row.deadline_at - now)
    return [
        tables.SendMessage(
            entry.daemon_id, messages.JobOffer(entry.shard_id, job)
        )
    ]


def _may_hold(row: Submission, now: float) -> bool:
    """Return whether a job may wait for an owner.

    One with a key may not: the key's next owner could not tell it from one
    that has run, while a refused caller gets a new key.
    """
    if row.job.key:
        return False
    if row.hold_until is None:
        row.hold_until = min(now + HOLD_S, row.deadline_at)
    return now < row.hold_until


def _choose_owner(
    table: Submissions, row: Submission
) -> directory.ShardEntry | None:
    """Return the key's home, else the least loaded shard, local ones first."""
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
    remote = directory.get_data_centre(entry.shard_id) != table.data_centre
    load = (entry.queued - entry.free) / max(1, entry.slots)
    return remote, load, entry.shard_id


def _may_go_elsewhere(
    row: Submission, answer: verdicts.Refused, now: float
) -> bool:
    if answer.reason not in ELSEWHERE or row.offers >= MAX_OFFERS:
        return False
    return now < row.deadline_at


def _correct_reason(
    row: Submission, answer: verdicts.Refused
) -> verdicts.Refused:
    """Return a refusal that says what is so for the job as it was submitted.

    An owner that was offered a job late refuses it as one that can never run if
    what is left of its deadline is too short.
    """
    if row.offers == 1 or answer.reason is not verdicts.Reason.NEVER_RUNS:
        return answer
    return verdicts.Refused(
        answer.job_id,
        verdicts.Reason.DEADLINE,
        NOT_READY_RETRY_AFTER_S,
        "too little of the deadline was left",
    )


def _end(
    table: Submissions,
    row: Submission,
    answer: verdicts.Answer,
    now: float,
) -> None:
    row.answer = answer
    row.ended_at = now
    table.pending.pop(row.job.job_id, None)
    table.answered[row.job.job_id] = row
    table.newly_answered.append(row.job.job_id)
