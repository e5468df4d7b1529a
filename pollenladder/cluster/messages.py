"""What daemons tell each other; durations are relative, in seconds."""

import dataclasses

from pollenladder.jobs import entities as jobs
from pollenladder.wire import codec


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A heartbeat: what a daemon is and believes.

    Attributes:
        is_owner: Whether it orders the workers.
        epoch: The epoch of its ownership; 0 without one.
        workers_reached: Workers that it reaches as the owner.
        reads_store: Whether the platform's store has answered it lately.
        config_version: The configuration that it has.
        lag_s: How late its event loop runs.
        is_leaving: Whether it is shutting down.
        is_yielding: Whether it claims no workers for a while.
        pending: As the owner, jobs not begun, by queue.
        processor_cores: The processor that it has.
        follows: The owner that it follows, which may be itself, or "".
        shed_share: As the owner, the share of new jobs that is to be refused.
    """

    is_owner: bool
    epoch: int
    workers_reached: int
    reads_store: bool
    config_version: int
    lag_s: float
    is_leaving: bool
    is_backing_off: bool
    pending: dict[str, int]
    processor_cores: float
    follows: str
    shed_share: float


@dataclasses.dataclass(frozen=True)
class Submit:
    """A gateway hands a job to the owner."""

    submission: jobs.Submission


@dataclasses.dataclass(frozen=True)
class Cancel:
    """Nobody waits for a job any more, or its caller cancelled it."""

    job_id: str
    reason: jobs.Reason


@dataclasses.dataclass(frozen=True)
class Answered:
    """The owner's final answer to a job."""

    answer: jobs.Answer


@dataclasses.dataclass(frozen=True)
class NotOwner:
    """A daemon that is not the owner sends a job back; it has not begun."""

    job_id: str


@dataclasses.dataclass(frozen=True)
class RequestConfiguration:
    """Ask for the configuration, as the peer has a newer one."""

    version: int


@dataclasses.dataclass(frozen=True)
class PushConfiguration:
    """A configuration, as it lies in the platform's store."""

    version: int
    source: bytes


# A tag is never used again for another message.
TAGS = (
    (1, Heartbeat),
    (2, Submit),
    (3, Cancel),
    (4, Answered),
    (5, NotOwner),
    (6, RequestConfiguration),
    (7, PushConfiguration),
)


def build_codec() -> codec.Codec:
    """Return the codec of all links."""
    return codec.Codec(TAGS)
