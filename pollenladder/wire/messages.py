"""The messages that daemons send each other.

Durations are in seconds and always relative, as clocks are not shared.
"""

import dataclasses
import enum
from typing import Any

from pollenladder.core import entities
from pollenladder.core import verdicts
from pollenladder.plans import takeover


class AnswerKind(enum.Enum):
    """Which of the answers in `core.verdicts` a message carries."""

    COMPLETE = "complete"
    FAILED = "failed"
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True)
class JobOffer:
    """A gateway hands a whole job to the owner of a shard."""

    shard_id: str
    job: entities.Job


@dataclasses.dataclass(frozen=True)
class JobAnswer:
    """An owner's final answer to a job, whole."""

    job_id: str
    kind: AnswerKind
    reason: verdicts.Reason
    results: tuple[verdicts.TaskResult, ...]
    retry_after_s: float | None
    detail: str


@dataclasses.dataclass(frozen=True)
class JobCancel:
    """The gateway no longer wants these jobs of a shard."""

    shard_id: str
    job_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class JobQuery:
    """A gateway that lost its link asks what became of a job.

    An owner that has never seen the job makes sure that it never starts, and
    answers that it is refused.
    """

    shard_id: str
    job_id: str
    task_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class JobPending:
    """The owner has the job and will answer it over this link."""

    job_id: str


@dataclasses.dataclass(frozen=True)
class BatchTask:
    """A task of a batch.

    Attributes:
        index: Its place within the job.
        task: The task.
        lender_id: The shard whose unit of the allowance it uses, if the unit
            is borrowed, else empty.
    """

    index: int
    task: entities.Task
    lender_id: str


@dataclasses.dataclass(frozen=True)
class BatchOffer:
    """An owner spills tasks of one job to the owner of another shard.

    The sender holds a unit of its allowance for each task until the result.

    Attributes:
        batch_id: Unique for all time.
        from_shard_id: The shard whose owner has the job.
        from_epoch: That owner's epoch.
        shard_id: The shard that shall run the tasks.
        job_id: The job.
        customer_id: The job's customer.
        plan_id: The job's plan.
        waited_s: For how long the job has been due, in seconds.
        deadline_s: Seconds left of the job's deadline.
        start_within_s: No task may start later than this.
        tasks: The tasks with their places.
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
    """The results of a batch, whole, in the order of its tasks."""

    batch_id: str
    results: tuple[verdicts.TaskResult, ...]


@dataclasses.dataclass(frozen=True)
class BatchCancel:
    """The owner that spilled these batches no longer wants them."""

    shard_id: str
    batch_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class BatchQuery:
    """An owner that lost its link asks what became of a batch."""

    shard_id: str
    batch_id: str
    task_ids: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class BatchPending:
    """The owner has the batch and will answer it over this link."""

    batch_id: str


@dataclasses.dataclass(frozen=True)
class ShardLoad:
    """What the owner of a shard tells others of its load.

    Attributes:
        shard_id: The shard.
        epoch: The owner's epoch.
        free: Slots free now.
        queued: Tasks that wait now.
        slots: Slots of usable workers.
        stamp: What callers put before their keys; empty if not ready.
        stamp_expires_s: How long new keys with the stamp are accepted.
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
    """Where a daemon can be reached."""

    daemon_id: str
    data_centre: str
    address: str
    peer_port: int
    http_port: int
    leaving: bool


@dataclasses.dataclass(frozen=True)
class ShardOwner:
    """Which daemon owns a shard, as the sender has heard."""

    shard_id: str
    daemon_id: str
    epoch: int
    slots: int


@dataclasses.dataclass(frozen=True)
class Digest:
    """What a daemon tells its peers at intervals and upon a change.

    Attributes:
        version: Version of the declarations in force at the sender.
        leaving: Whether the sender is draining.
        loads: The shards that the sender owns.
        owners: Owners that the sender knows; only upon a new link.
        peers: Daemons that the sender knows; only upon a new link.
    """

    version: int
    leaving: bool
    loads: tuple[ShardLoad, ...]
    owners: tuple[ShardOwner, ...]
    peers: tuple[PeerInfo, ...]


@dataclasses.dataclass(frozen=True)
class DeclarationsPush:
    """The declarations at a version, as the value of the platform's row."""

    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class DeclarationsDelta:
    """What a version of the declarations changes in an earlier one.

    Attributes:
        base: The version that it changes; of use only to who has that one.
        version: The version that it makes.
        delta: See `plans.deltas`.
    """

    base: int
    version: int
    delta: Any


@dataclasses.dataclass(frozen=True)
class Claim:
    """A new owner of a shard asks what another shard holds from it."""

    shard_id: str
    epoch: int
    asked_id: str


@dataclasses.dataclass(frozen=True)
class ClaimReply:
    """What the asked shard holds; `is_known` is False if it cannot tell yet."""

    shard_id: str
    epoch: int
    asked_id: str
    is_known: bool
    held: tuple[takeover.HeldUnits, ...]


@dataclasses.dataclass(frozen=True)
class JobLookup:
    """Ask the daemon that received a job for its answer, or cancel it there."""

    request_id: int
    job_id: str
    customer_id: str
    wait_s: float
    cancel: bool


@dataclasses.dataclass(frozen=True)
class JobLookupReply:
    """What the daemon that received a job says of it.

    Attributes:
        request_id: The lookup's.
        known: Whether the job is known for that customer.
        running: Whether it is still running.
        answer: The final answer if there is one.
    """

    request_id: int
    known: bool
    running: bool
    answer: JobAnswer | None


@dataclasses.dataclass(frozen=True)
class WorkerDrain:
    """An operator drains a worker; a request id of 0 wants no reply."""

    request_id: int
    worker_id: str


@dataclasses.dataclass(frozen=True)
class WorkerDrainReply:
    """Whether the daemon asked owns the worker's shard, and so has done it."""

    request_id: int
    is_owner: bool


def pack_answer(answer: verdicts.Answer) -> JobAnswer:
    """Return the message that carries an answer."""
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
    """Return the answer that a message carries."""
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
