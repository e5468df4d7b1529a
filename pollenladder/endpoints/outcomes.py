"""What is asked of a worker's endpoint, and what came of it."""

import dataclasses
import enum
from typing import Any

from pollenladder.core import verdicts


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """The lease under which a request is made.

    Attributes:
        shard: The shard of the worker.
        holder: The daemon that holds the lease.
        epoch: The epoch it was granted with.
    """

    shard: str
    holder: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """One task to start.

    Attributes:
        task_id: `<job id>:<index>`.
        job_id: The job.
        customer_id: Whose job it is.
        plan_id: The plan it runs under.
        kind: The kind of task.
        lease: The lease it is started under, renewed by it.
        ttl_s: The new term of the lease, in seconds.
        max_run_s: The worker stops the task after so many seconds.
        payload: Any JSON value.
    """

    task_id: str
    job_id: str
    customer_id: str
    plan_id: str
    kind: str
    lease: Lease
    ttl_s: float
    max_run_s: float
    payload: Any = None


@dataclasses.dataclass(frozen=True, slots=True)
class StartOutcome:
    """What is known of a start.

    Attributes:
        verdict: Whether the task has run.
        reason: Why; `OK` only for a task that ran and succeeded.
        output: What the task returned.
        run_s: How long it ran, in seconds; 0 if unknown.
        running: Tasks that the worker runs now; None if it did not say.
        leaving: Whether the worker is leaving; None if it did not say.
        detail: What went wrong, for logs.
    """

    verdict: verdicts.Verdict
    reason: verdicts.Reason
    output: Any = None
    run_s: float = 0.0
    running: int | None = None
    leaving: bool | None = None
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A request without a usable answer, or one that was refused.

    Attributes:
        verdict: `NOT_RUN` if the request has had no effect.
        reason: Why.
        detail: What went wrong, for logs.
    """

    verdict: verdicts.Verdict
    reason: verdicts.Reason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A task that a worker runs, as told with a lease.

    Attributes:
        task_id: The task.
        customer_id: Whose it is.
        plan_id: The plan it runs under.
        kind: Its kind.
        holder: The daemon that started it.
        epoch: The epoch it was started with.
        run_s: How long it has run, in seconds.
    """

    task_id: str
    customer_id: str
    plan_id: str
    kind: str
    holder: str
    epoch: int
    run_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The worker granted the lease.

    Attributes:
        epoch: The epoch of the lease.
        running: What the worker runs now, whoever started it.
        slots: Tasks it runs at once.
        connections: Connections it accepts.
        leaving: Whether it is leaving.
        up_s: For how long it has remembered its tasks; None if not told.
    """

    epoch: int
    running: tuple[RunningTask, ...]
    slots: int
    connections: int
    leaving: bool
    up_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseRefused:
    """The worker refused the lease.

    Attributes:
        holder: Who holds it or held it last; None if nobody did.
        epoch: The epoch of that lease.
        remaining_s: For how long it is in force yet, in seconds.
        max_epoch: The highest epoch the worker has seen.
        leaving: Whether the worker is leaving.
    """

    holder: str | None
    epoch: int
    remaining_s: float
    max_epoch: int
    leaving: bool


LeaseOutcome = LeaseGranted | LeaseRefused | Failure


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseReleased:
    """The worker answered; `released` tells whether the lease was held."""

    released: bool


ReleaseOutcome = LeaseReleased | Failure


class TaskState(enum.Enum):
    """What a worker knows of a task."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSeen:
    """What a worker knows of one task.

    Attributes:
        state: Whether it runs, has ended, or is unknown.
        reason: `OK`, `TASK_ERROR` or `STOPPED` for an ended task, else None.
        output: What an ended task returned.
        run_s: How long it has run, in seconds.
    """

    state: TaskState
    reason: verdicts.Reason | None = None
    output: Any = None
    run_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TasksSeen:
    """The worker's word on tasks.

    Attributes:
        tasks: What it knows, by task id; all that were asked for.
        up_s: For how long it has remembered its tasks; None if not told. A
            task unknown to it may have run there before that.
    """

    tasks: dict[str, TaskSeen]
    up_s: float | None = None


TasksOutcome = TasksSeen | Failure


@dataclasses.dataclass(frozen=True, slots=True)
class TasksStopped:
    """The tasks that were running and are being stopped."""

    task_ids: tuple[str, ...]


StopOutcome = TasksStopped | Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """A worker's usage some time ago.

    Attributes:
        running: Tasks that ran.
        slots: Tasks it runs at once.
        connections_used: Connections that were open.
        lag_s: How long ago that was, in seconds.
    """

    running: int
    slots: int
    connections_used: int
    lag_s: float


UsageOutcome = Usage | Failure
