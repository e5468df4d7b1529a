"""Request bodies of the endpoint interface and worker settings."""

from typing import Any

import pydantic

Count = pydantic.NonNegativeInt
Name = pydantic.constr(strict=True, min_length=1, max_length=512)


class Message(pydantic.BaseModel):
    """Base class of request bodies; unknown fields are invalid."""

    model_config = pydantic.ConfigDict(extra="forbid")


class LeaseMessage(Message):
    """Body of `POST /v1/lease`."""

    shard: Name
    holder: Name
    epoch: Count
    ttl_ms: Count


class ReleaseMessage(Message):
    """Body of `POST /v1/release`."""

    shard: Name
    holder: Name
    epoch: Count


class StartMessage(Message):
    """Body of `POST /v1/start`."""

    task: Name
    job: Name
    customer: Name
    plan: Name
    kind: Name
    shard: Name
    holder: Name
    epoch: Count
    ttl_ms: Count
    max_run_ms: Count
    payload: Any = None


class TasksMessage(Message):
    """Body of `POST /v1/tasks`; the lease is checked if `holder` is set."""

    tasks: list[Name]
    shard: Name | None = None
    holder: Name | None = None
    epoch: Count | None = None


class StopMessage(Message):
    """Body of `POST /v1/stop`."""

    tasks: list[Name]
    holder: Name
    epoch: Count


class FaultsMessage(Message):
    """Body of `POST /control/faults`; omitted faults are left unchanged.

    Attributes:
        fail_all: Each task ends after 1 ms with status "error".
        slow_factor: Factor by which run times are multiplied.
        silent: Requests are read and never answered, on any connection.
        silent_existing: Connections that are open now never answer again.
        leaving: Starts are refused with the reason "leaving".
        drop_replies: Number of tasks that run and whose connection is then
            closed without an answer.
        drop_requests: Number of starts whose connection is closed without an
            answer before the task starts.
        stall_s: Seconds from now during which no request is answered.
        down: The port refuses connections; setting it restarts the worker.
    """

    fail_all: bool | None = None
    slow_factor: pydantic.PositiveFloat | None = None
    silent: bool | None = None
    silent_existing: bool | None = None
    leaving: bool | None = None
    drop_replies: Count | None = None
    drop_requests: Count | None = None
    stall_s: pydantic.NonNegativeFloat | None = None
    down: bool | None = None


class WorkerSettings(pydantic.BaseModel):
    """Settings of a simulated worker; other fields of a VM row are ignored.

    Attributes:
        vm_id: The id of the worker.
        address: The IP address to listen on.
        port: The port to listen on; 0 selects a free port.
        slots: Maximum number of concurrent tasks.
        connections: Maximum number of open connections.
        kinds: The task kinds that it accepts; None accepts any kind.
    """

    vm_id: Name
    address: str = "127.0.0.1"
    port: int = 0
    slots: Count = 8
    connections: Count = 64
    kinds: list[Name] | None = None
