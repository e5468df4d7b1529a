"""Requests to a worker's endpoint and their outcomes."""

import dataclasses
import enum
from typing import Any

from pollenladder.core import verdicts


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """A lease on a worker under which requests are made.

    Attributes:
        shard: The id of the worker's shard.
        holder: The id of the daemon that holds the lease.
        epoch: The epoch with which the lease was granted.
    """

    shard: str
    holder: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """A request to start one task.

    Attributes:
        task_id: `<job id>:<index>`.
        job_id: The id of the task's job.
        customer_id: The id of the customer who submitted the job.
        plan_id: The id of the plan under which the task runs.
        kind: The kind of the task.
        lease: The lease under which the task is started. The start renews it.
        ttl_s: The new term of the lease, in seconds.
        max_run_s: Run time after which the worker stops the task, in seconds.
        payload: The input of the task, any JSON value.
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
    """The outcome of a start.

    Attributes:
        verdict: Whether the task has run.
        reason: Why the start has this outcome; `OK` only if the task
            succeeded.
        output: The output of the task.
        run_s: The run time of the task, in seconds; 0 if unknown.
        running: Number of tasks that run on the worker now; None if the reply
            does not contain it.
        leaving: Whether the worker is leaving; None if the reply does not
            contain it.
        detail: Description of an error, for logs.
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
    """The outcome of a request that was refused or got no usable reply.

    Attributes:
        verdict: `NOT_RUN` if the request had no effect, `MAY_HAVE_RUN` if
            that is unknown.
        reason: Why the request failed.
        detail: Description of the error, for logs.
    """

    verdict: verdicts.Verdict
    reason: verdicts.Reason
    detail: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RunningTask:
    """A running task, as listed in the reply to a granted lease.

    Attributes:
        task_id: The id of the task.
        customer_id: The id of the customer who submitted the task's job.
        plan_id: The id of the plan under which the task runs.
        kind: The kind of the task.
        holder: The id of the daemon that started the task.
        epoch: The epoch with which the task was started.
        run_s: The run time so far, in seconds.
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
        running: All tasks that run on the worker, also those started by other
            daemons.
        slots: Maximum number of tasks that run at once.
        connections: Maximum number of connections that the worker accepts.
        leaving: Whether the worker is leaving.
        up_s: How far back the worker's record of its tasks reaches, in
            seconds; None if the reply does not contain it.
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
        holder: The current or last holder of the lease; None if there was none.
        epoch: The epoch of the holder's lease.
        remaining_s: Time until the holder's lease expires, in seconds.
        max_epoch: The highest epoch that the worker has seen.
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
    """The worker replied; `released` tells whether the lease was held."""

    released: bool


ReleaseOutcome = LeaseReleased | Failure


class TaskState(enum.Enum):
    """The state of a task on a worker."""

    UNKNOWN = "unknown"
    RUNNING = "running"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True, slots=True)
class TaskSeen:
    """The state of one task on a worker, as reported by the worker.

    Attributes:
        state: Whether the task is running, ended or unknown to the worker.
        reason: `OK`, `TASK_ERROR` or `STOPPED` for an ended task, else None.
        output: The output of an ended task.
        run_s: The run time so far, in seconds.
    """

    state: TaskState
    reason: verdicts.Reason | None = None
    output: Any = None
    run_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class TasksSeen:
    """The worker's reply to a query for the states of tasks.

    Attributes:
        tasks: The states by task id, of at least all queried tasks.
        up_s: How far back the worker's record of its tasks reaches, in
            seconds; None if the reply does not contain it. A task that is
            unknown to the worker may have run there before that.
    """

    tasks: dict[str, TaskSeen]
    up_s: float | None = None


TasksOutcome = TasksSeen | Failure


@dataclasses.dataclass(frozen=True, slots=True)
class TasksStopped:
    """The ids of the tasks that were running and are being stopped."""

    task_ids: tuple[str, ...]


StopOutcome = TasksStopped | Failure


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """A worker's usage at an earlier time.

    Attributes:
        running: Number of running tasks at that time.
        slots: Maximum number of tasks that run at once.
        connections_used: Number of open connections at that time.
        lag_s: Age of these values, in seconds.
    """

    running: int
    slots: int
    connections_used: int
    lag_s: float


UsageOutcome = Usage | Failure
