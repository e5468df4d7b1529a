"""The messages that daemons send each other.

Times are durations in seconds. Messages contain no points in time, because the
clocks of daemons are not synchronised.
"""

import dataclasses
import enum
from typing import Any

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.plans import takeover


class AnswerKind(enum.Enum):
    """The class in `core.verdicts` of the answer in a `JobAnswer`."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class JobOffer:
    """A gateway submits a whole job to the owner of a shard."""

    shard_id: str
    job: entities.Job


@dataclasses.dataclass(frozen=True)
class JobAnswer:
    """The final answer of a shard's owner to a job.

    Attributes:
        job_id: The job.
        kind: The class of the answer.
        reason: Why the job ended as it did.
        results: The results of all tasks; empty for a refused job.
        retry_after_s: The time after which the caller may submit the job
            again, in seconds; None if submitting it again is useless.
        detail: Text for the caller about a refusal, else empty.
    """

    job_id: str
    kind: AnswerKind
    reason: verdicts.Reason
    results: tuple[verdicts.TaskResult, ...]
    retry_after_s: float | None
    detail: str


@dataclasses.dataclass(frozen=True)
class JobCancel:
    """A gateway cancels jobs that it submitted to a shard."""

    shard_id: str
    job_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class JobQuery:
    """A gateway that lost its link asks for the state of a job.

    An owner that does not know the job ensures that it never starts, and
    answers that the job is refused.

    Attributes:
        shard_id: The shard whose owner is asked.
        job_id: The job.
        task_ids: The ids of the job's tasks.
    """

    shard_id: str
    job_id: str
    task_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class JobPending:
    """Reply to `JobQuery`: the job is pending.

    The owner sends the answer over the same link later.
    """

    job_id: str


@dataclasses.dataclass(frozen=True)
class BatchTask:
    """A task of a batch.

    Attributes:
        index: The task's position within the job.
        task: The task.
        lender_id: The shard that lent the unit of the allowance used by the
            task; empty if the unit is not borrowed.
    """

    index: int
    task: entities.Task
    lender_id: str


@dataclasses.dataclass(frozen=True)
class BatchOffer:
    """An owner offloads tasks of one job to the owner of another shard.

    The sender reserves one unit of its allowance for each task until the result
    arrives.

    Attributes:
        batch_id: The id of the batch, which is never reused.
        from_shard_id: The shard whose owner accepted the job.
        from_epoch: That owner's epoch.
        shard_id: The shard that is to run the tasks.
        job_id: The job.
        customer_id: The job's customer.
        plan_id: The job's plan.
        waited_s: How long the job has waited since it was due, in seconds.
        deadline_s: Time left until the job's deadline, in seconds.
        start_within_s: Time left in which tasks may start, in seconds.
        tasks: The tasks with their positions in the job.
    """

    batch_id: str
    from_shard_id: str
    from_epoch: int
    shard_id: str
    job_id: str
    customer_id: str
    plan_id: str
    waited_s: float
    deadline_s: float
    start_within_s: float
    tasks: tuple[BatchTask, ...]


@dataclasses.dataclass(frozen=True)
class BatchResult:
    """The results of all tasks of a batch, in the order of the tasks."""

    batch_id: str
    results: tuple[verdicts.TaskResult, ...]


@dataclasses.dataclass(frozen=True)
class BatchCancel:
    """An owner cancels batches that it offloaded to a shard."""

    shard_id: str
    batch_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class BatchQuery:
    """An owner that lost its link asks for the state of a batch.

    Attributes:
        shard_id: The shard whose owner is asked.
        batch_id: The batch.
        task_ids: The ids of the batch's tasks.
    """

    shard_id: str
    batch_id: str
    task_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class BatchPending:
    """Reply to `BatchQuery`: the batch is pending.

    The owner sends the result over the same link later.
    """

    batch_id: str


@dataclasses.dataclass(frozen=True)
class ShardLoad:
    """The load of a shard, as published by its owner.

    Attributes:
        shard_id: The shard.
        epoch: The owner's epoch.
        free: Number of free slots.
        queued: Number of waiting tasks.
        slots: Number of slots of usable workers.
        stamp: The prefix that callers put before the keys of their jobs;
            empty if the shard is not ready.
        stamp_expires_s: Time left in which new keys with the stamp are
            accepted, in seconds.
    """

    shard_id: str
    epoch: int
    free: int
    queued: int
    slots: int
    stamp: str
    stamp_expires_s: float


@dataclasses.dataclass(frozen=True)
class PeerInfo:
    """The addresses of a daemon and whether it is leaving the cluster."""

    daemon_id: str
    data_centre: str
    address: str
    peer_port: int
    http_port: int
    leaving: bool


@dataclasses.dataclass(frozen=True)
class ShardOwner:
    """The owner of a shard as known to the sender."""

    shard_id: str
    daemon_id: str
    epoch: int
    slots: int


@dataclasses.dataclass(frozen=True)
class Digest:
    """The state that a daemon sends to peers periodically and on changes.

    Attributes:
        version: The version of the declarations that the sender applies.
        leaving: Whether the sender is draining.
        loads: The loads of the shards that the sender owns.
        owners: Shard owners known to the sender; only sent on a new link.
        peers: Daemons known to the sender; only sent on a new link.
    """

    version: int
    leaving: bool
    loads: tuple[ShardLoad, ...]
    owners: tuple[ShardOwner, ...]
    peers: tuple[PeerInfo, ...]


@dataclasses.dataclass(frozen=True)
class DeclarationsPush:
    """A version of the declarations, as the value of the platform's row."""

    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class DeclarationsDelta:
    """The difference between two versions of the declarations.

    Attributes:
        base: The version that the delta applies to. A receiver that has
            another version can't use the delta.
        version: The version that results.
        delta: The difference, in the format of `plans.deltas`.
    """

    base: int
    version: int
    delta: Any


