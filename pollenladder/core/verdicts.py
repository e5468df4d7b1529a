"""Verdicts on whether tasks have run, and the answers to jobs."""

import dataclasses
import enum
from typing import Any


class Verdict(enum.Enum):
    """Whether a start request has run its task on a worker."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"

    def allows_retry(self) -> bool:
        """Return whether another start cannot run the task a second time."""
        return self is Verdict.NOT_RUN


class Reason(enum.Enum):
    """The reason for the result of a task or a job."""

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
