"""Verdicts on whether tasks have run, and the answers to jobs."""

import dataclasses
import enum
from typing import Any


class Verdict(enum.Enum):
    """Whether a worker has run a task after a request to start it.

    Attributes:
        RAN: The task has run; it may have failed.
        NOT_RUN: The task has not run, and this request will not run it.
        MAY_HAVE_RUN: It is unknown whether the task has run or will run.
    """

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"

    def allows_retry(self) -> bool:
        """Return whether another start is safe: the task can't run twice."""
        return self is Verdict.NOT_RUN


class Reason(enum.Enum):
    """The reason for the result of a task or a job.

    Attributes:
        OK: The task, or every task of the job, ran and succeeded.
        TASK_ERROR: The task ran and reported an error.
        STOPPED: The worker stopped the task before it had ended.
        BUSY: No slot or connection was free to start the task in time.
        FENCED: The sender is not, or no longer, the owner of its shard, or has
            no lease on the worker.
        LEAVING: The worker is leaving and starts no more tasks.
        UNREACHABLE: The request could not be sent to the worker.
        CONNECTION_LOST: A connection to a worker or another daemon was lost, or
            there was no link to send the job over.
        NO_REPLY: The worker did not reply in time.
        OWNER_LOST: The daemon responsible for the answer died, or lost the
            ownership of its shard.
        DEADLINE: The job's deadline passed, or too little of it was left.
        CANCELLED: The job was cancelled.
        SIBLING_FAILED: Another task of the job failed, which ended the job.
        OVERLOAD: The job would wait too long, or the maximum number of jobs or
            idempotency keys is reached.
        ALLOWANCE: The plan's allowance can't start the job in time.
        NEVER_RUNS: The job could not finish in time even if no other job were
            waiting, or a worker rejected the task as invalid.
        NOT_READY: The shard has no owner that accepts the job now.
        DRAINING: The owner is shutting down.
        KEY_UNKNOWN: The outcome of the key's job is unknown; it may have run.
        KEY_IN_USE: The key belongs to a job with other tasks.
        BAD_REPLY: The worker's reply could not be interpreted, or an internal
            error occurred while the task was started.
    """

    OK = "ok"
    TASK_ERROR = "task_error"
    STOPPED = "stopped"
    BUSY = "busy"
    FENCED = "fenced"
    LEAVING = "leaving"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection_lost"
    NO_REPLY = "no_reply"
    OWNER_LOST = "owner_lost"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    SIBLING_FAILED = "sibling_failed"
    OVERLOAD = "overload"
    ALLOWANCE = "allowance"
    NEVER_RUNS = "never_runs"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    KEY_UNKNOWN = "key_unknown"
    KEY_IN_USE = "key_in_use"
    BAD_REPLY = "bad_reply"


@dataclasses.dataclass(frozen=True)
class TaskResult:
    """The result of one task.

    Attributes:
        task_id: The caller's id of the task, unique within its job.
        verdict: Whether the task has run.
        reason: The reason for the result; `OK` only for a task that ran and
            succeeded.
        output: The endpoint's output, any JSON value.
        run_s: Run time measured by the endpoint, in seconds; 0 if unknown.
    """

    task_id: str
    verdict: Verdict
    reason: Reason
    output: Any = None
    run_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Complete:
    """The answer to a job whose tasks have all run and succeeded.

    Attributes:
        job_id: The job's id.
        results: The result of each task, in the order of the job's tasks.
    """

    job_id: str
    results: tuple[TaskResult, ...]


@dataclasses.dataclass(frozen=True)
class Failed:
    """The answer to a job that did not complete; some tasks may have run.

    Attributes:
        job_id: The job's id.
        reason: Why the job failed.
        results: The result of each task.
        retry_after_s: Time after which the caller may retry, in seconds; None
            if no time is suggested.
    """

    job_id: str
    reason: Reason
    results: tuple[TaskResult, ...]
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Refused:
    """The answer to a job of which no task has run or will run.

    Attributes:
        job_id: The job's id.
        reason: Why the job was refused.
        retry_after_s: Time after which the caller may retry, in seconds; None
            if a retry cannot succeed.
        detail: An explanation for the caller.
    """

    job_id: str
    reason: Reason
    retry_after_s: float | None
    detail: str = ""


Answer = Complete | Failed | Refused
