"""Effects that an owner decides on, which the daemon carries out."""

import dataclasses
import enum

from pollenladder.jobs import entities as jobs


@dataclasses.dataclass(frozen=True, slots=True)
class StartRun:
    """Order a worker to run a task."""

    worker_id: str
    task: str
    number: int
    spec: str


@dataclasses.dataclass(frozen=True, slots=True)
class StopRun:
    """Order a worker to stop a run, or to reject it if it arrives later."""

    worker_id: str
    task: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class LookNow:
    """Poll a worker at once, without waiting for a run to end.

    The class name is a value in the log event `order_dropped`.
    """

    worker_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerJob:
    """Send the final answer of a job to its gateway."""

    gateway_id: str
    answer: jobs.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ReportCrashes:
    """Tell the gateway of a job how many workers were lost under its tasks."""

    gateway_id: str
    job_id: str
    crashes: tuple[jobs.TaskCrashes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """Write an event to the log.

    Attributes:
        event: Name of the event.
        fields: Fields of the event.
    """

    event: str
    fields: dict[str, object]


@dataclasses.dataclass(frozen=True, slots=True)
class CountDecision:
    """Add one to the counter of a kind of decision."""

    decision: str


class Failure(enum.Enum):
    """A failure of workers that is counted for the metrics.

    Attributes:
        WORKER_LOST: A worker no longer replies.
        RUN_ON_LOST_WORKER: A run was on a worker when it was lost.
        WORKER_CRASHED: The process of a worker with runs has ended.
        JOB_GIVEN_UP: A job was ended, as workers were lost under one of its
            tasks.
        JOB_REFUSED: A job was refused, as tasks of its queue crash workers.
    """

    WORKER_LOST = "worker_lost"
    RUN_ON_LOST_WORKER = "run_on_lost_worker"
    WORKER_CRASHED = "worker_crashed"
    JOB_GIVEN_UP = "job_given_up"
    JOB_REFUSED = "job_refused"


@dataclasses.dataclass(frozen=True, slots=True)
class CountFailure:
    """Add one to the counter of a kind of failure of workers."""

    failure: Failure


Effect = (
    StartRun
    | StopRun
    | LookNow
    | AnswerJob
    | ReportCrashes
    | LogEvent
    | CountDecision
    | CountFailure
)
