"""Validated bodies of the requests to an endpoint."""

from typing import Any

import pydantic

Count = pydantic.NonNegativeInt
Name = pydantic.constr(strict=True, min_length=1, max_length=512)


class Message(pydantic.BaseModel):
    """A request body; unknown fields are errors."""

    model_config = pydantic.ConfigDict(extra="forbid")


class LeaseMessage(Message):
    """`POST /v1/lease`."""

    shard: Name
    holder: Name
    epoch: Count
    ttl_ms: Count


class ReleaseMessage(Message):
    """`POST /v1/release`."""

    shard: Name
    holder: Name
    epoch: Count


class StartMessage(Message):
    """`POST /v1/start`."""

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
    """`POST /v1/tasks`; the lease is checked if a holder is named."""

    tasks: list[Name]
    shard: Name | None = None
    holder: Name | None = None
    epoch: Count | None = None


class StopMessage(Message):
    """`POST /v1/stop`."""

    tasks: list[Name]
    holder: Name
    epoch: Count


class FaultsMessage(Message):
    """`POST /control/faults`; what is left out stays as it is.

    Attributes:
        fail_all: Each task ends at once in "error".
        slow_factor: Run times are multiplied by it.
        silent: Requests are read and never answered, on any connection.
        silent_existing: Connections open now never answer again.
        leaving: Starts are refused as "leaving".
        drop_replies: So many tasks run, but their connection is closed
            without an answer.
        drop_requests: So many starts are dropped before the task starts.
        stall_s: Nothing is answered for so many seconds from now.
        down: The port refuses connections; becoming so is a restart.
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
    """One worker to stand in for; further fields of a VM row are ignored.

    Attributes:
        vm_id: The worker's id.
        address: The IP number to listen on.
        port: The port to listen on; 0 takes a free one.
        slots: Tasks it runs at once.
        connections: Connections it accepts.
        kinds: The kinds of task it knows; None for any.
    """

    vm_id: Name
    address: str = "127.0.0.1"
    port: int = 0
    slots: Count = 8
    connections: Count = 64
    kinds: list[Name] | None = None
