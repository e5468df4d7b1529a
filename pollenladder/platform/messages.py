"""The platform's messages under its own names, as they go over the wire."""

from typing import Annotated

import msgspec

Natural = Annotated[int, msgspec.Meta(ge=0)]
Positive = Annotated[int, msgspec.Meta(ge=1)]
Text = Annotated[str, msgspec.Meta(max_length=4000)]


class _Wire(msgspec.Struct, frozen=True, rename="pascal"):
    """A message whose names on the wire are capitalized."""


class Step(_Wire, frozen=True):
    """A step of a job; zero, false and empty stand for absent."""

    count: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    cpu: Natural = 0
    mem_mb: Natural = 0
    gpu: Natural = 0
    estimate_ms: Annotated[float, msgspec.Meta(ge=0)] = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    requires: str = ""
    anti_affinity: int = 0
    long_running: bool = False
    fills: bool = False


class Job(_Wire, frozen=True):
    """The body of a job."""

    spec: Text
    steps: Annotated[tuple[Step, ...], msgspec.Meta(min_length=1)]
    # The job need not be kept, and is answered when it has ended.
    preemptible: bool = False
    times: int = 0
    start_at_ms: int = 0


class Advice(_Wire, frozen=True):
    """That an outside service knows which workers may run a queue."""

    decide_ms: float = 0


class Route(_Wire, frozen=True):
    """A queue."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: float = 1500
    # Added to the stretched run time; it is no objective by itself.
    slo_ms: float = 0
    stretch: float = 1.0
    priority: int = 0
    attempts: int = 1
    advice: Advice | None = None


class Limits(_Wire, frozen=True):
    """Bounds of callers' requests."""

    max_body_bytes: int = 262_144


class Config(_Wire, frozen=True):
    """What the operator has declared."""

    version: Positive
    routes: tuple[Route, ...] = ()
    limits: Limits = Limits()


class Capacity(_Wire, frozen=True):
    """What a worker has."""

    cpu: Natural
    mem_mb: Natural
    gpu: Natural = 0


class ServerEntry(_Wire, frozen=True):
    """A worker's entry about itself."""

    service: str
    addr: str
    zone: str
    state: str
    capacity: Capacity


class Started(_Wire, frozen=True):
    """A worker's reply to an order; the reason only with a rejection."""

    clock_ms: float = 0
    reason: str = ""


class Hold(_Wire, frozen=True):
    """A worker's account of its runs.

    Rows of `running`: task, run, checkpoint, percent, and more on some days.
    Rows of `ended`: place in the list, task, run, how, checkpoint.
    """

    clock_ms: float
    running: tuple[tuple, ...] = ()
    ended: tuple[tuple, ...] = ()
    # Spelled in lower case on the wire.
    born: int = msgspec.field(default=0, name="born")


class Row(_Wire, frozen=True):
    """A row of the store; a feed marks a dropped one as removed."""

    table: str
    key: str
    ver: int
    # Base64.
    value: str = ""
    removed: bool = False
    part: str = msgspec.field(default="", name="part")


class Rows(_Wire, frozen=True):
    """Rows, and the version of the whole store at which they were read."""

    ver: int
    rows: tuple[Row, ...] = msgspec.field(default=(), name="rows")
    has_more: bool = False


class Written(_Wire, frozen=True):
    """The reply to a transaction."""

    ver: int = 0
