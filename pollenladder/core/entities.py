"""Jobs, tasks, workers and peers as they are passed between packages."""

import dataclasses
import enum
from typing import Any

MAX_TASKS_PER_JOB = 100


@dataclasses.dataclass(frozen=True)
class Task:
    """One task of a job as its caller submitted it.

    Attributes:
        task_id: The caller's id, unique within the job.
        kind: The kind of task, one of those the plan lists.
        payload: Any JSON value, passed to the endpoint as it is.
        declared_ms: The caller's word on the run time; a hint only.
        declared_size: The caller's word on the size; a hint only.
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
        job_id: Issued by the daemon that received it, unique for all time.
        customer_id: Who submitted it.
        plan_id: The plan that it runs under.
        tasks: 1 to `MAX_TASKS_PER_JOB` tasks.
        deadline_s: Seconds from submission within which it must be answered.
        key: The caller's idempotency key, or None.
    """

    job_id: str
    customer_id: str
    plan_id: str
    tasks: tuple[Task, ...]
    deadline_s: float
    key: str | None = None


class VmState(enum.Enum):
    """What the VM list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class VmRole(enum.Enum):
    """What runs on a VM."""

    ENTRY = "entry"
    ENDPOINT = "endpoint"


@dataclasses.dataclass(frozen=True)
class Vm:
    """One row of the platform's VM list.

    Attributes:
        vm_id: The platform's id; the worker id or the daemon id.
        role: What runs there.
        data_centre: Where it is.
        rack: The rack within the data centre.
        address: An IP number.
        port: HTTP port of the endpoint, or peer port of the daemon.
        http_port: HTTP port of a daemon; 0 for an endpoint.
        state: Live or leaving.
        slots: Tasks an endpoint runs at once; 0 for an entry VM.
        connections: Connections an endpoint accepts; 0 for an entry VM.
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
