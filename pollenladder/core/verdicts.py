"""What is known about whether a request has run, and the answers built on it."""

import dataclasses
import enum
from typing import Any


class Verdict(enum.Enum):
    """Whether a request has run on a worker."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"

    def allows_retry(self) -> bool:
        """Return whether starting the request again cannot run it twice."""
        return self is Verdict.NOT_RUN


class Reason(enum.Enum):
    """Why a task or a job ended as it did."""

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
    """The end of one task.

    Attributes:
        task_id: The caller's id of the task, unique within its job.
        verdict: Whether the task has run.
        reason: Why it ended so; `OK` only for a task that ran and succeeded.
        output: What the endpoint answered, any JSON value.
        run_s: Run time seen by the endpoint, in seconds; 0 if unknown.
    """

    task_id: str
    verdict: Verdict
    reason: Reason
    output: Any = None
    run_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Complete:
    """Every task of the job ran and succeeded; results in task order."""

    job_id: str
    results: tuple[TaskResult, ...]


@dataclasses.dataclass(frozen=True)
class Failed:
    """The job did not complete; results tell what happened to each task."""

    job_id: str
    reason: Reason
    results: tuple[TaskResult, ...]
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True)
class Refused:
    """No task of the job has run, nor will.

    Attributes:
        job_id: The job's id.
        reason: Why it was refused.
        retry_after_s: When to come back; None if coming back is of no use.
        detail: A sentence for the caller.
    """

    job_id: str
    reason: Reason
    retry_after_s: float | None
    detail: str = ""


Answer = Complete | Failed | Refused
