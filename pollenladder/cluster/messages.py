"""Messages between daemons.

Durations are relative, in seconds, so daemons need no common clock.
"""

import dataclasses

from pollenladder.jobs import entities as jobs
from pollenladder.wire import codec


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A heartbeat with the sender's state.

    Attributes:
        is_owner: Whether the sender owns the workers.
        epoch: The epoch of the sender's ownership. If the sender is not the
            owner, this is the highest epoch that it has seen, or 0.
        workers_reached: The number of workers that the sender reaches as the
            owner.
        reads_store: Whether the platform's store has answered the sender
            recently.
        config_version: The version of the sender's configuration.
        lag_s: The mean lag of the sender's event loop.
        is_leaving: Whether the sender is shutting down.
        is_backing_off: Whether the sender has resigned recently and claims no
            ownership for `ownership.CLAIM_BACKOFF_S`.
        pending: As the owner, the number of jobs not begun, by queue.
        processor_cores: The processor capacity of the sender, in cores.
        follows: The owner that the sender follows, which may be the sender
            itself, or "" if there is none.
        shed_share: As the owner, the share of new jobs that gateways refuse,
            0 to 1.
        is_settled: As the owner, whether it has been for
            `ownership.SETTLING_S`.
        successor: The daemon to which the sender has just handed over, or "".
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
    is_settled: bool
    successor: str


@dataclasses.dataclass(frozen=True)
class Submit:
    """A gateway forwards a job to the owner."""

    submission: jobs.Submission


@dataclasses.dataclass(frozen=True)
class Cancel:
    """A gateway cancels a job: its caller disconnected or cancelled it."""

    job_id: str
    reason: jobs.Reason


@dataclasses.dataclass(frozen=True)
class Answered:
    """The owner's final answer for a job."""

    answer: jobs.Answer


@dataclasses.dataclass(frozen=True)
class NotOwner:
    """A daemon rejects a job because it is not the owner.

    The job has not begun there.
    """

    job_id: str


@dataclasses.dataclass(frozen=True)
class RequestConfiguration:
    """A request for the configuration of a peer that has a newer one.

    Attributes:
        version: The version that the sender has.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class PushConfiguration:
    """A configuration, encoded as in the platform's store."""

    version: int
    source: bytes


# Wire tags. Never reuse a tag for another message.
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
    """Return the codec for links between daemons."""
    return codec.Codec(TAGS)
