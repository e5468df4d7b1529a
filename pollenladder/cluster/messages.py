"""Messages between daemons.

Durations are relative, in seconds, so daemons need no common clock.
"""

import dataclasses

from pollenladder.cluster import groups
from pollenladder.fleet import entities as fleet
from pollenladder.fleet import evacuations
from pollenladder.fleet import worker_lists
from pollenladder.jobs import entities as jobs
from pollenladder.wire import codec


@dataclasses.dataclass(frozen=True)
class GroupState:
    """What a daemon tells about the ownership of one group of workers.

    Attributes:
        group: The group's name.
        is_owner: Whether the sender owns the workers of the group.
        epoch: The epoch of the sender's ownership. If the sender is not the
            owner, this is the highest epoch that it has seen, or 0.
        workers_reached: The number of workers that the sender reaches as the
            owner.
        is_settled: As the owner, whether it has been for
            `ownership.SETTLING_S`.
        is_backing_off: Whether the sender has resigned recently and claims no
            ownership for `ownership.CLAIM_BACKOFF_S`.
        follows: The owner that the sender follows, which may be the sender
            itself, or "" if there is none.
        successor: The daemon to which the sender has just handed over, or "".
        pending: As the owner, the number of jobs not begun, by queue.
        loads: As the owner, the load of the group, by service.
    """

    group: str
    is_owner: bool
    epoch: int
    workers_reached: int
    is_settled: bool
    is_backing_off: bool
    follows: str
    successor: str
    pending: dict[str, int]
    loads: dict[str, fleet.ServiceLoad]


@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A heartbeat with the sender's state.

    Attributes:
        reads_store: Whether the platform's store has answered the sender
            recently.
        config_version: The version of the sender's configuration.
        layout_version: The version of the sender's layout of groups.
        lag_s: The mean lag of the sender's event loop.
        is_leaving: Whether the sender is shutting down.
        processor_cores: The processor capacity of the sender, in cores.
        shed_share: As an owner, the share of new jobs that gateways refuse,
            0 to 1.
        groups: The groups that the sender owns or may own.
        worker_list: How long the sender has known the list of workers.
        evacuated: The evacuated data centres that the sender knows.
        is_evacuated_current: Whether the sender has confirmed that set since it
            was last paused for long.
        crashing_queues: The queues that the sender has found to crash workers,
            and for how much longer they count as such, in seconds.
    """

    reads_store: bool
    config_version: int
    layout_version: int
    lag_s: float
    is_leaving: bool
    processor_cores: float
    shed_share: float
    groups: tuple[GroupState, ...]
    worker_list: worker_lists.ListReport
    evacuated: evacuations.EvacuatedSet
    is_evacuated_current: bool
    crashing_queues: dict[str, float]

    def count_owned(self) -> int:
        """Return the number of groups that the sender owns."""
        return sum(state.is_owner for state in self.groups)


@dataclasses.dataclass(frozen=True)
class Submit:
    """A gateway forwards a job to the owner of a group."""

    group: str
    submission: jobs.Submission


@dataclasses.dataclass(frozen=True)
class CancelAttempt:
    """A gateway cancels an attempt: its caller has left, or its time is over."""

    job_id: str
    attempt: int
    reason: jobs.Reason


@dataclasses.dataclass(frozen=True)
class CancelJob:
    """A caller has cancelled a job, for all of its attempts."""

    job_id: str


@dataclasses.dataclass(frozen=True)
class JobCancelled:
    """A daemon knows now that a caller has cancelled a job."""

    job_id: str


@dataclasses.dataclass(frozen=True)
class Answered:
    """The owner's final answer for an attempt of a job."""

    answer: jobs.Answer


@dataclasses.dataclass(frozen=True)
class TasksCrashed:
    """An owner tells a gateway that workers were lost under tasks of a job."""

    job_id: str
    attempt: int
    crashes: tuple[jobs.TaskCrashes, ...]


@dataclasses.dataclass(frozen=True)
class NotOwner:
    """A daemon does not serve an attempt, as it does not own the group.

    An owner that has ended an attempt, as it heard nothing from the gateway, sends
    this too. The job may have begun there.
    """

    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class Release:
    """An attempt that a group has refused does not run in another group either."""

    group: str
    job_id: str
    attempt: int


@dataclasses.dataclass(frozen=True)
class RunsElsewhere:
    """Another group may execute an attempt of a job.

    It is sent to the owners of the groups that the job would have gone to first,
    so that they don't start another attempt of the job beside it.

    Attributes:
        group: The group whose owner is told.
        job_id: The job.
        attempt: Number of the attempt.
        budget_s: Time left until the deadline of the attempt, in seconds.
    """

    group: str
    job_id: str
    attempt: int
    budget_s: float


@dataclasses.dataclass(frozen=True)
class Reserve:
    """A gateway asks the registrar of a job where the job may be.

    Attributes:
        registrar: The group whose owner is asked.
        job_id: The job.
        attempt: Number of the attempt.
        group: The group that the gateway wants to send the job to.
        budget_s: Time left until the deadline of the attempt, in seconds.
        is_there: Whether that group has the job already, so that there is no reply.
    """

    registrar: str
    job_id: str
    attempt: int
    group: str
    budget_s: float
    is_there: bool


@dataclasses.dataclass(frozen=True)
class Reserved:
    """The registrar tells which group may execute a job.

    Attributes:
        job_id: The job.
        attempt: Number of the attempt.
        group: The group.
        is_first: Whether the registrar knows of no other attempt.
    """

    job_id: str
    attempt: int
    group: str
    is_first: bool


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


@dataclasses.dataclass(frozen=True)
class RequestLayout:
    """A request for the layout of a peer that has a newer one.

    Attributes:
        version: The version that the sender has.
    """

    version: int


@dataclasses.dataclass(frozen=True)
class PushLayout:
    """A layout of the workers' groups."""

    layout: groups.Layout


# Wire tags. Never reuse a tag for another message; 1 to 5, 8, 9 and 12 to 17 are
# retired.
TAGS = (
    (6, RequestConfiguration),
    (7, PushConfiguration),
    (10, RequestLayout),
    (11, PushLayout),
    (18, Heartbeat),
    (19, Submit),
    (20, CancelAttempt),
    (21, Answered),
    (22, TasksCrashed),
    (23, NotOwner),
    (24, Release),
    (25, CancelJob),
    (26, RunsElsewhere),
    (27, Reserve),
    (28, Reserved),
    (30, JobCancelled),
)


def build_codec() -> codec.Codec:
    """Return the codec for links between daemons."""
    return codec.Codec(TAGS)
