"""Jobs, tasks and VMs, which are passed between packages."""

import dataclasses
import enum
from typing import Any

MAX_TASKS_PER_JOB = 100


@dataclasses.dataclass(frozen=True)
class Task:
    """One task of a job as its caller submitted it.

    Attributes:
        task_id: The caller's id, unique within the job.
        kind: The kind of task, one of those that the plan lists.
        payload: Any JSON value, passed to the endpoint unchanged.
        declared_ms: The caller's estimate of the run time, in milliseconds;
            only a hint.
        declared_size: The caller's estimate of the size; only a hint.
    """

    task_id: str
    kind: str
    payload: Any = None
    declared_ms: float = 0.0
    declared_size: float = 0.0


@dataclasses.dataclass(frozen=True)
class Job:
    """A validated submission.

    Attributes:
        job_id: Issued by the daemon that received the job; never reused.
        customer_id: The customer that submitted the job.
        plan_id: The plan under which the job runs.
        tasks: 1 to `MAX_TASKS_PER_JOB` tasks.
        deadline_s: Time from the submission within which the job must be
            answered, in seconds.
        key: The caller's idempotency key, or None.
    """

    job_id: str
    customer_id: str
    plan_id: str
    tasks: tuple[Task, ...]
    deadline_s: float
    key: str | None = None


class VmState(enum.Enum):
    """The state of a VM in the platform's VM list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(enum.Enum):
    """What runs on a VM: a daemon (`ENTRY`) or an endpoint of a worker."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


@dataclasses.dataclass(frozen=True)
class Vm:
    """One row of the platform's VM list.

    Attributes:
        vm_id: The platform's id; also the id of the worker or daemon.
        role: What runs on the VM.
        data_centre: The VM's data centre.
        rack: The VM's rack within the data centre.
        address: The VM's IP address.
        port: The HTTP port of an endpoint, or the peer port of a daemon.
        http_port: The HTTP port of a daemon; 0 for an endpoint.
        state: Whether the VM is live or leaving.
        slots: Number of tasks that an endpoint runs at once; 0 for a daemon.
        connections: Number of connections that an endpoint accepts; 0 for a
            daemon.
    """

    vm_id: str
    role: VmRole
    data_centre: str
    rack: str
    address: str
    port: int
    http_port: int = 0
    state: VmState = VmState.LIVE
    slots: int = 0
    connections: int = 0