@dataclasses.dataclass(frozen=True)
class Claim:
    """A shard's new owner asks what another shard holds of its allowance.

    Attributes:
        shard_id: The shard with the new owner.
        epoch: The new owner's epoch.
        asked_id: The shard whose owner is asked.
    """

    shard_id: str
    epoch: int
    asked_id: str


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """Reply to `Claim` with the units that the asked shard holds.

    Attributes:
        shard_id: The shard with the new owner.
        epoch: The new owner's epoch.
        asked_id: The shard whose owner replies.
        is_known: False if the replying owner does not know yet what the
            shard holds.
        held: The units that the asked shard holds.
    """

    shard_id: str
    epoch: int
    asked_id: str
    is_known: bool
    held: tuple[takeover.HeldUnits, ...]


@dataclasses.dataclass(frozen=True)
class JobLookup:
    """A request to the daemon that received a job for the job's answer.

    Attributes:
        request_id: Identifies the reply.
        job_id: The job.
        customer_id: The customer who asks.
        wait_s: How long to wait for the answer, in seconds.
        cancel: Whether to cancel the job instead of waiting for its answer.
    """

    request_id: int
    job_id: str
    customer_id: str
    wait_s: float
    cancel: bool


@dataclasses.dataclass(frozen=True)
class JobLookupReply:
    """Reply to `JobLookup` with the state of the job.

    Attributes:
        request_id: The id of the lookup.
        known: Whether the daemon knows a job with this id of the customer.
        running: Whether the job is still running.
        answer: The final answer; None if there is none yet.
    """

    request_id: int
    known: bool
    running: bool
    answer: JobAnswer | None


@dataclasses.dataclass(frozen=True)
class WorkerDrain:
    """Mark a worker as draining at an operator's request.

    Attributes:
        request_id: Identifies the reply; 0 if no reply is expected.
        worker_id: The worker.
    """

    request_id: int
    worker_id: str


@dataclasses.dataclass(frozen=True)
class WorkerDrainReply:
    """Reply to `WorkerDrain`.

    Attributes:
        request_id: The id of the request.
        is_owner: Whether the replying daemon owns the worker's shard. Only
            the owner's reply confirms the drain.
    """

    request_id: int
    is_owner: bool


def pack_answer(answer: verdicts.Answer) -> JobAnswer:
    """Convert an answer to a message."""
    if isinstance(answer, verdicts.Complete):
        kind, reason = AnswerKind.COMPLETE, verdicts.Reason.OK
        return JobAnswer(answer.job_id, kind, reason, answer.results, None, "")
    if isinstance(answer, verdicts.Failed):
        return JobAnswer(
            answer.job_id,
            AnswerKind.FAILED,
            answer.reason,
            answer.results,
            answer.retry_after_s,
            "",
        )
    return JobAnswer(
        answer.job_id,
        AnswerKind.REFUSED,
        answer.reason,
        (),
        answer.retry_after_s,
        answer.detail,
    )


def unpack_answer(message: JobAnswer) -> verdicts.Answer:
    """Convert a message to the answer that it contains."""
    if message.kind is AnswerKind.COMPLETE:
        return verdicts.Complete(message.job_id, message.results)
    if message.kind is AnswerKind.FAILED:
        return verdicts.Failed(
            message.job_id,
            message.reason,
            message.results,
            message.retry_after_s,
        )
    return verdicts.Refused(
        message.job_id, message.reason, message.retry_after_s, message.detail
    )
