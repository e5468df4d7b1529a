"""The platform's JSON messages, under the names that they have on the wire."""

from typing import Annotated

import msgspec

# What a decoder raises on an invalid value. One that is nested too deeply raises
# RecursionError, even in a field that is ignored.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError)

# Larger values cannot be sent to other daemons.
MAX_INTEGER = 2**53
Natural = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Text = Annotated[str, msgspec.Meta(max_length=4000)]
# Longest name, id or task name that another writer chooses.
MAX_NAME_CHARS = 200
# Bounds the sum over all workers, which is sent to other daemons.
Amount = Annotated[int, msgspec.Meta(ge=0, le=2**40)]


class _Wire(msgspec.Struct, frozen=True, rename="pascal"):
    """Base class of messages whose field names are PascalCase on the wire."""


class Step(_Wire, frozen=True):
    """A step of a job.

    An absent field has the value zero, false or empty. `platform.callers`
    rejects steps that use an unsupported feature.
    """

    # Number of tasks.
    count: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0
    # Run time of one task, as estimated by the caller.
    estimate_ms: Annotated[float, msgspec.Meta(ge=0)] = 0
    after: tuple[int, ...] = ()
    # The tasks run only together.
    gang: bool = False
    # A label that the worker must have.
    requires: str = ""
    # Maximum number of the tasks on one worker.
    anti_affinity: int = 0
    long_running: bool = False
    fills: bool = False


class Job(_Wire, frozen=True):
    """The body of a request that submits a job."""

    spec: Text
    steps: Annotated[tuple[Step, ...], msgspec.Meta(min_length=1)]
    # A preemptible job is not persisted, and its request is answered when the
    # job has ended.
    preemptible: bool = False
    times: int = 0
    start_at_ms: int = 0


class Advice(_Wire, frozen=True):
    """Marks a queue whose workers are selected by an external service."""

    decide_ms: float = 0


class Route(_Wire, frozen=True):
    """A queue: a host and path prefix, and the service that runs its jobs."""

    name: Text
    host: Text
    prefix: Text
    service: Text
    timeout_ms: float = 1500
    # Not the whole objective, despite the name: the response time objective is
    # `stretch` times the run time, plus `slo_ms`.
    slo_ms: float = 0
    stretch: float = 1.0
    priority: Integer = 0
    attempts: Integer = 1
    advice: Advice | None = None
    # Regions whose workers may run the jobs; empty or null for all.
    allowed_regions: tuple[Text, ...] | None = None


class Limits(_Wire, frozen=True):
    """Limits of callers' requests."""

    max_body_bytes: int = 262_144


class Service(_Wire, frozen=True):
    """A service that workers provide."""

    name: str
    # For how long a worker is slow after its start; 0 if it is not.
    cold_start_s: Annotated[float, msgspec.Meta(ge=0)] = 0
    # Whether its workers reject what does not fit into their capacity.
    enforces_capacity: bool = True


class Config(_Wire, frozen=True):
    """The operator's configuration."""

    version: Positive
    routes: tuple[Route, ...] = ()
    limits: Limits = Limits()
    # A list of `Service`. Kept raw, because an unexpected form must not reject
    # the whole configuration.
    services: msgspec.Raw = msgspec.Raw(b"[]")


class Capacity(_Wire, frozen=True):
    """The resources of a worker."""

    cpu: Amount
    mem_mb: Amount
    gpu: Amount = 0


class ServerEntry(_Wire, frozen=True):
    """A worker's description of itself in the store.

    Fields that are not used are declared too, because one of another type shows
    that the entry does not describe a worker.
    """

    service: str
    addr: str
    zone: str
    state: str
    capacity: Capacity
    # For how much longer the worker is slow after its start.
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_INTEGER)] = 0
    version: str = ""
    slots: Natural = 0
    seq: Natural = 0
    # Some writers send null for an empty list.
    labels: tuple[str, ...] | None = None


class Started(_Wire, frozen=True):
    """A worker's response to a start request.

    The reason is present only if the worker rejected the request.
    """

    clock_ms: float = 0
    reason: str = ""


class Hold(_Wire, frozen=True):
    """A worker's response to a poll: its current and ended runs.

    Rows of `running` have the columns task, run, checkpoint and percent, and
    sometimes more. Rows of `ended` have the columns sequence number, task,
    run, outcome and checkpoint.
    """

    # The worker's monotonic clock.
    clock_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_INTEGER)]
    running: tuple[tuple, ...] = ()
    ended: tuple[tuple, ...] = ()
    # When the worker's process started, in milliseconds; lower case on the
    # wire.
    born: Natural = msgspec.field(default=0, name="born")


class Row(_Wire, frozen=True):
    """A row of the store; a feed marks deleted rows as removed."""

    table: str
    key: str
    # The store's version at the row's last change.
    ver: Natural
    # Base64 text.
    value: str = ""
    removed: bool = False
    # An additional part of the key. It is empty in all rows that are used here.
    part: str = msgspec.field(default="", name="part")


class RowAddress(_Wire, frozen=True):
    """What tells a row from others, if the rest of it cannot be decoded."""

    key: str
    ver: Natural
    part: str = msgspec.field(default="", name="part")


class Rows(_Wire, frozen=True):
    """Rows, and the store's version at which they were read."""

    ver: Natural
    rows: tuple[Row, ...] = msgspec.field(default=(), name="rows")
    has_more: bool = False


class RawRows(_Wire, frozen=True):
    """Rows that are decoded one by one."""

    ver: Natural
    rows: tuple[msgspec.Raw, ...] = msgspec.field(default=(), name="rows")
    has_more: bool = False


class Ownership(msgspec.Struct, frozen=True):
    """The value of the owner's row, which only daemons write and read."""

    daemon_id: str
    epoch: Natural


class Written(_Wire, frozen=True):
    """The response to a transaction."""

    ver: int = 0
