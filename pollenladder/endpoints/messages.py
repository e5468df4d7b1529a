"""Models of an endpoint's responses; unknown fields are ignored."""

from typing import Any
from typing import Literal

import pydantic

Count = pydantic.NonNegativeInt
Milliseconds = pydantic.confloat(ge=0, allow_inf_nan=False)
Status = Literal["ok", "error", "stopped"]


class RanMessage(pydantic.BaseModel):
    """The reply to a start whose task has run."""

    verdict: Literal["ran"]
    status: Status
    output: Any = None
    run_ms: Milliseconds
    running: Count | None = None
    leaving: bool | None = None


class NotRunMessage(pydantic.BaseModel):
    """The reply to a refused request, which had no effect."""

    verdict: Literal["not_run"]
    reason: str
    field: str = ""
    running: Count | None = None
    leaving: bool | None = None


class RunningTaskMessage(pydantic.BaseModel):
    """A running task in the reply to a granted lease."""

    task: str
    customer: str
    plan: str
    kind: str
    holder: str
    epoch: Count
    run_ms: Milliseconds


class LeaseGrantedMessage(pydantic.BaseModel):
    """The reply to a lease request that was granted."""

    granted: Literal[True]
    epoch: Count
    running: list[RunningTaskMessage]
    slots: Count
    connections: Count
    leaving: bool
    up_ms: Milliseconds | None = None


class LeaseRefusedMessage(pydantic.BaseModel):
    """The reply to a lease request that was refused."""

    granted: Literal[False]
    holder: str | None
    epoch: Count
    remaining_ms: Milliseconds
    max_epoch: Count
    leaving: bool


class ReleasedMessage(pydantic.BaseModel):
    """The reply to the release of a lease."""

    released: bool


class TaskSeenMessage(pydantic.BaseModel):
    """The state of one task on the worker."""

    state: Literal["unknown", "running", "ended"]
    status: Status | None = None
    output: Any = None
    run_ms: Milliseconds = 0.0

    @pydantic.model_validator(mode="after")
    def require_status(self) -> "TaskSeenMessage":
        """Reject an ended task without a status."""
        if self.state == "ended" and self.status is None:
            raise ValueError("an ended task needs a status")
        return self


class TasksSeenMessage(pydantic.BaseModel):
    """The reply to a query for the states of tasks."""

    tasks: dict[str, TaskSeenMessage]
    up_ms: Milliseconds | None = None


class StoppedMessage(pydantic.BaseModel):
    """The reply to a stop request: the tasks that are being stopped."""

    stopped: list[str]


class UsageMessage(pydantic.BaseModel):
    """The worker's usage at an earlier time."""

    running: Count
    slots: Count
    connections_used: Count
    lag_ms: Milliseconds
